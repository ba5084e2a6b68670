import { CapacityForecast } from './capacity-forecast.js'
import { EndpointState } from './roster.js'
import type { CapacityRule, Endpoint } from './catalogue.js'

/** Settings that control how the capacity of a pool follows its demand. All times are in milliseconds. */
export interface CapacitySettings {
  /** Time from the order of an endpoint until it serves. */
  readonly startMs: number
  /** Time for which there must be surplus endpoints before one is stopped. */
  readonly holdMs: number
  /** Initial back-off after an order was refused in a failure domain; doubles with each refusal. */
  readonly backOffMs: number
  /** Slots kept available beyond the forecast, as a share of it. */
  readonly headroom: number
  /** Share of the recent peak that is kept available. */
  readonly peakShare: number
}

/** Maximum back-off after refused orders, as a multiple of the initial one. */
const MAX_BACK_OFF_FACTOR = 32

/** An ordered endpoint with the state reported by the platform and the cells. */
export interface CapacityEndpoint {
  readonly endpoint: Endpoint
  readonly state: EndpointState
  /** Granted slots of the endpoint. */
  readonly busy: number
}

/** State of a pool on which the planner decides. */
export interface PoolSnapshot {
  readonly rules: readonly CapacityRule[]
  readonly endpoints: readonly CapacityEndpoint[]
  /** Slots of the endpoints declared in the catalogue, which always run. */
  readonly declaredSlots: number
  readonly busySlots: number
  readonly waiting: number
  /** Slots of an endpoint that is ordered from now on. */
  readonly slotsPerEndpoint: number
}

/** Kinds of capacity actions. */
export enum CapacityActionKind {
  Start = 'start',
  /** Assigns no new work to the endpoint, so that it can be stopped once it is idle. */
  Leave = 'leave',
  Stop = 'stop'
}

/** A change to the endpoints of a pool. */
export type CapacityAction =
  | { readonly kind: CapacityActionKind.Start, readonly rule: CapacityRule, readonly count: number }
  | { readonly kind: CapacityActionKind.Leave, readonly endpointId: string }
  | { readonly kind: CapacityActionKind.Stop, readonly endpointId: string }

/** Back-off of a rule after its orders were refused. */
interface BackOff {
  readonly until: number
  readonly failures: number
}

/**
 * Plans the endpoints of one pool. The minimum of each rule always runs, as base
 * capacity for bookings. Forecast demand beyond it is covered by cheap
 * (preemptible) endpoints, spread over failure domains; on-demand endpoints are
 * added only to replace cheap ones that are not available. Work that exceeds the
 * capacity is shed by class, training first.
 *
 * Invariants: no rule exceeds its maximum, and no endpoint is drained that the
 * minimum of its rule needs; nothing is ordered under a rule that is backing
 * off; only an endpoint that is leaving and idle is stopped.
 */
export class CapacityPlanner {
  readonly #settings: CapacitySettings
  readonly #forecast: CapacityForecast
  readonly #backOffs = new Map<string, BackOff>()
  /** Monotonic milliseconds since when more endpoints have run than needed. */
  #surplusSince: number | undefined

  constructor (settings: CapacitySettings) {
    this.#settings = settings
    this.#forecast = new CapacityForecast(settings.startMs, settings.peakShare)
  }

  /** Records that an order under a rule was refused because no endpoint was available. */
  recordRefusal (rule: CapacityRule, now: number): void {
    const failures = this.#backOffs.get(ruleKey(rule))?.failures ?? 0
    const pause = this.#settings.backOffMs * Math.min(2 ** failures, MAX_BACK_OFF_FACTOR)
    this.#backOffs.set(ruleKey(rule), { until: now + pause, failures: failures + 1 })
  }

  /** Records that an order under a rule was accepted, which ends its back-off. */
  recordAcceptance (rule: CapacityRule): void {
    this.#backOffs.delete(ruleKey(rule))
  }

  /** Whether a rule is backing off, so that nothing may be ordered under it now. */
  isBackingOff (rule: CapacityRule, now: number): boolean {
    return now < (this.#backOffs.get(ruleKey(rule))?.until ?? -Infinity)
  }

  /**
   * Returns the actions to carry out now.
   *
   * @param now monotonic milliseconds
   * @example
   * for (const action of planner.planActions(snapshot, now)) await carryOut(action)
   */
  planActions (snapshot: PoolSnapshot, now: number): CapacityAction[] {
    this.#forecast.observe(snapshot.busySlots + snapshot.waiting, now)
    const wanted = this.#desiredEndpointCount(snapshot)
    const starts = this.#planStarts(snapshot, wanted, now)
    const stops = snapshot.endpoints
      .filter((item) => item.state === EndpointState.Leaving && item.busy === 0)
      .map((item): CapacityAction => ({ kind: CapacityActionKind.Stop, endpointId: item.endpoint.id }))
    const leave = starts.length > 0 ? undefined : this.#planLeave(snapshot, wanted, now)
    return leave === undefined ? [...starts, ...stops] : [...starts, ...stops, leave]
  }

  /** Number of endpoints needed beyond those declared in the catalogue. */
  #desiredEndpointCount (snapshot: PoolSnapshot): number {
    const slots = this.#forecast.forecastSlots() * (1 + this.#settings.headroom) - snapshot.declaredSlots
    return Math.max(0, Math.ceil(slots / snapshot.slotsPerEndpoint))
  }

