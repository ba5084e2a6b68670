/** Limits of how an endpoint group may change its weights. */
export interface WeightUpdateSettings {
  /** Share of the endpoints that serve at any time, from 0 up to 1. */
  readonly servingShare: number
  /** Sets of weights that this group may fetch in a second. */
  readonly fetchesPerSecond: number
  /** Time after which an accepted change that does not show has failed, in milliseconds. */
  readonly swapTimeoutMs: number
  /** Pause before a failed change is ordered again, in milliseconds; grows with each failure in a row. */
  readonly retryMs: number
  /**
   * Versions by which an endpoint may stay behind while half of the group has the
   * newest; 0 when every version goes to every endpoint. With 1, each endpoint
   * is changed at every second version, and half of the group can serve a step
   * that allows the version before.
   */
  readonly tolerance?: number
  /**
   * Time after a release from which endpoints within the tolerance are changed
   * too, all of them, so that they can serve the step after; in milliseconds. By
   * then the samples of the present step have started, which a change does not
   * interrupt. Without it half of the group has the newest version.
   */
  readonly prepareAfterMs?: number | undefined
}

/** Longest pause before a failed change is ordered again, as a multiple of the first. */
const MAX_RETRY_FACTOR = 8

/** How far orders may catch up with the store's rate after a pause, in milliseconds: longer than a leader's turn. */
const CATCH_UP_MS = 500

/** What is known of the weights of one endpoint. */
interface EndpointWeights {
  /** Version it was last seen with; undefined before the first report. */
  version: number | undefined
  /** Version it is being changed to. */
  target: number | undefined
  orderedAt: number
  failures: number
  /** Monotonic milliseconds before which it is not ordered again. */
  notBefore: number
}

/** An order that is due now. */
export interface WeightUpdateOrder {
  readonly endpointId: string
  readonly version: number
}

/**
 * Most endpoints that may change their weights at the same time. One may
 * always, or a small group would never follow its trainer.
 *
 * @example
 * mostSwapping(8, 0.75) // 2
 */
export function maxConcurrentSwaps (endpoints: number, servingShare: number): number {
  // The epsilon keeps 10 × (1 - 0.9) from coming out below 1.
  return Math.max(1, Math.floor(endpoints * (1 - servingShare) + 1e-9))
}

/**
 * Plans which endpoints change their weights when: oldest version first, no
 * faster than the weight store gives, and never more at once than the serving
 * share allows. A change is done when the endpoint is seen with the version,
 * never because it was ordered.
 *
 * Invariants: at most `mostSwapping` endpoints have an open order; over any span
 * of time there are at most one order more than the store's rate allows in it and
 * in the half second before.
 */
export class WeightUpdatePlanner {
  readonly #settings: WeightUpdateSettings
  readonly #endpoints = new Map<string, EndpointWeights>()
  #released = 0
  #releasedAt = -Infinity
  /** Monotonic milliseconds from which the store's rate allows the next fetch. */
  #nextFetchAt = -Infinity
  readonly counters = { ordered: 0, completed: 0, failed: 0 }

  constructor (settings: WeightUpdateSettings) {
    this.#settings = settings
  }

