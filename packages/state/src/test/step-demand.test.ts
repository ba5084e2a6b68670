import test from 'ava'
import { StepDemand } from '@cyclamenthread/state'

test('the largest step of the last minute counts, so a step of carried groups alone takes no endpoints away', (t) => {
  const demand = new StepDemand()
  demand.recordStep('models', 'critic', { tokens: 9_000, samples: 16 }, 0)
  demand.recordStep('models', 'critic', { tokens: 2_000, samples: 16 }, 5_000)
  demand.recordStep('models', 'drafter', { tokens: 4_000, samples: 16 }, 5_000)
  demand.recordStep('others', 'critic', { tokens: 1, samples: 16 }, 5_000)
  t.deepEqual([...demand.tokensByModel('models', 10_000)], [['critic', 9_000], ['drafter', 4_000]])
})

test('a model without a step for a minute is unknown again', (t) => {
  const demand = new StepDemand()
  demand.recordStep('models', 'critic', { tokens: 9_000, samples: 16 }, 0)
  t.deepEqual([...demand.tokensByModel('models', 60_000)], [])
  demand.recordStep('models', 'critic', { tokens: 3_000, samples: 16 }, 61_000)
  t.deepEqual([...demand.tokensByModel('models', 61_000)], [['critic', 3_000]])
})

test('samples of steps are remembered beside their work', (t) => {
  const demand = new StepDemand()
  demand.recordStep('models', 'critic', { tokens: 9_000, samples: 12 }, 0)
  demand.recordStep('models', 'critic', { tokens: 4_000, samples: 48 }, 1)
  t.deepEqual([...demand.samplesByModel('models', 10)], [['critic', 48]])
})
