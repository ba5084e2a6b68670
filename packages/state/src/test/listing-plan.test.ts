import test from 'ava'
import { isListingDue } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'

const ORDER = { ...rolloutOrder(4, 2), targetGroups: 3 }
const ids = (...names: string[]): Set<string> => new Set(names)

test('a step near its due time: a group that has become whole does not wait for the next', (t) => {
  const backlog = { listed: ids('g0.0', 'g0.1'), settled: ids('g1.0', 'g1.1'), oldestMs: 200, sinceLastMs: 400 }
  t.true(isListingDue(ORDER, backlog))
  t.false(isListingDue(ORDER, { ...backlog, sinceLastMs: 50 }), 'groups that become whole together share an entry')
})

test('the group that decides a step is listed at once', (t) => {
  const backlog = { listed: ids('g0.0', 'g0.1', 'g1.0', 'g1.1'), settled: ids('g2.0', 'g2.1'), oldestMs: 0, sinceLastMs: 0 }
  t.true(isListingDue(ORDER, backlog))
  // The trainer does not wait for what comes after.
  t.false(isListingDue(ORDER, { ...backlog, listed: ids(...backlog.listed, 'g2.0', 'g2.1'), settled: ids('g3.0') }))
})

test('a step of many short samples: those of open groups are listed together, but not kept for long', (t) => {
  const backlog = { listed: ids(), settled: ids('g0.0', 'g1.0', 'g2.0'), oldestMs: 900, sinceLastMs: 900 }
  t.false(isListingDue(ORDER, backlog))
  t.true(isListingDue(ORDER, { ...backlog, oldestMs: 1_500 }))
  t.false(isListingDue(ORDER, { ...backlog, settled: ids(), oldestMs: 1_500 }))
})

test('the last sample of all is listed at once', (t) => {
  const samples = ORDER.samples.map(({ id }) => id)
  t.true(isListingDue(ORDER, { listed: ids(...samples.slice(0, -1)), settled: ids(...samples.slice(-1)), oldestMs: 0, sinceLastMs: 0 }))
})
