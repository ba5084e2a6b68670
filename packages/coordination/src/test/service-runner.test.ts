import test from 'ava'
import fc from 'fast-check'
import { simulateClaims } from './claim-simulation.js'

const SEED = Number(process.env['CYCLAMENTHREAD_TEST_SEED'] ?? 20_261_204)
const RUNS = Number(process.env['CYCLAMENTHREAD_TEST_RUNS'] ?? 1_000)

const faultRate = fc.double({ min: 0, max: 0.2, noNaN: true })
const faults = fc.record({
  seed: fc.integer({ min: 0 }),
  lostAnswers: faultRate,
  lostWrites: faultRate,
  lateWrites: faultRate,
  lostMessages: faultRate,
  outage: fc.boolean(),
  pauses: fc.boolean(),
  crashes: fc.boolean()
})

test(`a non-idempotent call runs at most once, and "not run" is reported correctly (seed ${SEED}, ${RUNS} runs)`, async (t) => {
  let executed = 0
  let replayed = 0
  await fc.assert(fc.asyncProperty(faults, async (drawn) => {
    const run = await simulateClaims(drawn)
    executed += run.executions.length
    replayed += run.calls.filter((call) => call.result?.ok === true && call.result.replayed).length
    if (run.violations.length > 0) throw new Error(run.violations.join('; '))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  // Runs without executions or replayed answers would pass all checks.
  t.true(executed > RUNS)
  t.true(replayed > RUNS)
})
