import test from 'ava'
import fc from 'fast-check'
import { LeaseTask } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { runLeaders } from './lease-history.js'

const SEED = Number(process.env['CYCLAMENTHREAD_TEST_SEED'] ?? 20_261_204)
const RUNS = Number(process.env['CYCLAMENTHREAD_TEST_RUNS'] ?? 1_000)

const share = fc.double({ min: 0, max: 0.2, noNaN: true })
const faults = fc.record({ seed: fc.integer({ min: 0 }), lostAnswers: share, lostWrites: share, lateWrites: share, outage: fc.boolean() })

test(`leaders paused at any point never send at the same time, nor without an intent (seed ${SEED}, ${RUNS} runs)`, async (t) => {
  let orders = 0
  let epochs = 0
  await fc.assert(fc.asyncProperty(faults, async (drawn) => {
    const run = await runLeaders(drawn)
    orders += run.sent.length
    epochs += new Set(run.sent.map((order) => order.epoch)).size
    if (run.violations.length > 0) throw new Error([...new Set(run.violations)].join('; '))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  // Without orders or takeovers, every run would pass trivially.
  t.true(orders > RUNS)
  t.true(epochs > 2 * RUNS)
})

test('after all hosts restart, the last holder leads again at once, and another host only after the lease expires', async (t) => {
  const store = new MemoryStore({ sleep: async () => {} }, seededRandom(1))
  const clock = { now: () => 0, wall: () => 0, sleep: async () => {} }
  const open = (holder: string): LeaseTask => new LeaseTask({ name: 'duties', holder, leaseMs: 3_000, storeTimeoutMs: 500 }, store, clock)
  const first = open('h1/a')
  await first.renewOrContend()
  t.is(first.leadership()?.epoch, 1)
  const other = open('h2/a')
  await other.renewOrContend()
  t.is(other.leadership(), undefined)
  const next = open('h1/b')
  await next.renewOrContend()
  t.is(next.leadership()?.epoch, 2)
  await other.renewOrContend()
  t.is(other.leadership(), undefined)
})