  #planStarts (snapshot: PoolSnapshot, wanted: number, now: number): CapacityAction[] {
    const counts = new Map(snapshot.rules.map((rule) => [rule, activeEndpoints(snapshot, rule).length]))
    const starts = new Map<CapacityRule, number>()
    const add = (rule: CapacityRule): void => {
      counts.set(rule, (counts.get(rule) ?? 0) + 1)
      starts.set(rule, (starts.get(rule) ?? 0) + 1)
    }
    for (const rule of snapshot.rules) {
      while (!this.isBackingOff(rule, now) && (counts.get(rule) ?? 0) < Math.min(rule.minimum, rule.maximum)) add(rule)
    }
    let total = [...counts.values()].reduce((sum, count) => sum + count, 0)
    for (; total < wanted; total++) {
      const rule = this.#selectRule(snapshot.rules, counts, now)
      if (rule === undefined) break
      add(rule)
    }
    return [...starts].map(([rule, count]): CapacityAction => ({ kind: CapacityActionKind.Start, rule, count }))
  }

  /** Selects cheap before on-demand, then the rule with the fewest endpoints; on-demand only as replacement for unavailable cheap ones. */
  #selectRule (rules: readonly CapacityRule[], counts: ReadonlyMap<CapacityRule, number>, now: number): CapacityRule | undefined {
    const mayAddOnDemand = rules.every((rule) => !rule.cheap) || unavailableCheapCount(rules, counts, (rule) => this.isBackingOff(rule, now)) > onDemandAboveMinimum(rules, counts)
    const candidates = rules.filter((rule) => !this.isBackingOff(rule, now) && (counts.get(rule) ?? 0) < rule.maximum && (rule.cheap || mayAddOnDemand))
    candidates.sort((a, b) => Number(b.cheap) - Number(a.cheap) || (counts.get(a) ?? 0) - (counts.get(b) ?? 0))
    return candidates[0]
  }

  /** Selects one endpoint to drain once the surplus has lasted for the hold time: on-demand first, as it costs most, then from the failure domain with the most. */
  #planLeave (snapshot: PoolSnapshot, wanted: number, now: number): CapacityAction | undefined {
    const total = snapshot.rules.reduce((sum, rule) => sum + activeEndpoints(snapshot, rule).length, 0)
    const surplus = snapshot.rules
      .flatMap((rule) => activeEndpoints(snapshot, rule).slice(rule.minimum).length > 0 ? activeEndpoints(snapshot, rule) : [])
      .filter((item) => item.state === EndpointState.Running)
    if (total <= wanted || surplus.length === 0) {
      this.#surplusSince = undefined
      return undefined
    }
    this.#surplusSince ??= now
    if (now - this.#surplusSince < this.#settings.holdMs) return undefined
    const domainSize = (item: CapacityEndpoint): number => surplus.filter((other) => other.endpoint.failureDomain === item.endpoint.failureDomain).length
    surplus.sort((a, b) => Number(a.endpoint.cheap) - Number(b.endpoint.cheap) || domainSize(b) - domainSize(a) || a.busy - b.busy)
    const [first] = surplus
    return first === undefined ? undefined : { kind: CapacityActionKind.Leave, endpointId: first.endpoint.id }
  }
}

/** Endpoints of a rule that are starting or running. */
function activeEndpoints (snapshot: PoolSnapshot, rule: CapacityRule): CapacityEndpoint[] {
  return snapshot.endpoints.filter((item) => {
    const isActive = item.state === EndpointState.Starting || item.state === EndpointState.Running
    return isActive && item.endpoint.failureDomain === rule.failureDomain && item.endpoint.cheap === rule.cheap
  })
}

/** Number of cheap endpoints that the rules allow but that are unavailable now. */
function unavailableCheapCount (rules: readonly CapacityRule[], counts: ReadonlyMap<CapacityRule, number>, isBackingOff: (rule: CapacityRule) => boolean): number {
  return rules.reduce((sum, rule) => sum + (rule.cheap && isBackingOff(rule) ? rule.maximum - (counts.get(rule) ?? 0) : 0), 0)
}

/** Number of on-demand endpoints above the minimum. */
function onDemandAboveMinimum (rules: readonly CapacityRule[], counts: ReadonlyMap<CapacityRule, number>): number {
  return rules.reduce((sum, rule) => sum + (rule.cheap ? 0 : Math.max(0, (counts.get(rule) ?? 0) - rule.minimum)), 0)
}

function ruleKey (rule: CapacityRule): string {
  return `${rule.failureDomain}/${rule.cheap ? 'cheap' : 'steady'}`
}
