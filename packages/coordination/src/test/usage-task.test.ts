import test from 'ava'
import fc from 'fast-check'
import { simulateUsage } from './usage-simulation.js'

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
  pauses: fc.boolean()
})

test(`all reports of a window are identical, and the windows add up to the recorded usage (seed ${SEED}, ${RUNS} runs)`, async (t) => {
  let reports = 0
  await fc.assert(fc.asyncProperty(faults, async (drawn) => {
    const run = await simulateUsage(drawn)
    reports += run.reports.length
    if (run.violations.length > 0) throw new Error(run.violations.join('; '))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  t.true(reports > RUNS)
})
