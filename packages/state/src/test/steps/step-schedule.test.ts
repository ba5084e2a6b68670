import test from 'ava'
import { awaitedSamples, outlookOf, sortForSlots } from '@cyclamenthread/state'
import type { OpenSample, StepProgress } from '@cyclamenthread/state'

function sample (group: string, leftMs: number): OpenSample {
  return { id: `${group}/${leftMs}`, group, leftMs }
}

function progress (open: readonly OpenSample[], targetGroups: number, changes: Partial<StepProgress> = {}): StepProgress {
  return { open, completeGroups: 0, targetGroups, carried: new Set(), ...changes }
}

// Guards against slots for the longest text of all, whose group the trainer doesn't wait for.
test('the groups that are expected to be complete last are spare, as far as the trainer doesn\'t wait for them', (t) => {
  const open = [sample('a', 7_000), sample('a', 300), sample('b', 2_000), sample('c', 9_000)]
  t.deepEqual(outlookOf(progress(open, 2)).map(({ group, isAwaited }) => [group, isAwaited]), [['b', true], ['a', true], ['c', false]])
  t.deepEqual(awaitedSamples(progress(open, 2)).map(({ id }) => id), ['a/7000', 'b/2000', 'a/300'])
})

test('groups that are complete count, and none is awaited beyond the target', (t) => {
  const open = [sample('a', 7_000), sample('b', 2_000)]
  t.deepEqual(outlookOf(progress(open, 3, { completeGroups: 2 })).map(({ isAwaited }) => isAwaited), [true, false])
  t.deepEqual(awaitedSamples(progress(open, 3, { completeGroups: 3 })), [])
})

// Guards against a step that goes on because a group that came again was put last: its trainer waits for it whatever else is complete.
test('groups that came again are awaited, however long they take', (t) => {
  const open = [sample('a', 1_000), sample('b', 2_000), sample('c', 9_000)]
  const outlook = outlookOf(progress(open, 2, { carried: new Set(['c']) }))
  t.deepEqual(outlook.map(({ group, isAwaited }) => [group, isAwaited]), [['c', true], ['a', true], ['b', false]])
})

// Guards against slots for groups that the trainer doesn't wait for while there are fewer slots than samples (the load of a large step).
test('samples of awaited groups come before those of spare ones, the longest first', (t) => {
  const open = [sample('a', 500), sample('a', 3_000), sample('b', 2_000), sample('c', 9_000)]
  t.deepEqual(sortForSlots(progress(open, 2), open).map(({ id }) => id), ['a/3000', 'b/2000', 'a/500', 'c/9000'])
})
