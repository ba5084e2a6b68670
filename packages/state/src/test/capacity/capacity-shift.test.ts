import test from 'ava'
import fc from 'fast-check'
import { CapacityShift, desiredEndpointCount } from '@cyclamenthread/state'
import type { CapacityPlan, DeclaredService, DomainEndpoints } from '@cyclamenthread/state'

const SEED = 20_261_206
const START_MS = 4_000
/** From here on ordered endpoints that don't serve are missing, in milliseconds. */
const LATE_MS = 5_500
const HOLD_MS = 15_000
const SLOTS = 8
/** Samples for which each of three domains needs six endpoints. */
const SIX_EACH = 3 * 6 * SLOTS
const DOMAINS = ['castlegate', 'grassmarket', 'leith-walk'] as const

const SERVICE: DeclaredService = {
  name: 'models',
  maxConnections: 100,
  models: ['critic'],
  capacity: { minimum: 1, maximum: 16, startMs: START_MS, prices: { 'leith-walk': 1, grassmarket: 1.25, castlegate: 0.8 } }
}

type Orders = Record<string, number | undefined>

/** A platform with a clock: it starts what is ordered after the declared time, unless a domain has none. */
class Fleet {
  shift = new CapacityShift()
  now = 0
  readonly samples = new Map<string, number>()
  readonly service: DeclaredService
  readonly ordered = new Map<string, number>()
  readonly endpoints = new Map<string, DomainEndpoints>()
  /** Largest number of endpoints that the platform has in a domain. */
  readonly available = new Map<string, number>()
  /** Domains in which what is ordered does not start. */
  readonly stalled = new Set<string>()
  /** Orders in force so far, oldest first. */
  readonly #history = new Map<string, Array<{ readonly count: number, readonly at: number }>>()
  /** Endpoints in the last order of the present leader. */
  readonly #sent = new Map<string, number>()

  constructor (service = SERVICE, samples = SIX_EACH) {
    this.service = service
    this.samples.set('critic', samples)
  }

