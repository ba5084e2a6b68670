import test from 'ava'
import fc from 'fast-check'
import { StoreBudget, StoreCallKind, StorePurpose } from '../lib/store-budget.js'

const SEED = 20_261_204
const RUNS = 1_000

const ALLOWANCE = { writesPerSecond: 300, readsPerSecond: 2_000 }
const HOSTS = 8
const PARTITIONS = 16
const SECONDS = 10

const demand = fc.record({
  owned: fc.array(fc.integer({ min: 0, max: 4 }), { minLength: HOSTS, maxLength: HOSTS }),
  perHost: fc.integer({ min: 1, max: 400 })
})

test(`all processes together stay within the allowance for any demand (seed ${SEED})`, (t) => {
  fc.assert(fc.property(demand, ({ owned, perHost }) => {
    // Partitions beyond the total are not assigned.
    let left = PARTITIONS
    let callCount = 0
    for (const wanted of owned) {
      const ownedPartitions = Math.min(left, wanted)
      left -= ownedPartitions
      const budget = new StoreBudget(ALLOWANCE, { hosts: HOSTS, ownedPartitions, partitions: PARTITIONS }, 0)
      for (let call = 0; call < perHost * SECONDS; call++) {
        const now = call / perHost * 1000
        if (budget.delay(StoreCallKind.Write, StorePurpose.Claim, now) > 0) continue
        budget.spend(StoreCallKind.Write, now)
        callCount += 1
      }
    }
    // Each process may add a burst of two seconds' worth, but at least eight calls.
    return callCount <= ALLOWANCE.writesPerSecond * (SECONDS + 2) + HOSTS * 8
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('leases never wait, and calls of lower priority wait first', (t) => {
  const budget = new StoreBudget(ALLOWANCE, { hosts: HOSTS, ownedPartitions: 2, partitions: PARTITIONS }, 0)
  const waits = (purpose: StorePurpose): boolean => budget.delay(StoreCallKind.Write, purpose, 0) > 0
  const firstWait = new Map<StorePurpose, number>()
  for (let call = 0; call < 1_000; call++) {
    for (const purpose of Object.values(StorePurpose)) {
      if (waits(purpose) && !firstWait.has(purpose)) firstWait.set(purpose, call)
    }
    budget.spend(StoreCallKind.Write, 0)
  }
  const at = (purpose: StorePurpose): number => firstWait.get(purpose) ?? Infinity
  t.true(at(StorePurpose.Other) < at(StorePurpose.Claim))
  t.true(at(StorePurpose.Claim) < at(StorePurpose.Configuration))
  t.true(at(StorePurpose.Configuration) < at(StorePurpose.Lease))
  t.is(at(StorePurpose.Lease), Infinity)
  t.is(budget.delay(StoreCallKind.Read, StorePurpose.Other, 0), 0)
})
