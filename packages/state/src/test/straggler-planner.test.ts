import test from 'ava'
import fc from 'fast-check'
import { Freshness, VersionTracker } from '../lib/version-tracker.js'
import { StragglerPlanner } from '../lib/straggler-planner.js'
import type { SampleOrder } from '../lib/ledger-record.js'
import type { RunningSample } from '../lib/straggler-planner.js'

const SEED = 20_261_207
const RUNS = 1_000

function sample (sampleId: string, group: string, expectedTokens: number, maxTokens = 1_000): SampleOrder {
  return { sampleId, group, prompt: '', maxTokens, expectedTokens }
}

const running = fc.array(fc.record({
  sampleId: fc.string({ minLength: 1, maxLength: 6 }),
  entry: fc.constant('e'),
  expectedTokens: fc.integer({ min: 1, max: 500 }),
  startedAt: fc.integer({ min: 0, max: 1_000 }),
  tokens: fc.integer({ min: 0, max: 500 }),
  copies: fc.integer({ min: 1, max: 2 })
}), { maxLength: 20 })

test(`copies fit the free slots, are second ones only, and are of samples slower than average (seed ${SEED})`, (t) => {
  fc.assert(fc.property(running, fc.integer({ min: 0, max: 5 }), (samples: readonly RunningSample[], free) => {
    const planner = new StragglerPlanner()
    for (let count = 0; count < 20; count++) planner.recordSample('e', 'g', 100, 100)
    const copies = planner.selectForCopy(samples, free, 1_000)
    return copies.length <= free && copies.every((copy) => copy.copies === 1 && 1_000 - copy.startedAt > copy.tokens)
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('only samples that another endpoint can finish earlier are copied', (t) => {
  const planner = new StragglerPlanner()
  const slow = { sampleId: 'slow', entry: 'e', expectedTokens: 100, startedAt: 0, tokens: 20, copies: 1 }
  t.deepEqual(planner.selectForCopy([slow], 4, 200), [], 'there are no observations of the speed')
  for (let count = 0; count < 20; count++) planner.recordSample('e', 'g', 100, 100)
  const onTime = { ...slow, sampleId: 'on-time', tokens: 199, expectedTokens: 400 }
  const nearlyDone = { ...slow, sampleId: 'nearly-done', tokens: 90 }
  t.deepEqual(planner.selectForCopy([onTime, nearlyDone, slow], 4, 200).map((item) => item.sampleId), ['slow'])
})

test('long samples come first, then one of each group in turn; lengths that the trainer does not state are learned', (t) => {
  const planner = new StragglerPlanner()
  const stated = [sample('a1', 'a', 10), sample('a2', 'a', 10), sample('b1', 'b', 10), sample('c1', 'c', 90)]
  t.deepEqual(planner.sortSamples('e', stated).map((item) => item.sampleId), ['c1', 'a1', 'b1', 'a2'])
  for (let count = 0; count < 10; count++) planner.recordSample('e', 'long', 500, 500)
  for (let count = 0; count < 10; count++) planner.recordSample('e', 'short', 20, 20)
  const unstated = [sample('s', 'short', 1_000), sample('l', 'long', 1_000)]
  t.is(planner.expectedTokens('e', sample('x', 'short', 1_200)), 1_000, 'a value above the maximum was stated by the trainer')
  t.deepEqual(planner.sortSamples('e', unstated).map((item) => item.sampleId), ['l', 's'])
})

test(`a sample is fresh only if each stated version is within the bound of the newest known one (seed ${SEED})`, (t) => {
  const spans = fc.array(fc.record({ version: fc.integer({ min: 1, max: 12 }), tokens: fc.constant(1) }), { minLength: 1, maxLength: 4 })
  fc.assert(fc.property(fc.array(spans, { minLength: 1, maxLength: 10 }), fc.integer({ min: 0, max: 4 }), (history, bound) => {
    const tracker = new VersionTracker()
    let newest = 0
    for (const versions of history) {
      newest = Math.max(newest, ...versions.map((span) => span.version))
      const fresh = versions.every((span) => newest - span.version <= bound)
      if ((tracker.classify('e', versions, bound) === Freshness.Fresh) !== fresh) return false
    }
    return tracker.classify('e', undefined, bound) === Freshness.Unnamed
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})
