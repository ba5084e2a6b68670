import { desiredEndpointCount, isDemandKnown } from '../endpoint-demand.js'
import { DomainShortfall } from './domain-shortfall.js'
import { spreadExtra } from './spread-extra.js'
import { WindowMaximum } from './window-maximum.js'
import type { DeclaredService } from '../declaration.js'
import type { DomainEndpoints } from './domain-shortfall.js'

/**
 * Share of the endpoints up to which a loss moves nothing: an endpoint of eight that restarts is back before
 * one that is ordered in its place has started.
 */
const TOLERATED_SHARE = 1 / 8

/** Time for which the missing domains must have served again before their replacement is released, in milliseconds: several starts. */
const HOLD_MS = 15_000

/** A service as the leader sees it. */
export interface ServiceLoad {
  /** Samples in the largest recent step of each model; models without a recent step are missing. */
  readonly samples: ReadonlyMap<string, number>
  /** Number of requests that one endpoint runs concurrently. */
  readonly slots: number
  /** Endpoints by failure domain; a domain without any may be absent. */
  readonly domains: ReadonlyMap<string, DomainEndpoints>
}

/** Order for a failure domain, with what it was derived from. */
export interface DomainPlan {
  /** Number of endpoints to order; undefined if the order there stays as it is. */
  readonly count: number | undefined
  /** Endpoints for the demand of the domain. */
  readonly demand: number
  /** Endpoints in place of those missing in other domains. */
  readonly extra: number
  readonly inService: number
  readonly missing: number
}

/** Orders for all failure domains of a service. */
export interface CapacityPlan {
  readonly domains: ReadonlyMap<string, DomainPlan>
  /** Missing endpoints by failure domain; domains without any are absent. */
  readonly missing: Readonly<Record<string, number>>
  /** Missing endpoints for which no other domain has room. */
  readonly unplaced: number
}

interface DomainState {
  readonly shortfall: DomainShortfall
  extra: number
  /** Largest number of endpoints in service since the demand became unknown. */
  retained: number
  /** Monotonic milliseconds until which no more endpoints are ordered there in place of missing ones. */
  unsettledUntil: number
}

const NO_ENDPOINTS: DomainEndpoints = { inService: 0, leaving: 0, isEvacuated: false }

/**
 * Plans the endpoints of one service in all its failure domains: each gets its share of the demand, and what is
 * missing in some of them is ordered in the others, within the declared bounds.
 *
 * Load that it answers: a failure domain is evacuated, loses endpoints, or has none to order, while the work of
 * training steps stays the same.
 *
 * Invariants: if nothing is missing, the orders are those of {@link desiredEndpointCount}; the order of an
 * evacuated domain isn't changed; a replacement is released only after nothing was missing for the hold time;
 * nothing is reduced while the demand is unknown.
 *
 * @example
 * const shift = new CapacityShift()
 * shift.plan(service, { samples, slots: 8, domains }, now).domains.get('leith-walk')?.count // 6
 * shift.recordAccepted('leith-walk', 6, now)
 */
export class CapacityShift {
  readonly #states = new Map<string, DomainState>()
  readonly #required = new WindowMaximum(HOLD_MS)
  #hasAdopted = false

  /** Records that the platform accepted an order. */
  recordAccepted (failureDomain: string, count: number, now: number): void {
    this.#states.get(failureDomain)?.shortfall.recordAccepted(count, now)
  }

  /** Records that the platform has no capacity for an order. */
  recordRefused (failureDomain: string, count: number, now: number): void {
    this.#states.get(failureDomain)?.shortfall.recordRefused(count, now)
  }

