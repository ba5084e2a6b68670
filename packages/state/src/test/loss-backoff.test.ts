import test from 'ava'
import fc from 'fast-check'
import { LossBackoff } from '../lib/loss-backoff.js'
import { Suspicion } from '../lib/quarantine.js'

const SEED = 20_261_204
const RUNS = 1_000
const MAX_WAIT_MS = 30_000

// Guards against giving up a sample for good because endpoints were lost while they ran it.
test(`whatever endpoints are lost under a sample, it may run again within ${MAX_WAIT_MS} ms of the last loss (seed ${SEED})`, (t) => {
  const anyLoss = fc.record({ afterMs: fc.integer({ min: 0, max: 40_000 }), endpoint: fc.constantFrom('a', 'b', 'c') })
  fc.assert(fc.property(fc.array(anyLoss, { minLength: 1, maxLength: 40, size: 'max' }), (losses) => {
    const backoff = new LossBackoff()
    let now = 0
    for (const { afterMs, endpoint } of losses) {
      now += afterMs
      backoff.recordLoss('d', endpoint, now)
      const assessment = backoff.assess('d', now)
      if (assessment.suspicion === Suspicion.None || assessment.suspicion === Suspicion.Quarantined) return false
      if (assessment.suspicion === Suspicion.Deferred && assessment.retryAt > now + MAX_WAIT_MS) return false
    }
    return backoff.assess('d', now + MAX_WAIT_MS).suspicion === Suspicion.Suspect
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('a sample that crashes every endpoint takes down at most 128 endpoints in an hour', (t) => {
  const backoff = new LossBackoff()
  let crashes = 0
  for (let now = 0; now < 3_600_000; now += 100) {
    const { suspicion } = backoff.assess('d', now)
    if (suspicion === Suspicion.Deferred) continue
    t.is(suspicion, crashes === 0 ? Suspicion.None : Suspicion.Suspect)
    crashes += 1
    backoff.recordLoss('d', `endpoint-${crashes % 8}`, now)
  }
  t.true(crashes <= 128, `${crashes} crashes`)
})

test('the loss of one endpoint under several samples with the same prompt counts once', (t) => {
  const backoff = new LossBackoff()
  t.true(backoff.recordLoss('d', 'a', 0))
  t.false(backoff.recordLoss('d', 'a', 500))
  t.is(backoff.assess('d', 500).suspicion, Suspicion.Suspect)
})

test('a sample that ran to its end is no longer held back', (t) => {
  const backoff = new LossBackoff()
  for (const [index, id] of ['a', 'b', 'c'].entries()) backoff.recordLoss('d', id, index)
  t.is(backoff.assess('d', 10).suspicion, Suspicion.Deferred)
  t.true(backoff.recordCompletion('d'))
  t.is(backoff.assess('d', 10).suspicion, Suspicion.None)
  t.false(backoff.recordCompletion('d'))
})
