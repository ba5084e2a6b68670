import { CapacityForecast } from './capacity-forecast.js'
import { EndpointState } from './roster.js'
import type { CapacityRule, Endpoint } from './catalogue.js'

/** How the capacity of a pool follows its demand. All times are in milliseconds. */
export interface CapacitySettings {
  /** Time an endpoint takes from its order until it serves. */
  readonly startMs: number
  /** Time for which too many endpoints must run before one is stopped. */
  readonly holdMs: number
  /** First pause after none were to be had in a failure domain; doubles each time. */
  readonly backOffMs: number
  /** Slots kept ready beyond the forecast, as a share of it. */
  readonly headroom: number
  /** Share of the latest peak that is kept ready. */
  readonly peakShare: number
}

/** Longest pause after none were to be had, as a multiple of the first. */
const MAX_BACK_OFF_FACTOR = 32

/** An ordered endpoint and what the platform and the cells tell of it. */
export interface CapacityEndpoint {
  readonly endpoint: Endpoint
  readonly state: EndpointState
  /** Slots that are granted on it. */
  readonly busy: number
}

/** What the plan is made from. */
export interface PoolSnapshot {
  readonly rules: readonly CapacityRule[]
  readonly endpoints: readonly CapacityEndpoint[]
  /** Slots of endpoints that the catalogue declares, which always run. */
  readonly declaredSlots: number
  readonly busySlots: number
  readonly waiting: number
  /** Slots of one endpoint that is yet to be ordered. */
  readonly slotsPerEndpoint: number
}

/** Kinds of what a capacity plan asks for. */
export enum CapacityActionKind {
  Start = 'start',
  /** Gives nothing new to the endpoint; it is stopped once it is idle. */
  Leave = 'leave',
  Stop = 'stop'
}

/** What a capacity plan asks for. */
export type CapacityAction =
  | { readonly kind: CapacityActionKind.Start, readonly rule: CapacityRule, readonly count: number }
  | { readonly kind: CapacityActionKind.Leave, readonly endpointId: string }
  | { readonly kind: CapacityActionKind.Stop, readonly endpointId: string }

/** Why nothing is ordered under a rule, and until when. */
interface BackOff {
  readonly until: number
  readonly failures: number
}

/**
 * Plans the endpoints of one pool. Each rule's minimum always runs: the steady
 * floor for bookings. What the forecast wants beyond goes to cheap endpoints,
 * spread over failure domains; steady ones are added only in place of cheap ones
 * that are not to be had. What still waits is shed by its class, training first.
 *
 * Invariants: no rule ever has more endpoints than its maximum, nor is one asked
 * to leave that its minimum needs; nothing is ordered under a rule that backs
 * off; only an endpoint that is leaving and idle is stopped.
 */
export class CapacityPlanner {
  readonly #settings: CapacitySettings
  readonly #forecast: CapacityForecast
  readonly #backOffs = new Map<string, BackOff>()
  /** Monotonic milliseconds since when more endpoints ran than were wanted. */
  #surplusSince: number | undefined

  constructor (settings: CapacitySettings) {
    this.#settings = settings
    this.#forecast = new CapacityForecast(settings.startMs, settings.peakShare)
  }

  /** Takes note that none were to be had under a rule. */
  recordRefusal (rule: CapacityRule, now: number): void {
    const failures = this.#backOffs.get(ruleKey(rule))?.failures ?? 0
    const pause = this.#settings.backOffMs * Math.min(2 ** failures, MAX_BACK_OFF_FACTOR)
    this.#backOffs.set(ruleKey(rule), { until: now + pause, failures: failures + 1 })
  }

  /** Takes note that an order under a rule was accepted. */
  recordAcceptance (rule: CapacityRule): void {
    this.#backOffs.delete(ruleKey(rule))
  }

  /** Whether nothing may be ordered under a rule now. */
  isBackingOff (rule: CapacityRule, now: number): boolean {
    return now < (this.#backOffs.get(ruleKey(rule))?.until ?? -Infinity)
  }

  /**
   * What is to be done now.
   *
   * @param now monotonic milliseconds
   * @example
   * for (const action of plan.step(sight, now)) await carryOut(action)
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

  /** Endpoints wanted beyond those that the catalogue declares. */
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

  /** Cheap before steady, then the failure domain with the fewest; steady ones only in place of cheap ones that are not to be had. */
  #selectRule (rules: readonly CapacityRule[], counts: ReadonlyMap<CapacityRule, number>, now: number): CapacityRule | undefined {
    const mayAddOnDemand = rules.every((rule) => !rule.cheap) || unavailableCheapCount(rules, counts, (rule) => this.isBackingOff(rule, now)) > onDemandAboveMinimum(rules, counts)
    const candidates = rules.filter((rule) => !this.isBackingOff(rule, now) && (counts.get(rule) ?? 0) < rule.maximum && (rule.cheap || mayAddOnDemand))
    candidates.sort((a, b) => Number(b.cheap) - Number(a.cheap) || (counts.get(a) ?? 0) - (counts.get(b) ?? 0))
    return candidates[0]
  }

  /** One endpoint to leave, when too many ran for long enough: a steady one first, as it costs most, then one of the fullest failure domain. */
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

/** Endpoints of a rule that serve or will. */
function activeEndpoints (snapshot: PoolSnapshot, rule: CapacityRule): CapacityEndpoint[] {
  return snapshot.endpoints.filter((item) => {
    const isActive = item.state === EndpointState.Starting || item.state === EndpointState.Running
    return isActive && item.endpoint.failureDomain === rule.failureDomain && item.endpoint.cheap === rule.cheap
  })
}

/** Cheap endpoints that might run but are not to be had now. */
function unavailableCheapCount (rules: readonly CapacityRule[], counts: ReadonlyMap<CapacityRule, number>, isBackingOff: (rule: CapacityRule) => boolean): number {
  return rules.reduce((sum, rule) => sum + (rule.cheap && isBackingOff(rule) ? rule.maximum - (counts.get(rule) ?? 0) : 0), 0)
}

/** Steady endpoints beyond the minimum. */
function onDemandAboveMinimum (rules: readonly CapacityRule[], counts: ReadonlyMap<CapacityRule, number>): number {
  return rules.reduce((sum, rule) => sum + (rule.cheap ? 0 : Math.max(0, (counts.get(rule) ?? 0) - rule.minimum)), 0)
}

function ruleKey (rule: CapacityRule): string {
  return `${rule.failureDomain}/${rule.cheap ? 'cheap' : 'steady'}`
}
