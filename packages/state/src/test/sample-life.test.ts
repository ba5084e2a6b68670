import test from 'ava'
import fc from 'fast-check'
import { advanceSample, SampleBoard, SampleEventKind, SamplePhase, SampleState } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'
import type { SampleEvent, SampleLife } from '@cyclamenthread/state'

const TERMS = { id: 's', hasReward: true, maxFailures: 3 }
const MAX_REWARD_FAILURES = 4
const startOfLife = (): SampleLife => ({ phase: SamplePhase.Waiting, failures: 0 })

/** Any event, in any order: ends of work that was overtaken arrive late. */
const anyEvent: fc.Arbitrary<SampleEvent> = fc.oneof(
  fc.constantFrom<SampleEvent>(
    { kind: SampleEventKind.GenerationStarted },
    { kind: SampleEventKind.GenerationFailed },
    { kind: SampleEventKind.GenerationImpossible },
    { kind: SampleEventKind.GenerationInterrupted },
    { kind: SampleEventKind.RewardRequested },
    { kind: SampleEventKind.Expired },
    { kind: SampleEventKind.Listed }
  ),
  fc.string({ minLength: 1 }).map((piece): SampleEvent => ({ kind: SampleEventKind.TextCompleted, text: { pieces: [piece], versions: [3] } })),
  fc.string({ minLength: 1 }).map((score): SampleEvent => ({ kind: SampleEventKind.RewardReceived, score })),
  fc.nat({ max: 2 }).map((failures): SampleEvent => ({ kind: SampleEventKind.RewardNotReceived, failures, maxFailures: MAX_REWARD_FAILURES, retryAt: 0 })),
  fc.nat({ max: 3 }).map((rewardFailures): SampleEvent => ({ kind: SampleEventKind.TextRecovered, text: { pieces: ['kept'], versions: [3] }, rewardFailures }))
)

test('for any events, a sample with a reward is completed only with a score that was received after its text was whole', (t) => {
  fc.assert(fc.property(fc.array(anyEvent, { maxLength: 40 }), (events) => {
    let life = startOfLife()
    for (const event of events) {
      const next = advanceSample(life, event, TERMS)
      if (next.phase === SamplePhase.Settled && life.phase !== SamplePhase.Settled && next.result.state === SampleState.Completed) {
        t.is(life.phase, SamplePhase.Scoring)
        t.is(event.kind, SampleEventKind.RewardReceived)
        t.is(next.result.score, event.kind === SampleEventKind.RewardReceived ? event.score : '')
        t.is(next.result.output, life.phase === SamplePhase.Scoring ? life.text.pieces.join('\n') : '')
      }
      if (life.phase === SamplePhase.Settled) t.true(next === life || next.phase === SamplePhase.Listed)
      if (life.phase === SamplePhase.Listed) t.is(next.phase, SamplePhase.Listed)
      life = next
    }
  }), { seed: 20_261_204, numRuns: 2_000 })
})

test('for any events, a sample is abandoned only after enough failures, an impossible generation or its lifetime', (t) => {
  fc.assert(fc.property(fc.array(anyEvent, { maxLength: 40 }), (events) => {
    let life = startOfLife()
    let generationFailures = 0
    let rewardFailures = 0
    for (const event of events) {
      const next = advanceSample(life, event, TERMS)
      if (event.kind === SampleEventKind.GenerationFailed && life.phase === SamplePhase.Generating) generationFailures += 1
      if (event.kind === SampleEventKind.RewardNotReceived && life.phase === SamplePhase.Scoring) rewardFailures += event.failures
      if (event.kind === SampleEventKind.TextRecovered && next !== life) rewardFailures = event.rewardFailures
      if (next.phase === SamplePhase.Settled && life.phase !== SamplePhase.Settled && next.result.state === SampleState.Abandoned) {
        const isAllowed = event.kind === SampleEventKind.Expired || event.kind === SampleEventKind.GenerationImpossible ||
          generationFailures >= TERMS.maxFailures || rewardFailures >= MAX_REWARD_FAILURES
        t.true(isAllowed)
      }
      life = next
    }
  }), { seed: 20_261_204, numRuns: 2_000 })
})

test('for any events on any samples, each sample of a board is in exactly one list', (t) => {
  const order = rolloutOrder(2, 2)
  const ids = order.samples.map(({ id }) => id)
  fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom(...ids), anyEvent), { maxLength: 60 }), (steps) => {
    const board = new SampleBoard({ ...order, samples: order.samples.map((sample) => ({ ...sample, reward: { id: `w${sample.id}`, host: 'h', path: '/', body: '' } })) })
    for (const [id, event] of steps) board.apply(id, event)
    for (const id of ids) {
      const phase = board.lifeOf(id)?.phase
      t.is(board.waiting.some((sample) => sample.id === id), phase === SamplePhase.Waiting)
      t.is(board.generated.has(id), phase === SamplePhase.Generated)
      t.is(board.settled.has(id), phase === SamplePhase.Settled)
      t.is(board.listed.has(id), phase === SamplePhase.Listed)
    }
    t.is(board.settledResults().length, board.settled.size)
  }), { seed: 20_261_204, numRuns: 1_000 })
})

test('end of a step: rewards that complete a group are requested before those of groups with texts to generate', (t) => {
  const order = rolloutOrder(2, 2)
  const board = new SampleBoard({ ...order, samples: order.samples.map((sample) => ({ ...sample, reward: { id: `w${sample.id}`, host: 'h', path: '/', body: '' } })) })
  for (const id of ['g0.0', 'g1.0', 'g1.1']) {
    board.apply(id, { kind: SampleEventKind.GenerationStarted })
    board.apply(id, { kind: SampleEventKind.TextCompleted, text: { pieces: ['x'], versions: [3] } })
  }
  t.deepEqual(board.awaitingReward(0).map(({ id }) => id), ['g1.0', 'g1.1', 'g0.0'])
})

test('a reward whose request was postponed is not due before its time', (t) => {
  const order = rolloutOrder(1, 1)
  const board = new SampleBoard({ ...order, samples: order.samples.map((sample) => ({ ...sample, reward: { id: 'w', host: 'h', path: '/', body: '' } })) })
  board.apply('g0.0', { kind: SampleEventKind.TextRecovered, text: { pieces: ['x'], versions: [3] }, rewardFailures: 1 })
  board.apply('g0.0', { kind: SampleEventKind.RewardRequested })
  board.apply('g0.0', { kind: SampleEventKind.RewardNotReceived, failures: 0, maxFailures: 4, retryAt: 500 })
  t.deepEqual(board.awaitingReward(499), [])
  t.is(board.awaitingReward(500).length, 1)
})
