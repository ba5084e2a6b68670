import test from 'ava'
import fc from 'fast-check'
import { CommitStatus } from '@cyclamenthread/protocol'
import { simulateOwners } from './owner-simulation.js'

const SEED = Number(process.env['CYCLAMENTHREAD_TEST_SEED'] ?? 20_261_204)
const RUNS = Number(process.env['CYCLAMENTHREAD_TEST_RUNS'] ?? 1_000)

const faultRate = fc.double({ min: 0, max: 0.3, noNaN: true })
const faults = fc.record({
  seed: fc.integer({ min: 0 }),
  lostAnswers: faultRate,
  lostWrites: faultRate,
  lateWrites: faultRate,
  outage: fc.boolean(),
  pauses: fc.boolean()
})

test(`no record is lost or duplicated when owners race, crash, pause and lose answers (seed ${SEED}, ${RUNS} runs)`, async (t) => {
  let committed = 0
  await fc.assert(fc.asyncProperty(faults, async (drawn) => {
    const run = await simulateOwners(drawn)
    committed += run.attempts.filter((attempt) => attempt.statuses.includes(CommitStatus.Committed)).length
    if (run.violations.length > 0) throw new Error(run.violations.join('; '))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  // Runs in which nothing is committed would pass all checks.
  t.true(committed > RUNS)
})
