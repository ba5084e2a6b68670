import test from 'ava'
import fc from 'fast-check'
import { simulateClaims } from './claim-simulation.js'

const SEED = Number(process.env['CYCLAMENTHREAD_TEST_SEED'] ?? 20_261_204)
const RUNS = Number(process.env['CYCLAMENTHREAD_TEST_RUNS'] ?? 1_000)

const share = fc.double({ min: 0, max: 0.2, noNaN: true })
const faults = fc.record({
  seed: fc.integer({ min: 0 }),
  lostAnswers: share,
  lostWrites: share,
  lateWrites: share,
  lostMessages: share,
  outage: fc.boolean(),
  pauses: fc.boolean(),
  deaths: fc.boolean()
})

test(`a call that may not be repeated runs at most once, and "not run" is true (seed ${SEED}, ${RUNS} runs)`, async (t) => {
  let executed = 0
  let replayed = 0
  await fc.assert(fc.asyncProperty(faults, async (drawn) => {
    const run = await simulateClaims(drawn)
    executed += run.executions.length
    replayed += run.calls.filter((call) => call.result?.ok === true && call.result.replayed).length
    if (run.violations.length > 0) throw new Error(run.violations.join('; '))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  // Runs in which nothing ran or nothing was answered from the record would satisfy everything.
  t.true(executed > RUNS)
  t.true(replayed > RUNS)
})
