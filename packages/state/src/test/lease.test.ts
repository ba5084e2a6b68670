import test from 'ava'
import fc from 'fast-check'
import { isPredecessor, leaseDeadline, mayTakeOver } from '../lib/lease.js'

const SEED = 20_261_204
const RUNS = 1_000
const LEASE_MS = 10_000

/** Clock rate, up to two percent fast or slow. */
const clockRate = fc.double({ min: 0.98, max: 1.02, noNaN: true })

test(`an observer whose clock differs in rate never takes over before the holder's lease ends (seed ${SEED})`, (t) => {
  fc.assert(fc.property(clockRate, clockRate, fc.integer({ min: 0, max: 30_000 }), (holderRate, observerRate, elapsed) => {
    // Worst case: the observer sees the renewal at the moment it is sent, at true time 0.
    const held = elapsed * holderRate < leaseDeadline(0, LEASE_MS)
    const observation = { record: { holder: 'h', epoch: 1, renewal: 0 }, version: '1', firstSeenAt: 0, epochSeenAt: 0 }
    return !(held && mayTakeOver(observation, LEASE_MS, elapsed * observerRate))
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('a released lease may be taken over at once', (t) => {
  const record = { holder: 'h', epoch: 1, renewal: 4 }
  t.false(mayTakeOver({ record, version: '1', firstSeenAt: 0, epochSeenAt: 0 }, LEASE_MS, 1))
  t.true(mayTakeOver({ record: { ...record, released: true }, version: '1', firstSeenAt: 0, epochSeenAt: 0 }, LEASE_MS, 1))
})

test('only a previous incarnation of the same host is a predecessor', (t) => {
  const heldBy = (holder: string): boolean => isPredecessor({ holder, epoch: 1, renewal: 0 }, 'h1/b')
  t.true(heldBy('h1/a'))
  t.false(heldBy('h1/b'), 'its own record')
  t.false(heldBy('h11/a'))
  t.false(heldBy('h2/a'))
  t.false(isPredecessor({ holder: 'h1', epoch: 1, renewal: 0 }, 'h2'), 'names without an incarnation are not comparable')
})
