import test from 'ava'
import fc from 'fast-check'
import { MAX_LOST_ENDPOINTS, Quarantine, Suspicion } from '../lib/quarantine.js'
import { RetryBudget } from '../lib/retry-budget.js'

const SEED = 20_261_204
const RUNS = 1_000

test(`a request is quarantined from its second lost endpoint on, and completions don't clear that (seed ${SEED})`, (t) => {
  const anyEvent = fc.oneof(
    fc.record({ does: fc.constant('lose' as const), endpoint: fc.constantFrom('a', 'b', 'c') }),
    fc.record({ does: fc.constant('finish' as const), endpoint: fc.constant('') })
  )
  fc.assert(fc.property(fc.array(anyEvent, { maxLength: 20, size: 'max' }), (events) => {
    const quarantine = new Quarantine()
    let lost = new Set<string>()
    for (const event of events) {
      if (event.does === 'lose') {
        quarantine.recordLoss('d', event.endpoint, 0)
        lost.add(event.endpoint)
      } else {
        quarantine.recordCompletion('d')
        if (lost.size < MAX_LOST_ENDPOINTS) lost = new Set()
      }
      const expected = lost.size === 0 ? Suspicion.None : lost.size < MAX_LOST_ENDPOINTS ? Suspicion.Suspect : Suspicion.Quarantined
      if (quarantine.classify('d', 1) !== expected) return false
    }
    return true
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test(`retries don't exceed the initial budget plus a tenth of the successes (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 500, size: 'max' }), (events) => {
    const budget = new RetryBudget()
    let successes = 0
    let retries = 0
    for (const succeeds of events) {
      if (succeeds) {
        budget.recordSuccess('w')
        successes += 1
      } else if (budget.trySpend('w')) retries += 1
    }
    return retries <= 20 + successes / 10
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})
