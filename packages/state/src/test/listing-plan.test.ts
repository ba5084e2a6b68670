import test from 'ava'
import { isListingDue } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'

const ORDER = { ...rolloutOrder(4, 2), targetGroups: 3 }
const ids = (...names: string[]): Set<string> => new Set(names)

test('a completed group does not wait for the next one', (t) => {
  const backlog = { listed: ids('g0.0', 'g0.1'), settled: ids('g1.0', 'g1.1'), oldestMs: 200, sinceLastMs: 400 }
  t.true(isListingDue(ORDER, backlog))
  t.false(isListingDue(ORDER, { ...backlog, sinceLastMs: 50 }), 'groups completed within the interval share a segment')
})

test('the group that completes a step is listed at once', (t) => {
  const backlog = { listed: ids('g0.0', 'g0.1', 'g1.0', 'g1.1'), settled: ids('g2.0', 'g2.1'), oldestMs: 0, sinceLastMs: 0 }
  t.true(isListingDue(ORDER, backlog))
  // The trainer does not wait for later samples.
  t.false(isListingDue(ORDER, { ...backlog, listed: ids(...backlog.listed, 'g2.0', 'g2.1'), settled: ids('g3.0') }))
})

test('samples of incomplete groups are listed together after a bounded delay', (t) => {
  const backlog = { listed: ids(), settled: ids('g0.0', 'g1.0', 'g2.0'), oldestMs: 900, sinceLastMs: 900 }
  t.false(isListingDue(ORDER, backlog))
  t.true(isListingDue(ORDER, { ...backlog, oldestMs: 1_500 }))
  t.false(isListingDue(ORDER, { ...backlog, settled: ids(), oldestMs: 1_500 }))
})

test('the last sample of an order is listed at once', (t) => {
  const samples = ORDER.samples.map(({ id }) => id)
  t.true(isListingDue(ORDER, { listed: ids(...samples.slice(0, -1)), settled: ids(...samples.slice(-1)), oldestMs: 0, sinceLastMs: 0 }))
})