  /**
   * Takes note of the newest released version.
   *
   * @param now monotonic milliseconds
   */
  recordRelease (version: number, now = -Infinity): void {
    if (version <= this.#released) return
    this.#released = version
    this.#releasedAt = now
  }

  /** Sets the endpoints of the group; what is known of those that stay is kept. */
  setEndpoints (endpointIds: readonly string[]): void {
    const kept = new Set(endpointIds)
    for (const id of this.#endpoints.keys()) {
      if (!kept.has(id)) this.#endpoints.delete(id)
    }
    for (const id of endpointIds) {
      if (this.#endpoints.has(id)) continue
      this.#endpoints.set(id, { version: undefined, target: undefined, orderedAt: 0, failures: 0, notBefore: -Infinity })
    }
  }

  /** Takes note of the version an endpoint was seen with at a time, in its stream or its report. */
  recordVersion (endpointId: string, version: number, seenAt: number): void {
    const endpoint = this.#endpoints.get(endpointId)
    if (endpoint === undefined) return
    endpoint.version = version
    if (endpoint.target === undefined || version < endpoint.target || seenAt < endpoint.orderedAt) return
    endpoint.target = undefined
    endpoint.failures = 0
    this.counters.completed += 1
  }

  /** Takes note that an order did not arrive or was refused. */
  recordFailure (endpointId: string, now: number): void {
    const endpoint = this.#endpoints.get(endpointId)
    if (endpoint === undefined || endpoint.target === undefined) return
    const factor = Math.min(2 ** endpoint.failures, MAX_RETRY_FACTOR)
    endpoint.target = undefined
    endpoint.failures += 1
    endpoint.notBefore = now + this.#settings.retryMs * factor
    this.counters.failed += 1
  }

  /** Whether a change of this endpoint is under way, or its version is not known yet. */
  isUnsettled (endpointId: string): boolean {
    const endpoint = this.#endpoints.get(endpointId)
    return endpoint !== undefined && (endpoint.target !== undefined || endpoint.version === undefined)
  }

  /** The newest released version. */
  get released (): number {
    return this.#released
  }

  /** Share of the endpoints that are within the tolerance of the newest version; 1 when there are none. */
  get servingShare (): number {
    const oldest = this.#released - (this.#settings.tolerance ?? 0)
    return this.#shareOf((endpoint) => (endpoint.version ?? 0) >= oldest)
  }

  /** Share of the endpoints that have the newest version or are being changed to it; 1 when there are none. */
  get preparedShare (): number {
    return this.#shareOf((endpoint) => (endpoint.target ?? endpoint.version ?? 0) >= this.#released)
  }

  /** Endpoints that don't have the released version yet. */
  get behindCount (): number {
    return [...this.#endpoints.values()].filter((endpoint) => this.#isBehind(endpoint)).length
  }

  /** Endpoints with an open order. */
  get openOrderCount (): number {
    return [...this.#endpoints.values()].filter((endpoint) => endpoint.target !== undefined).length
  }

  /**
   * The orders that are due; each counts as open from now on.
   *
   * @param now monotonic milliseconds
   * @param limit most orders, where groups share what the weight store gives
   * @example
   * for (const order of waves.plan(now)) await send(order)
   */
  planOrders (now: number, limit = Infinity): WeightUpdateOrder[] {
    this.#expireOrders(now)
    const orders: WeightUpdateOrder[] = []
    let remaining = Math.min(limit, maxConcurrentSwaps(this.#endpoints.size, this.#settings.servingShare) - this.openOrderCount)
    for (const [endpointId, endpoint] of this.#dueEndpoints(now)) {
      if (!this.#needsUpdate(endpoint, now)) continue
      if (remaining <= 0 || now < this.#nextFetchAt) break
      this.#nextFetchAt = Math.max(this.#nextFetchAt, now - CATCH_UP_MS) + 1_000 / this.#settings.fetchesPerSecond
      endpoint.target = this.#released
      endpoint.orderedAt = now
      remaining -= 1
      this.counters.ordered += 1
      orders.push({ endpointId, version: this.#released })
    }
    return orders
  }

  #shareOf (holds: (endpoint: EndpointWeights) => boolean): number {
    return this.#endpoints.size === 0 ? 1 : [...this.#endpoints.values()].filter(holds).length / this.#endpoints.size
  }

  #isBehind (endpoint: EndpointWeights): boolean {
    return endpoint.version !== undefined && endpoint.version < this.#released
  }

  /** Whether an endpoint is too far behind, is to be ready for the next step, or too few have the newest version. */
  #needsUpdate (endpoint: EndpointWeights, now: number): boolean {
    const { tolerance = 0, prepareAfterMs } = this.#settings
    if (tolerance === 0 || (endpoint.version ?? 0) < this.#released - tolerance) return true
    if (prepareAfterMs !== undefined) return now >= this.#releasedAt + prepareAfterMs
    const newest = [...this.#endpoints.values()].filter((other) => (other.target ?? other.version ?? 0) >= this.#released)
    return newest.length < this.#endpoints.size / 2
  }

  /** Endpoints to be ordered, oldest version first; one that failed comes after those that did not. */
  #dueEndpoints (now: number): Array<[string, EndpointWeights]> {
    const due = [...this.#endpoints].filter(([, endpoint]) => endpoint.target === undefined && this.#isBehind(endpoint) && now >= endpoint.notBefore)
    return due.sort(([, a], [, b]) => a.failures - b.failures || (a.version ?? 0) - (b.version ?? 0))
  }

  #expireOrders (now: number): void {
    for (const [id, endpoint] of this.#endpoints) {
      if (endpoint.target !== undefined && now - endpoint.orderedAt > this.#settings.swapTimeoutMs) this.recordFailure(id, now)
    }
  }
}
