import type { Limits } from './catalogue.js'

/** Span over which rates hold, in milliseconds. */
const RATE_SPAN_MS = 1_000

/**
 * How long a grant may be used after it was asked for, in milliseconds. Rates are
 * kept over the span and this time together, so that a grant used late can't push
 * any single second over; it costs 1 - 1000/1040 = 3.8% of the rate at most.
 */
export const GRANT_LIFE_MS = 40

/** Pause before asking again when concurrency is used up, in milliseconds. */
const CONCURRENCY_RETRY_MS = 50

/** How long the held slots of a host count without news from it, in milliseconds. */
export const HOST_SILENCE_MS = 10_000

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
interface Spent {
  readonly at: number
  readonly requests: number
  readonly tokens: number
}

/** Slots of one host that count against the concurrency. */
interface Holding {
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
  #spent: Spent[] = []
  #first = 0
  #requests = 0
  #tokens = 0
  readonly #holdings = new Map<string, Holding>()

  /** @param opensAt monotonic milliseconds */
  constructor (limits: Limits, opensAt: number) {
    this.#limits = limits
    this.#opensAt = opensAt
  }

  /** Changes the limits; what was granted stays counted. */
  limit (limits: Limits): void {
    this.#limits = limits
  }

  /**
   * Decides on the demands of one host, in their order.
   *
   * @param host the host that asks
   * @param held requests it runs under this account, without the demands
   * @param now monotonic milliseconds
   */
  ask (host: string, held: number, demands: readonly LimitDemand[], now: number): LimitGrant {
    this.#forget(now)
    const holding: Holding = { count: held, heardAt: now }
    this.#holdings.set(host, holding)
    if (now < this.#opensAt) return { granted: 0, retryAfterMs: this.#opensAt - now }
    let granted = 0
    for (const demand of demands) {
      const waitMs = this.#waitMs(demand, now)
      if (waitMs > 0) return { granted, retryAfterMs: waitMs }
      this.#spend(demand, now)
      holding.count += 1
      granted += 1
    }
    return { granted, retryAfterMs: 0 }
  }

  /** Milliseconds until a demand may be granted; 0 when it may be now. */
  #waitMs (demand: LimitDemand, now: number): number {
    const { requestsPerSecond = Infinity, tokensPerSecond = Infinity, concurrency = Infinity } = this.#limits
    if (this.#held() + 1 > concurrency) return CONCURRENCY_RETRY_MS
    const perSpan = (rate: number): number => rate < 1 ? 1 : rate
    if (this.#requests + demand.requests <= perSpan(requestsPerSecond) && this.#fits(demand.tokens, tokensPerSecond)) return 0
    const oldest = this.#spent[this.#first]
    return oldest === undefined ? 0 : Math.max(1, this.#passesAt(oldest) - now)
  }

  #fits (tokens: number, tokensPerSecond: number): boolean {
    return this.#tokens + tokens <= tokensPerSecond || this.#tokens === 0 || tokens === 0
  }

  #spend (demand: LimitDemand, now: number): void {
    this.#spent.push({ at: now, requests: demand.requests, tokens: demand.tokens })
    this.#requests += demand.requests
    this.#tokens += demand.tokens
  }

  /** When a grant passes out of the span; one above the rate, or a rate below one a second, takes longer. */
  #passesAt (spent: Spent): number {
    const { requestsPerSecond = Infinity, tokensPerSecond = Infinity } = this.#limits
    const spans = Math.max(1, spent.tokens / tokensPerSecond, spent.requests / requestsPerSecond)
    return spent.at + spans * RATE_SPAN_MS + GRANT_LIFE_MS
  }

  #forget (now: number): void {
    for (let oldest = this.#spent[this.#first]; oldest !== undefined && this.#passesAt(oldest) <= now; oldest = this.#spent[this.#first]) {
      this.#requests -= oldest.requests
      this.#tokens -= oldest.tokens
      this.#first += 1
    }
    if (this.#first > this.#spent.length / 2) {
      this.#spent = this.#spent.slice(this.#first)
      this.#first = 0
    }
    for (const [host, holding] of this.#holdings) {
      if (now - holding.heardAt > HOST_SILENCE_MS) this.#holdings.delete(host)
    }
  }

  #held (): number {
    let held = 0
    for (const holding of this.#holdings.values()) held += holding.count
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
