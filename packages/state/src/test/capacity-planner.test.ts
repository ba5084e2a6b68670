import test from 'ava'
import fc from 'fast-check'
import { FencingSupport } from '../lib/catalogue.js'
import { CapacityActionKind, CapacityPlanner } from '../lib/capacity-planner.js'
import { EndpointState } from '../lib/roster.js'
import type { CapacityAction, CapacityEndpoint, PoolSnapshot } from '../lib/capacity-planner.js'
import type { CapacityRule } from '../lib/catalogue.js'

const SEED = 20_261_206
const RUNS = 1_500
const SLOTS = 8
const STEP_MS = 500
const SETTINGS = { startMs: 1_000, holdMs: 5_000, backOffMs: 1_000, headroom: 0.1, peakShare: 0 }

function rule (failureDomain: string, cheap: boolean, minimum: number, maximum: number): CapacityRule {
  return { failureDomain, region: 'r', cheap, minimum, maximum }
}

/** Simulates the endpoints that the platform runs for a planner. */
class Fleet {
  readonly planner = new CapacityPlanner(SETTINGS)
  readonly rules: readonly CapacityRule[]
  endpoints: CapacityEndpoint[] = []
  now = 0
  /** Busy slots by endpoint id at the last step. */
  busyAtLastStep = new Map<string, number>()
  readonly refusedAt = new Map<CapacityRule, number>()
  #sequence = 0

  constructor (rules: readonly CapacityRule[]) {
    this.rules = rules
  }

  step (demand: number, exhausted: (rule: CapacityRule) => boolean = () => false): CapacityAction[] {
    this.now += STEP_MS
    this.endpoints = this.endpoints.map((item) => item.state === EndpointState.Starting ? { ...item, state: EndpointState.Running } : item)
    let left = demand
    this.endpoints = this.endpoints.map((item) => {
      // A leaving endpoint finishes its work at two slots per step.
      if (item.state === EndpointState.Leaving) return { ...item, busy: Math.max(0, item.busy - 2) }
      const busy = item.state === EndpointState.Running ? Math.min(SLOTS, left) : 0
      left -= busy
      return { ...item, busy }
    })
    this.busyAtLastStep = new Map(this.endpoints.map((item) => [item.endpoint.id, item.busy]))
    const snapshot: PoolSnapshot = { rules: this.rules, endpoints: this.endpoints, declaredSlots: 0, busySlots: demand - left, waiting: left, slotsPerEndpoint: SLOTS }
    const actions = this.planner.planActions(snapshot, this.now)
    for (const action of actions) this.#carryOut(action, exhausted)
    return actions
  }

  count (target: CapacityRule): number {
    return this.endpoints.filter((item) => item.endpoint.failureDomain === target.failureDomain && item.endpoint.cheap === target.cheap && item.state !== EndpointState.Leaving).length
  }

  #carryOut (action: CapacityAction, exhausted: (rule: CapacityRule) => boolean): void {
    if (action.kind === CapacityActionKind.Stop) this.endpoints = this.endpoints.filter((item) => item.endpoint.id !== action.endpointId)
    if (action.kind === CapacityActionKind.Leave) this.endpoints = this.endpoints.map((item) => item.endpoint.id === action.endpointId ? { ...item, state: EndpointState.Leaving } : item)
    if (action.kind !== CapacityActionKind.Start) return
    if (exhausted(action.rule)) {
      this.planner.recordRefusal(action.rule, this.now)
      this.refusedAt.set(action.rule, this.now)
      return
    }
    this.planner.recordAcceptance(action.rule)
    for (let index = 0; index < action.count; index++) this.#start(action.rule)
  }

  #start ({ failureDomain, cheap }: CapacityRule): void {
    this.#sequence += 1
    const endpoint = { id: `e${this.#sequence}`, url: 'http://127.0.0.1:1', region: 'r', failureDomain, slots: SLOTS, cheap, fencing: FencingSupport.Checked }
    this.endpoints.push({ endpoint, state: EndpointState.Starting, busy: 0 })
  }
}

