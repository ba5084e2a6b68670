import test from 'ava'
import fc from 'fast-check'
import { completeGroups, RolloutProgress, SampleState } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'
import type { SampleResult } from '@cyclamenthread/state'

function result (id: string): SampleResult {
  return { id, state: SampleState.Completed, output: id, versions: [3] }
}

test('a group counts only when all its samples are settled', (t) => {
  const order = rolloutOrder(2, 2)
  t.is(completeGroups(order, new Set(['g0.0', 'g1.0'])), 0)
  t.is(completeGroups(order, new Set(['g0.0', 'g0.1', 'g1.0'])), 1)
})

test('nothing is listed after the end', (t) => {
  const progress = new RolloutProgress()
  progress.apply({ writer: 'a', results: [result('g0.0')], ended: true })
  progress.apply({ writer: 'b', results: [result('g0.1')], ended: false })
  t.deepEqual(progress.results.map(({ id }) => id), ['g0.0'])
  t.true(progress.ended)
  t.is(progress.segments, 2)
})

test('whatever two writers append, each sample is listed once and keeps its position', (t) => {
  const ids = ['a', 'b', 'c', 'd']
  fc.assert(fc.property(fc.array(fc.array(fc.constantFrom(...ids), { maxLength: 3 }), { maxLength: 8 }), (segments) => {
    const progress = new RolloutProgress()
    let before: string[] = []
    for (const segment of segments) {
      progress.apply({ writer: 'w', results: segment.map(result), ended: false })
      const now = progress.results.map(({ id }) => id)
      t.deepEqual(now.slice(0, before.length), before)
      t.is(new Set(now).size, now.length)
      before = now
    }
  }))
})
