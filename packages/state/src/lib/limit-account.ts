import type { Limits } from './catalogue.js'

/** Span over which rates hold, in milliseconds. */
const RATE_WINDOW_MS = 1_000

/**
 * How long a grant may be used after it was asked for, in milliseconds. Rates are
 * kept over the span and this time together, so that a grant used late can't push
 * any single second over; it costs 1 - 1000/1040 = 3.8% of the rate at most.
 */
export const GRANT_LIFETIME_MS = 40

/** Pause before asking again when concurrency is used up, in milliseconds. */
const CONCURRENCY_RETRY_MS = 50

/** How long the held slots of a host count without news from it, in milliseconds. */
export const HOST_TIMEOUT_MS = 10_000

/** What one request takes of a limit. */
export interface LimitDemand {
  /** 1, or 0 for a further attempt of a request that was counted before. */
  readonly requests: number
  readonly tokens: number
}

/** What the account answers to a host. */
export interface LimitGrant {
  /** How many of the demands, in their order, are granted. */
  readonly granted: number
  /** After how many milliseconds asking for the next one may help; 0 when all were granted. */
  readonly retryAfterMs: number
}

/** A grant as it counts against the rates. */
interface CountedGrant {
  readonly at: number
  readonly requests: number
  readonly tokens: number
}

/** Slots of one host that count against the concurrency. */
interface HostUsage {
  count: number
  heardAt: number
}

/**
 * Holds one set of limits over all hosts together. Rates are exact: over any
 * span of `RATE_SPAN_MS + GRANT_LIFE_MS`, at most one second's worth is granted.
 *
 * Invariants: granted requests and tokens never exceed the rate over that span,
 * except that a single demand larger than the rate is granted on its own, after a
 * pause that makes up for it. Nothing is granted before `opensAt`, so that grants
 * of an earlier owner have passed out of the span.
 */
export class LimitAccount {
  readonly #opensAt: number
  #limits: Limits
  #grants: CountedGrant[] = []
  #oldestIndex = 0
  #requests = 0
  #tokens = 0
  readonly #hostUsages = new Map<string, HostUsage>()

  /** @param opensAt monotonic milliseconds */
  constructor (limits: Limits, opensAt: number) {
    this.#limits = limits
    this.#opensAt = opensAt
  }

  /** Changes the limits; what was granted stays counted. */
  setLimits (limits: Limits): void {
    this.#limits = limits
  }

  /**
   * Decides on the demands of one host, in their order.
   *
   * @param host the host that asks
   * @param held requests it runs under this account, without the demands
   * @param now monotonic milliseconds
   */
  requestGrant (host: string, held: number, demands: readonly LimitDemand[], now: number): LimitGrant {
    this.#dropExpired(now)
    const usage: HostUsage = { count: held, heardAt: now }
    this.#hostUsages.set(host, usage)
    if (now < this.#opensAt) return { granted: 0, retryAfterMs: this.#opensAt - now }
    let granted = 0
    for (const demand of demands) {
      const waitMs = this.#waitMs(demand, now)
      if (waitMs > 0) return { granted, retryAfterMs: waitMs }
      this.#countGrant(demand, now)
      usage.count += 1
      granted += 1
    }
    return { granted, retryAfterMs: 0 }
  }

  /** Milliseconds until a demand may be granted; 0 when it may be now. */
  #waitMs (demand: LimitDemand, now: number): number {
    const { requestsPerSecond = Infinity, tokensPerSecond = Infinity, concurrency = Infinity } = this.#limits
    if (this.#totalHeld() + 1 > concurrency) return CONCURRENCY_RETRY_MS
    const perWindow = (rate: number): number => rate < 1 ? 1 : rate
    if (this.#requests + demand.requests <= perWindow(requestsPerSecond) && this.#tokensFit(demand.tokens, tokensPerSecond)) return 0
    const oldest = this.#grants[this.#oldestIndex]
    return oldest === undefined ? 0 : Math.max(1, this.#expiresAt(oldest) - now)
  }

  #tokensFit (tokens: number, tokensPerSecond: number): boolean {
    return this.#tokens + tokens <= tokensPerSecond || this.#tokens === 0 || tokens === 0
  }

  #countGrant (demand: LimitDemand, now: number): void {
    this.#grants.push({ at: now, requests: demand.requests, tokens: demand.tokens })
    this.#requests += demand.requests
    this.#tokens += demand.tokens
  }

  /** When a grant passes out of the span; one above the rate, or a rate below one a second, takes longer. */
  #expiresAt (grant: CountedGrant): number {
    const { requestsPerSecond = Infinity, tokensPerSecond = Infinity } = this.#limits
    const windows = Math.max(1, grant.tokens / tokensPerSecond, grant.requests / requestsPerSecond)
    return grant.at + windows * RATE_WINDOW_MS + GRANT_LIFETIME_MS
  }

  #dropExpired (now: number): void {
    for (let oldest = this.#grants[this.#oldestIndex]; oldest !== undefined && this.#expiresAt(oldest) <= now; oldest = this.#grants[this.#oldestIndex]) {
      this.#requests -= oldest.requests
      this.#tokens -= oldest.tokens
      this.#oldestIndex += 1
    }
    if (this.#oldestIndex > this.#grants.length / 2) {
      this.#grants = this.#grants.slice(this.#oldestIndex)
      this.#oldestIndex = 0
    }
    for (const [host, usage] of this.#hostUsages) {
      if (now - usage.heardAt > HOST_TIMEOUT_MS) this.#hostUsages.delete(host)
    }
  }

  #totalHeld (): number {
    let held = 0
    for (const usage of this.#hostUsages.values()) held += usage.count
    return held
  }
}

/**
 * The limits of a part of the hosts.
 *
 * @example
 * scaleLimits({ requestsPerSecond: 80 }, 1 / 8) // { requestsPerSecond: 10 }
 */
export function scaleLimits (limits: Limits, share: number): Limits {
  const { requestsPerSecond, tokensPerSecond, concurrency } = limits
  return {
    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond: requestsPerSecond * share }),
    ...(tokensPerSecond === undefined ? {} : { tokensPerSecond: tokensPerSecond * share }),
    ...(concurrency === undefined ? {} : { concurrency: Math.floor(concurrency * share) })
  }
}