const rulesArbitrary = fc.array(fc.tuple(fc.boolean(), fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 6 })), { minLength: 1, maxLength: 6 })
  .map((items) => items.map(([cheap, minimum, more], index) => rule(`d${index}`, cheap, minimum, minimum + more)))
const stepsArbitrary = fc.array(fc.record({ demand: fc.integer({ min: 0, max: 200 }), exhausted: fc.integer({ min: 0, max: 63 }) }), { minLength: 1, maxLength: 80 })

test(`no rule exceeds its maximum, no busy endpoint is stopped, and nothing is ordered during a back-off (seed ${SEED})`, (t) => {
  fc.assert(fc.property(rulesArbitrary, stepsArbitrary, (poolRules, steps) => {
    const fleet = new Fleet(poolRules)
    for (const { demand, exhausted } of steps) {
      const before = poolRules.map((one) => fleet.count(one))
      const refusedAt = new Map(fleet.refusedAt)
      const actions = fleet.step(demand, (one) => (exhausted >> poolRules.indexOf(one)) % 2 === 1)
      for (const action of actions) {
        if (action.kind === CapacityActionKind.Start && fleet.now - (refusedAt.get(action.rule) ?? -Infinity) < SETTINGS.backOffMs) return false
        if (action.kind === CapacityActionKind.Stop && fleet.busyAtLastStep.get(action.endpointId) !== 0) return false
      }
      for (const [index, one] of poolRules.entries()) {
        const count = fleet.count(one)
        if (count > one.maximum) return false
        if (count < Math.min(one.minimum, before[index] ?? 0)) return false
      }
    }
    return true
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test(`constant demand converges: there are enough slots and no further orders (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 60 }), (demand) => {
    const poolRules = [rule('a', true, 0, 6), rule('b', true, 0, 6), rule('c', false, 1, 6)]
    const fleet = new Fleet(poolRules)
    for (let step = 0; step < 200; step++) fleet.step(demand)
    const settled = Array.from({ length: 40 }, () => fleet.step(demand)).flat()
    return settled.length === 0 && fleet.endpoints.length * SLOTS >= demand
  }), { seed: SEED, numRuns: 1_000 })
  t.pass()
})

test('cheap endpoints are spread over failure domains, and on-demand ones replace them if they are unavailable', (t) => {
  const poolRules = [rule('a', true, 0, 4), rule('b', true, 0, 4), rule('c', false, 1, 4)]
  const fleet = new Fleet(poolRules)
  for (let step = 0; step < 10; step++) fleet.step(32)
  t.deepEqual(poolRules.map((one) => fleet.count(one)), [2, 2, 1])
  const withoutCheap = new Fleet(poolRules)
  for (let step = 0; step < 10; step++) withoutCheap.step(32, (one) => one.cheap)
  t.deepEqual(poolRules.map((one) => withoutCheap.count(one)), [0, 0, 4])
})

test('demand that oscillates faster than the hold time stops no endpoints', (t) => {
  const fleet = new Fleet([rule('a', true, 0, 8)])
  const actions = Array.from({ length: 100 }, (_, step) => fleet.step(step % 8 < 4 ? 40 : 0)).flat()
  t.true(actions.every((action) => action.kind === CapacityActionKind.Start))
})

test('a leaving endpoint is stopped only once it is idle', (t) => {
  const endpoint = { id: 'e', url: 'http://127.0.0.1:1', region: 'r', failureDomain: 'a', slots: SLOTS, cheap: true, fencing: FencingSupport.Checked }
  const snapshot = { rules: [rule('a', true, 0, 1)], declaredSlots: 0, busySlots: 0, waiting: 0, slotsPerEndpoint: SLOTS }
  const planner = new CapacityPlanner(SETTINGS)
  t.deepEqual(planner.planActions({ ...snapshot, endpoints: [{ endpoint, state: EndpointState.Leaving, busy: 1 }] }, 0), [])
  t.deepEqual(planner.planActions({ ...snapshot, endpoints: [{ endpoint, state: EndpointState.Leaving, busy: 0 }] }, 1), [{ kind: CapacityActionKind.Stop, endpointId: 'e' }])
})
