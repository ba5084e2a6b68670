import test from 'ava'
import { StepDemand } from '@cyclamenthread/state'

test('the largest step of the last minute counts, so that a small step does not reduce the demand', (t) => {
  const demand = new StepDemand()
  demand.recordStep('models', 'critic', { tokens: 9_000, samples: 16 }, 0)
  demand.recordStep('models', 'critic', { tokens: 2_000, samples: 16 }, 5_000)
  demand.recordStep('models', 'drafter', { tokens: 4_000, samples: 16 }, 5_000)
  demand.recordStep('others', 'critic', { tokens: 1, samples: 16 }, 5_000)
  t.deepEqual([...demand.tokensByModel('models', 10_000)], [['critic', 9_000], ['drafter', 4_000]])
})

test('a model without a step in the last minute is unknown', (t) => {
  const demand = new StepDemand()
  demand.recordStep('models', 'critic', { tokens: 9_000, samples: 16 }, 0)
  t.deepEqual([...demand.tokensByModel('models', 60_000)], [])
  demand.recordStep('models', 'critic', { tokens: 3_000, samples: 16 }, 61_000)
  t.deepEqual([...demand.tokensByModel('models', 61_000)], [['critic', 3_000]])
})

test('the largest numbers of tokens and of samples are tracked independently', (t) => {
  const demand = new StepDemand()
  demand.recordStep('models', 'critic', { tokens: 9_000, samples: 12 }, 0)
  demand.recordStep('models', 'critic', { tokens: 4_000, samples: 48 }, 1)
  t.deepEqual([...demand.samplesByModel('models', 10)], [['critic', 48]])
})