  set (failureDomain: string, changes: Partial<DomainEndpoints>): void {
    this.endpoints.set(failureDomain, { ...this.#endpointsOf(failureDomain), ...changes })
  }

  /** A new leader, which knows nothing of what the one before did. */
  takeOver (): void {
    this.shift = new CapacityShift()
    this.#sent.clear()
  }

  /** Plans and sends the orders once; returns the plan. */
  step (): CapacityPlan {
    this.#start()
    const plan = this.#plan()
    for (const failureDomain of plan.domains.keys()) this.#send(failureDomain)
    return plan
  }

  #plan (): CapacityPlan {
    return this.shift.plan(this.service, { samples: this.samples, slots: SLOTS, domains: this.endpoints }, this.now)
  }

  #send (failureDomain: string): void {
    const count = this.#plan().domains.get(failureDomain)?.count
    if (count === undefined || this.#sent.get(failureDomain) === count) return
    if (count > (this.available.get(failureDomain) ?? Infinity)) {
      this.shift.recordRefused(failureDomain, count, this.now)
      return
    }
    this.ordered.set(failureDomain, count)
    this.#sent.set(failureDomain, count)
    this.shift.recordAccepted(failureDomain, count, this.now)
    this.#history.set(failureDomain, [...this.#history.get(failureDomain) ?? [{ count: 0, at: -Infinity }], { count, at: this.now }])
    this.set(failureDomain, { inService: Math.min(count, this.#endpointsOf(failureDomain).inService) })
  }

  /** Runs for a time in steps of 500 ms, and returns the orders at its end. */
  run (milliseconds: number): Orders {
    for (const end = this.now + milliseconds; this.now < end; this.now += 500) this.step()
    this.step()
    return this.orders()
  }

  orders (): Orders {
    return Object.fromEntries([...this.ordered].sort())
  }

  #endpointsOf (failureDomain: string): DomainEndpoints {
    return this.endpoints.get(failureDomain) ?? { inService: 0, leaving: 0, isEvacuated: false }
  }

  #start (): void {
    for (const [failureDomain, history] of this.#history) {
      const latest = history.findLastIndex(({ at }) => at <= this.now - START_MS)
      const started = Math.min(...history.slice(latest).map(({ count }) => count), this.available.get(failureDomain) ?? Infinity)
      if (this.#endpointsOf(failureDomain).isEvacuated) this.set(failureDomain, { inService: 0 })
      else if (!this.stalled.has(failureDomain)) this.set(failureDomain, { inService: started, leaving: 0 })
    }
  }
}

/** Returns a fleet in which what is ordered serves. */
function servingFleet (service = SERVICE, samples = SIX_EACH): Fleet {
  const fleet = new Fleet(service, samples)
  fleet.run(20_000)
  return fleet
}

test('nothing is missing: orders are those of the demand of each domain, also while endpoints start and the demand is unknown', (t) => {
  const step = fc.record({ samples: fc.option(fc.integer({ min: 1, max: 500 })), other: fc.option(fc.integer({ min: 1, max: 500 })), waitMs: fc.constantFrom(0, 500, 4_000, 20_000, 60_000) })
  const service = { ...SERVICE, models: ['critic', 'drafter'] }
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
    const fleet = new Fleet(service)
    for (const { samples, other, waitMs } of steps) {
      fleet.samples.clear()
      if (samples !== null) fleet.samples.set('critic', samples)
      if (other !== null) fleet.samples.set('drafter', other)
      for (let waited = 0; waited <= waitMs; waited += 500, fleet.now += 500) {
        const running = new Map(DOMAINS.map((failureDomain) => [failureDomain, fleet.endpoints.get(failureDomain)?.inService ?? 0]))
        const expected = DOMAINS.map((failureDomain) => desiredEndpointCount(service, failureDomain, { samples: fleet.samples, slots: SLOTS, running: running.get(failureDomain) ?? 0 }))
        const planned = fleet.shift.plan(service, { samples: fleet.samples, slots: SLOTS, domains: fleet.endpoints }, fleet.now)
        const counts = DOMAINS.map((failureDomain) => planned.domains.get(failureDomain)?.count)
        if (JSON.stringify(counts) !== JSON.stringify(expected) || Object.keys(planned.missing).length > 0) throw new Error(JSON.stringify({ counts, expected, at: fleet.now }))
        fleet.step()
      }
    }
  }), { seed: SEED, numRuns: 300, includeErrorInReport: true })
  t.pass()
})