  /**
   * Plans the orders of a service; always to be called with the same service, whose declaration may change.
   *
   * @param now monotonic milliseconds
   */
  plan (service: DeclaredService, load: ServiceLoad, now: number): CapacityPlan {
    const { capacity } = service
    if (capacity === undefined) return { domains: new Map(), missing: {}, unplaced: 0 }
    const isKnown = isDemandKnown(service, load.samples)
    const domains = Object.entries(capacity.prices).map(([failureDomain, price]) => {
      const state = this.#state(failureDomain, capacity.startMs, now)
      const endpoints = load.domains.get(failureDomain) ?? NO_ENDPOINTS
      const own = desiredEndpointCount(service, failureDomain, { samples: load.samples, slots: load.slots, running: 0 }) ?? 0
      state.retained = isKnown ? 0 : Math.max(state.retained, endpoints.inService)
      state.extra = Math.min(state.extra, maxExtra(state, endpoints, own, capacity.maximum, now))
      return { failureDomain, price, state, endpoints, own }
    })
    if (isKnown && !this.#hasAdopted) {
      this.#hasAdopted = true
      this.#adoptSurplus(domains, capacity.maximum, now)
    }
    for (const { state, endpoints, own } of domains) {
      const missing = state.shortfall.observe({ own, extra: state.extra }, endpoints, now)
      if (missing > (own + state.extra) * TOLERATED_SHARE) state.unsettledUntil = now + HOLD_MS
    }
    this.#required.record(requiredExtra(domains), now)
    const required = this.#required.current(now) ?? 0
    const extras = spreadExtra(required, domains.map(({ failureDomain, price, state, endpoints, own }) => ({
      failureDomain,
      price,
      extra: state.extra,
      maxExtra: maxExtra(state, endpoints, own, capacity.maximum, now),
      isAble: now >= state.unsettledUntil
    })))
    for (const { failureDomain, state } of domains) state.extra = extras.get(failureDomain) ?? 0
    return {
      domains: new Map(domains.map(({ failureDomain, state, endpoints, own }) => [failureDomain, {
        count: endpoints.isEvacuated ? undefined : Math.min(capacity.maximum, Math.max(own + state.extra, state.retained)),
        demand: own,
        extra: state.extra,
        inService: endpoints.inService,
        missing: state.shortfall.missing
      }])),
      missing: Object.fromEntries(domains.flatMap(({ failureDomain, state }) => state.shortfall.missing > 0 ? [[failureDomain, state.shortfall.missing]] : [])),
      unplaced: required - sum([...extras.values()])
    }
  }

  /**
   * Takes endpoints beyond the demand of their domain for replacements that an earlier leader ordered, as far as
   * others lack endpoints: this leader can't know yet for how long.
   */
  #adoptSurplus (domains: readonly PlannedDomain[], maximum: number, now: number): void {
    const lacking = domains.map(({ endpoints, own }) => ({ missing: Math.max(0, own - endpoints.inService), isEvacuated: endpoints.isEvacuated, own }))
    let left = exceedingLoss(lacking)
    for (const { state, endpoints, own } of domains) {
      const adopted = Math.max(state.extra, Math.min(left, maximum - own, endpoints.inService - own))
      left = Math.max(0, left - adopted)
      state.extra = adopted
    }
    this.#required.record(sum(domains.map(({ state }) => state.extra)), now)
  }

  #state (failureDomain: string, startMs: number, now: number): DomainState {
    const known = this.#states.get(failureDomain)
    if (known !== undefined) return known
    const created: DomainState = { shortfall: new DomainShortfall(startMs, now), extra: 0, retained: 0, unsettledUntil: -Infinity }
    this.#states.set(failureDomain, created)
    return created
  }
}

interface PlannedDomain {
  readonly failureDomain: string
  readonly price: number
  readonly state: DomainState
  readonly endpoints: DomainEndpoints
  readonly own: number
}

interface DomainLoss {
  readonly missing: number
  readonly isEvacuated: boolean
  readonly own: number
}

/** Largest number of replacements in a domain: none if it is evacuated, and no more than it has if the platform refused an order. */
function maxExtra ({ shortfall }: DomainState, { isEvacuated, inService }: DomainEndpoints, own: number, maximum: number, now: number): number {
  if (isEvacuated) return 0
  const bound = shortfall.isRefused(now) ? Math.min(maximum, shortfall.accepted ?? inService) : maximum
  return Math.max(0, bound - own)
}

function requiredExtra (domains: readonly PlannedDomain[]): number {
  return exceedingLoss(domains.map(({ state, endpoints, own }) => ({ missing: state.shortfall.missing, isEvacuated: endpoints.isEvacuated, own })))
}

/** Number of missing endpoints; outside evacuated domains they count only if they exceed the tolerated share. */
function exceedingLoss (losses: readonly DomainLoss[]): number {
  const evacuated = sum(losses.filter(({ isEvacuated }) => isEvacuated).map(({ missing }) => missing))
  const lost = sum(losses.filter(({ isEvacuated }) => !isEvacuated).map(({ missing }) => missing))
  return evacuated + (lost > sum(losses.map(({ own }) => own)) * TOLERATED_SHARE ? lost : 0)
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
