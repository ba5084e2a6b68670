import type { Limits } from './catalogue.js'

/** Window to which the rates apply, in milliseconds. */
const RATE_WINDOW_MS = 1_000

/**
 * How long a grant may be used after it was requested, in milliseconds. Rates are
 * enforced over the window plus this time, so that a grant used late can't exceed
 * the rate of any single second; this costs at most 1 - 1000/1040 = 3.8% of the rate.
 */
export const GRANT_LIFETIME_MS = 40

/** Retry delay while the concurrency limit is reached, in milliseconds. */
const CONCURRENCY_RETRY_MS = 50

/** How long the running requests of a host count without a message from it, in milliseconds. */
export const HOST_TIMEOUT_MS = 10_000

/** Amount of a limit that one request uses. */
export interface LimitDemand {
  /** 1, or 0 for a further attempt of a request that was already counted. */
  readonly requests: number
  readonly tokens: number
}

/** Reply of the account to a host. */
export interface LimitGrant {
  /** Number of demands granted, from the first on. */
  readonly granted: number
  /** Milliseconds after which a request for the next demand may succeed; 0 if all were granted. */
  readonly retryAfterMs: number
}

/** A grant that counts against the rates. */
interface CountedGrant {
  readonly at: number
  readonly requests: number
  readonly tokens: number
}

/** Running requests of one host, which count against the concurrency. */
interface HostUsage {
  count: number
  heardAt: number
}

/**
 * Enforces a set of limits for all hosts together. Rates are exact: within any
 * window of `RATE_WINDOW_MS + GRANT_LIFETIME_MS`, at most one second's worth is granted.
 *
 * Invariants: granted requests and tokens never exceed the rate over that window,
 * except that a single demand larger than the rate is granted alone and followed
 * by a longer pause to compensate. Nothing is granted before `opensAt`, so that
 * grants of a previous owner have expired by then.
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

  /** Changes the limits; earlier grants still count. */
  setLimits (limits: Limits): void {
    this.#limits = limits
  }

  /**
   * Decides on the demands of a host, in order.
   *
   * @param host the requesting host
   * @param held number of requests it runs under this account, without the demands
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

  /** Milliseconds until a demand may be granted; 0 if it may be granted now. */
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

  /** Time at which a grant no longer counts; later for a grant larger than the rate and for rates below one per second. */
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
 * Scales limits to a share of the hosts.
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