test('a domain is evacuated: its demand is ordered in the others at once, evenly, and its own order stays as it is', (t) => {
  const fleet = servingFleet()
  t.deepEqual(fleet.orders(), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
  fleet.set('leith-walk', { isEvacuated: true, inService: 0 })
  t.is(fleet.step().domains.get('leith-walk')?.count, undefined)
  t.deepEqual(fleet.orders(), { castlegate: 9, grassmarket: 9, 'leith-walk': 6 })
  fleet.samples.set('critic', SIX_EACH + 3 * SLOTS)
  t.deepEqual(fleet.run(500), { castlegate: 11, grassmarket: 10, 'leith-walk': 6 })
})

test('an evacuation is lifted: the replacement is released only after the domain has served for the hold time', (t) => {
  const fleet = servingFleet()
  fleet.set('leith-walk', { isEvacuated: true, inService: 0 })
  fleet.run(20_000)
  fleet.stalled.add('leith-walk')
  fleet.set('leith-walk', { isEvacuated: false, inService: 0 })
  t.deepEqual(fleet.run(30_000), { castlegate: 9, grassmarket: 9, 'leith-walk': 6 }, 'lifted, but nothing serves there')
  fleet.stalled.clear()
  t.deepEqual(fleet.run(HOLD_MS - 1_000), { castlegate: 9, grassmarket: 9, 'leith-walk': 6 })
  t.deepEqual(fleet.run(2_000), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
})

test('an evacuation is lifted and the endpoints have to start: the hold time begins when they serve', (t) => {
  const fleet = servingFleet()
  fleet.set('leith-walk', { isEvacuated: true, inService: 0 })
  fleet.run(20_000)
  fleet.stalled.add('leith-walk')
  fleet.set('leith-walk', { isEvacuated: false, inService: 0 })
  fleet.run(START_MS)
  fleet.stalled.clear()
  t.deepEqual(fleet.run(HOLD_MS - 1_000), { castlegate: 9, grassmarket: 9, 'leith-walk': 6 })
  t.deepEqual(fleet.run(2_000), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
})

test('a domain is evacuated again and again: the orders elsewhere change once', (t) => {
  const fleet = servingFleet()
  const seen = new Set<string>()
  for (let turn = 0; turn < 10; turn += 1) {
    fleet.set('leith-walk', { isEvacuated: turn % 2 === 0, inService: 0 })
    for (let waited = 0; waited < 5_000; waited += 500) seen.add(JSON.stringify(fleet.run(500)))
  }
  t.deepEqual([...seen], [JSON.stringify({ castlegate: 9, grassmarket: 9, 'leith-walk': 6 })])
})

test('a domain loses endpoints without notice: they are ordered elsewhere once a start would have taken less time', (t) => {
  const fleet = servingFleet()
  fleet.stalled.add('castlegate')
  fleet.set('castlegate', { inService: 2 })
  t.deepEqual(fleet.run(LATE_MS - 500), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
  t.deepEqual(fleet.run(1_000), { castlegate: 6, grassmarket: 8, 'leith-walk': 8 })
})

test('the leader stood still while endpoints were lost: it does not take what it sees first for a lasting loss', (t) => {
  const fleet = servingFleet()
  fleet.stalled.add('castlegate')
  fleet.now += 10 * LATE_MS
  fleet.set('castlegate', { inService: 2 })
  t.deepEqual(fleet.run(LATE_MS - 500), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
  t.deepEqual(fleet.run(1_000), { castlegate: 6, grassmarket: 8, 'leith-walk': 8 })
})

test('the platform reclaims endpoints: they are missing as soon as they begin to leave', (t) => {
  const fleet = servingFleet()
  fleet.stalled.add('grassmarket')
  fleet.set('grassmarket', { inService: 2, leaving: 4 })
  fleet.step()
  t.deepEqual(fleet.orders(), { castlegate: 8, grassmarket: 6, 'leith-walk': 8 })
  fleet.set('grassmarket', { leaving: 0 })
  t.deepEqual(fleet.run(30_000), { castlegate: 8, grassmarket: 6, 'leith-walk': 8 }, 'gone from the registry, they are missing still')
})

test('endpoints leave because their order was reduced: nothing is missing', (t) => {
  const fleet = servingFleet()
  fleet.samples.set('critic', SIX_EACH / 2)
  t.deepEqual(fleet.run(500), { castlegate: 3, grassmarket: 3, 'leith-walk': 3 })
  fleet.stalled.add('castlegate')
  fleet.set('castlegate', { leaving: 3 })
  fleet.samples.set('critic', SIX_EACH)
  fleet.step()
  t.deepEqual(fleet.orders(), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
})

test('single endpoints restart, at once or late: nothing moves', (t) => {
  const fleet = servingFleet()
  fleet.stalled.add('castlegate')
  fleet.set('castlegate', { inService: 5, leaving: 1 })
  t.deepEqual(fleet.run(20_000), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
})

test('the platform has no capacity in a domain for a larger step (409): the rest is ordered elsewhere at once', (t) => {
  const fleet = servingFleet()
  fleet.available.set('castlegate', 6)
  fleet.samples.set('critic', 2 * SIX_EACH)
  t.deepEqual(fleet.run(500), { castlegate: 6, grassmarket: 15, 'leith-walk': 15 })
  fleet.available.clear()
  t.deepEqual(fleet.run(10_000), { castlegate: 12, grassmarket: 15, 'leith-walk': 15 }, 'accepted later, it has to serve first')
  t.deepEqual(fleet.run(25_000), { castlegate: 12, grassmarket: 12, 'leith-walk': 12 })
})

test('the platform has no capacity for a replacement (409): it goes to the remaining domain and stays there', (t) => {
  const fleet = servingFleet()
  fleet.available.set('castlegate', 7)
  fleet.set('leith-walk', { isEvacuated: true, inService: 0 })
  fleet.run(500)
  t.deepEqual(fleet.orders(), { castlegate: 6, grassmarket: 12, 'leith-walk': 6 })
  const seen = new Set<string>()
  for (let waited = 0; waited < 60_000; waited += 500) seen.add(JSON.stringify(fleet.run(500)))
  t.deepEqual([...seen], [JSON.stringify({ castlegate: 6, grassmarket: 12, 'leith-walk': 6 })])
})

test('replacements that do not start in one domain are ordered in another', (t) => {
  const fleet = servingFleet()
  fleet.stalled.add('castlegate')
  fleet.set('leith-walk', { isEvacuated: true, inService: 0 })
  t.deepEqual(fleet.run(1_000), { castlegate: 9, grassmarket: 9, 'leith-walk': 6 })
  t.deepEqual(fleet.run(LATE_MS), { castlegate: 9, grassmarket: 12, 'leith-walk': 6 })
})

test('the declared maximum holds; what finds no room is stated', (t) => {
  const service = { ...SERVICE, capacity: { minimum: 1, maximum: 8, startMs: START_MS, prices: { 'leith-walk': 1, grassmarket: 1.25, castlegate: 0.8 } } }
  const fleet = servingFleet(service)
  fleet.set('leith-walk', { isEvacuated: true, inService: 0 })
  fleet.step()
  t.is(fleet.step().unplaced, 2)
  t.deepEqual(fleet.orders(), { castlegate: 8, grassmarket: 8, 'leith-walk': 6 })
})

test('a step grows while its endpoints start: they are not missing', (t) => {
  const fleet = servingFleet()
  for (const factor of [1.5, 2, 2.5]) {
    fleet.samples.set('critic', SIX_EACH * factor)
    t.deepEqual(Object.values(fleet.run(3_000)), [6 * factor, 6 * factor, 6 * factor])
  }
})

test('a new leader during an evacuation reduces nothing, neither before nor after it knows the demand', (t) => {
  const fleet = servingFleet()
  fleet.set('leith-walk', { isEvacuated: true, inService: 0 })
  fleet.run(20_000)
  const orders = fleet.orders()
  fleet.takeOver()
  fleet.samples.clear()
  t.deepEqual(fleet.run(5_000), orders)
  fleet.samples.set('critic', SIX_EACH)
  t.deepEqual(fleet.run(30_000), orders)
})

test('a new leader while a domain lacks endpoints keeps their replacement until it knows for how long', (t) => {
  const fleet = servingFleet()
  fleet.stalled.add('castlegate')
  fleet.set('castlegate', { inService: 2 })
  const orders = fleet.run(20_000)
  t.deepEqual(orders, { castlegate: 6, grassmarket: 8, 'leith-walk': 8 })
  fleet.takeOver()
  const seen = new Set<string>()
  for (let waited = 0; waited < 40_000; waited += 500) seen.add(JSON.stringify(fleet.run(500)))
  t.deepEqual([...seen], [JSON.stringify(orders)])
  fleet.stalled.clear()
  t.deepEqual(fleet.run(HOLD_MS + 1_000), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
})

test('a new leader that knows no demand while endpoints are lost does not reduce the order of their domain', (t) => {
  const fleet = servingFleet()
  fleet.takeOver()
  fleet.samples.clear()
  fleet.run(1_000)
  fleet.stalled.add('castlegate')
  fleet.set('castlegate', { inService: 3 })
  t.deepEqual(fleet.run(20_000), { castlegate: 6, grassmarket: 6, 'leith-walk': 6 })
})
