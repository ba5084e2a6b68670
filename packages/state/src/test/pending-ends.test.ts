import test from 'ava'
import { MAX_PENDING_ENDS, PendingEnds } from '@cyclamenthread/state'
import type { PendingEnd } from '@cyclamenthread/state'

function createEnd (rolloutId: string, { workspace = 'office', keepUntil = 60_000, tryAt = 0 }: Partial<PendingEnd> = {}): PendingEnd {
  return { rolloutId, workspace, keepUntil, tryAt }
}

test('an end is kept for its own workspace only, until it is removed or its deadline has passed', (t) => {
  const ends = new PendingEnds()
  t.true(ends.add(createEnd('r1'), 0))
  t.true(ends.add(createEnd('r2', { keepUntil: 1_000 }), 0))
  t.true(ends.has({ rolloutId: 'r1', workspace: 'office' }))
  t.false(ends.has({ rolloutId: 'r1', workspace: 'stranger' }))
  ends.remove({ rolloutId: 'r1', workspace: 'stranger' })
  t.deepEqual(ends.selectDue(999).map(({ rolloutId }) => rolloutId), ['r1', 'r2'])
  t.deepEqual(ends.selectDue(1_000).map(({ rolloutId }) => rolloutId), ['r1'])
  ends.remove({ rolloutId: 'r1', workspace: 'office' })
  t.is(ends.nextTryAt, undefined)
})

test('an end that can not be stored lets the others go first, and is tried again from its time on', (t) => {
  const ends = new PendingEnds()
  for (const id of ['r1', 'r2']) ends.add(createEnd(id), 0)
  ends.postpone({ rolloutId: 'r1', workspace: 'office' }, 500)
  t.is(ends.nextTryAt, 0)
  t.deepEqual(ends.selectDue(499).map(({ rolloutId }) => rolloutId), ['r2'])
  t.deepEqual(ends.selectDue(500).map(({ rolloutId }) => rolloutId), ['r2', 'r1'])
})

test('the number of ends is bounded; an expired one makes room, a known one is kept', (t) => {
  const ends = new PendingEnds()
  for (let index = 0; index < MAX_PENDING_ENDS; index += 1) t.true(ends.add(createEnd(`r${index}`, { keepUntil: index === 0 ? 1_000 : 60_000 }), 0))
  t.false(ends.add(createEnd('next'), 999))
  t.true(ends.add(createEnd('r5'), 999))
  t.true(ends.add(createEnd('next'), 1_000))
  t.is(ends.all.length, MAX_PENDING_ENDS)
})
