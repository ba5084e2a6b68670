import { WindowMaximum } from './window-maximum.js'

/** Time beyond the declared start time that ordered endpoints have until they count as missing, in milliseconds: a registry heartbeat and a write. */
const START_MARGIN_MS = 1_500

/**
 * Time after the reduction of an order during which leaving endpoints count as released by it, in milliseconds:
 * an endpoint leaves once its longest text, of about 7.5 s, has ended.
 */
const RELEASE_MS = 10_000

/**
 * Time for which a refusal counts, unless the platform accepts as many endpoints before, in milliseconds: several
 * starts, so that an attempt at endpoints which aren't to be had is rare.
 */
const REFUSAL_MS = 15_000

/** Endpoints of a service in a failure domain, as the leader sees them. */
export interface DomainEndpoints {
  readonly inService: number
  /** Registered endpoints that are draining or have said that they leave. */
  readonly leaving: number
  readonly isEvacuated: boolean
}

/** Number of endpoints that a failure domain is expected to have. */
export interface DomainTarget {
  /** Endpoints for the domain's own demand. */
  readonly own: number
  /** Endpoints in place of those missing in other domains. */
  readonly extra: number
}

/**
 * Tracks how many endpoints of a service a failure domain lacks.
 *
 * Invariants: endpoints that start within their declared time aren't missing; once missing, they are so until
 * as many serve as are expected.
 */
export class DomainShortfall {
  /** Negated number of ordered endpoints; its maximum is that of the endpoints that were ordered for the whole window. */
  readonly #negatedOrders: WindowMaximum
  readonly #served: WindowMaximum
  #accepted: number | undefined
  #refusal: { readonly count: number, readonly until: number } | undefined
  #releasedUntil = -Infinity
  #missing = 0

  /**
   * @param startMs declared time from the order of an endpoint until it serves, in milliseconds
   * @param now monotonic milliseconds
   */
  constructor (startMs: number, now: number) {
    this.#negatedOrders = new WindowMaximum(startMs + START_MARGIN_MS)
    this.#negatedOrders.record(0, now)
    this.#served = new WindowMaximum(startMs + START_MARGIN_MS)
  }

  /** Number of endpoints in the last order that the platform is known to have accepted; undefined before. */
  get accepted (): number | undefined {
    return this.#accepted
  }

  /** Number of missing endpoints at the last observation. */
  get missing (): number {
    return this.#missing
  }

  /** Records that the platform accepted an order. */
  recordAccepted (count: number, now: number): void {
    if (count < (this.#accepted ?? 0)) this.#releasedUntil = now + RELEASE_MS
    if (count >= (this.#refusal?.count ?? Infinity)) this.#refusal = undefined
    this.#accepted = count
  }

  /** Records that the platform has no capacity for an order. */
  recordRefused (count: number, now: number): void {
    this.#refusal = { count, until: now + REFUSAL_MS }
  }

  /** Whether the platform has refused an order recently. */
  isRefused (now: number): boolean {
    return now < (this.#refusal?.until ?? -Infinity)
  }

  /** Updates the number of missing endpoints, and returns it. */
  observe ({ own, extra }: DomainTarget, { inService, leaving, isEvacuated }: DomainEndpoints, now: number): number {
    // After a pause of this process nothing is known of the whole window.
    if (this.#negatedOrders.current(now) === undefined) this.#negatedOrders.record(0, now)
    this.#negatedOrders.record(-Math.min(own + extra, this.#accepted ?? 0), now)
    this.#served.record(inService, now)
    if (isEvacuated) {
      this.#missing = own
      return own
    }
    const gap = Math.max(0, own + extra - inService)
    const due = -(this.#negatedOrders.current(now) ?? 0)
    const late = Math.max(0, due - (this.#served.current(now) ?? 0))
    const refused = this.isRefused(now) ? Math.max(0, own - Math.max(this.#accepted ?? 0, inService)) : 0
    const reclaimed = now < this.#releasedUntil ? 0 : leaving
    this.#missing = Math.min(gap, Math.max(this.#missing, late + refused + reclaimed))
    return this.#missing
  }
}
