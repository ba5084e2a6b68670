import test from 'ava'
import * as z from 'zod'
import fc from 'fast-check'
import { countCompleteGroups, RolloutProgress, rolloutSegmentSchema, SampleState, textCheckpointSchema } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'
import type { RolloutSegment, SampleResult } from '@cyclamenthread/state'

function result (id: string): SampleResult {
  return { id, state: SampleState.Completed, output: id, versions: [3] }
}

test('a group is complete only if all its samples are settled', (t) => {
  const order = rolloutOrder(2, 2)
  t.is(countCompleteGroups(order, new Set(['g0.0', 'g1.0'])), 0)
  t.is(countCompleteGroups(order, new Set(['g0.0', 'g0.1', 'g1.0'])), 1)
})

test('nothing is listed after the end of the rollout', (t) => {
  const progress = new RolloutProgress()
  progress.apply({ writer: 'a', results: [result('g0.0')], texts: [], ended: true })
  progress.apply({ writer: 'b', results: [result('g0.1')], texts: [], ended: false })
  t.deepEqual(progress.results.map(({ id }) => id), ['g0.0'])
  t.true(progress.ended)
  t.is(progress.segments, 2)
})

test('for any segments, each sample is listed once and keeps its position', (t) => {
  const ids = ['a', 'b', 'c', 'd']
  fc.assert(fc.property(fc.array(fc.array(fc.constantFrom(...ids), { maxLength: 3 }), { maxLength: 8 }), (segments) => {
    const progress = new RolloutProgress()
    let before: string[] = []
    for (const segment of segments) {
      progress.apply({ writer: 'w', results: segment.map(result), texts: [], ended: false })
      const now = progress.results.map(({ id }) => id)
      t.deepEqual(now.slice(0, before.length), before)
      t.is(new Set(now).size, now.length)
      before = now
    }
  }))
})

/** Properties of a text that is still being generated. */
const OPEN_TEXT = { complete: false, rewardFailures: 0 }

const texts = fc.array(fc.record({ writer: fc.constantFrom('a', 'b'), from: fc.integer({ min: 0, max: 6 }), count: fc.integer({ min: 1, max: 6 }) }), { maxLength: 12 })

test('for any checkpoints of two writers, a stored text comes from one of them, complete from the start and with that writer\'s versions', (t) => {
  fc.assert(fc.property(texts, (parts) => {
    const progress = new RolloutProgress()
    for (const { writer, from, count } of parts) {
      const pieces = Array.from({ length: count }, (_, index) => `${writer}${from + index}`)
      const versions = writer === 'a' ? [3] : [4]
      progress.apply({ writer, results: [], texts: [{ sampleId: 's', from, pieces, versions, ...OPEN_TEXT }], ended: false })
      const held = progress.texts.get('s')
      if (held === undefined) continue
      t.deepEqual(held.pieces, held.pieces.map((_, index) => `${held.writer}${index}`))
      t.deepEqual(held.versions, held.writer === 'a' ? [3] : [4])
    }
  }), { seed: 20_261_208, numRuns: 1_000 })
})

test('a stored text is continued by later checkpoints and dropped once its sample is listed', (t) => {
  const progress = new RolloutProgress()
  const store = (changes: Partial<RolloutSegment>): void => progress.apply({ writer: 'a', results: [], texts: [], ended: false, ...changes })
  store({ texts: [{ sampleId: 'g0.0', from: 0, pieces: ['x', 'y'], versions: [3], ...OPEN_TEXT }] })
  store({ texts: [{ sampleId: 'g0.0', from: 2, pieces: ['z'], versions: [3, 4], ...OPEN_TEXT }] })
  t.deepEqual(progress.texts.get('g0.0'), { writer: 'a', pieces: ['x', 'y', 'z'], versions: [3, 4], ...OPEN_TEXT })
  store({ results: [result('g0.0')] })
  t.is(progress.texts.size, 0)
  store({ texts: [{ sampleId: 'g0.0', from: 0, pieces: ['late'], versions: [3], ...OPEN_TEXT }] })
  t.is(progress.texts.size, 0)
})

test('a whole text replaces an unfinished one of another writer, and keeps the failures of its reward request', (t) => {
  const progress = new RolloutProgress()
  const store = (writer: string, pieces: string[], complete: boolean, rewardFailures: number): void =>
    progress.apply({ writer, results: [], texts: [{ sampleId: 's', from: 0, pieces, versions: [3], complete, rewardFailures }], ended: false })
  store('a', ['x', 'y', 'z'], false, 0)
  store('b', ['p', 'q'], true, 2)
  t.deepEqual(progress.texts.get('s'), { writer: 'b', pieces: ['p', 'q'], versions: [3], complete: true, rewardFailures: 2 })
  store('a', ['x', 'y', 'z', 'w'], false, 0)
  t.deepEqual(progress.texts.get('s')?.pieces, ['p', 'q'])
  store('c', ['r', 's'], true, 1)
  t.is(progress.texts.get('s')?.rewardFailures, 2)
})

test('a stored text keeps the software version that began it; a checkpoint of another one never continues it', (t) => {
  const progress = new RolloutProgress()
  const store = (from: number, pieces: string[], softwareVersion?: string): void =>
    progress.apply({ writer: 'a', results: [], texts: [{ sampleId: 's', from, pieces, versions: [3], ...OPEN_TEXT, ...(softwareVersion === undefined ? {} : { softwareVersion }) }], ended: false })
  store(0, ['x', 'y'], 's1')
  store(2, ['z'], 's2')
  store(2, ['z'])
  t.deepEqual(progress.texts.get('s')?.pieces, ['x', 'y'])
  store(2, ['z'], 's1')
  t.deepEqual([progress.texts.get('s')?.pieces, progress.texts.get('s')?.softwareVersion], [['x', 'y', 'z'], 's1'])
  store(0, ['p', 'q', 'r', 's'])
  t.deepEqual([progress.texts.get('s')?.pieces, progress.texts.get('s')?.softwareVersion], [['p', 'q', 'r', 's'], undefined])
})

test('a log entry of earlier code without software versions is read, and earlier code reads the entries of this one', (t) => {
  const text = { sampleId: 's', from: 0, pieces: ['x'], versions: [3], ...OPEN_TEXT }
  const earlier = rolloutSegmentSchema.parse({ writer: 'a', results: [], texts: [text], ended: false })
  t.is(earlier.texts[0]?.softwareVersion, undefined)
  const earlierSchema = rolloutSegmentSchema.extend({ texts: z.array(textCheckpointSchema.omit({ softwareVersion: true })) })
  t.deepEqual(earlierSchema.parse({ writer: 'a', results: [], texts: [{ ...text, softwareVersion: 's1' }], ended: false }).texts, [text])
})
