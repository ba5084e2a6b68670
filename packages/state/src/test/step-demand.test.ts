import test from 'ava'
import { StepDemand } from '@cyclamenthread/state'

test('the largest step of the last minute counts, so a step of carried groups alone takes no endpoints away', (t) => {
  const demand = new StepDemand()
  demand.note('models', 'critic', 9_000, 0)
  demand.note('models', 'critic', 2_000, 5_000)
  demand.note('models', 'drafter', 4_000, 5_000)
  demand.note('others', 'critic', 1, 5_000)
  t.deepEqual([...demand.work('models', 10_000)], [['critic', 9_000], ['drafter', 4_000]])
})

test('a model without a step for a minute is unknown again', (t) => {
  const demand = new StepDemand()
  demand.note('models', 'critic', 9_000, 0)
  t.deepEqual([...demand.work('models', 60_000)], [])
  demand.note('models', 'critic', 3_000, 61_000)
  t.deepEqual([...demand.work('models', 61_000)], [['critic', 3_000]])
})
