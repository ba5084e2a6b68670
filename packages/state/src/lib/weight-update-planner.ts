/** Limits on the weight updates of a group of endpoints. */
export interface WeightUpdateSettings {
  /** Share of the endpoints that must be serving at any time, in [0, 1). */
  readonly servingShare: number
  /** Number of weight fetches per second that this group may start. */
  readonly fetchesPerSecond: number
  /** Time after which an accepted update has failed if its version was not observed, in milliseconds. */
  readonly swapTimeoutMs: number
  /** Initial back-off before a failed update is ordered again, in milliseconds; doubles with each consecutive failure. */
  readonly retryMs: number
  /**
   * Number of versions by which an endpoint may lag behind while half of the group
   * has the newest; with 0, every endpoint gets every version. With 1, each
   * endpoint is updated at every second version, and half of the group can serve
   * a step that allows the previous version.
   */
  readonly tolerance?: number
  /**
   * Time after a release from which the endpoints within the tolerance are updated
   * as well, so that all can serve the next step; in milliseconds. By then the
   * samples of the current step have started, and an update does not interrupt
   * them. If undefined, only half of the group gets the newest version.
   */
  readonly prepareAfterMs?: number | undefined
}

/** Maximum back-off before a failed update is ordered again, as a multiple of the initial one. */
const MAX_RETRY_FACTOR = 8

/** Period for which unused fetches of the store's rate may be caught up, in milliseconds: longer than a cycle of the leader. */
const CATCH_UP_MS = 500

/** State of the weights of one endpoint. */
interface EndpointWeights {
  /** Version that was last observed; undefined before the first report. */
  version: number | undefined
  /** Version of the open order; undefined if there is none. */
  target: number | undefined
  orderedAt: number
  failures: number
  /** Monotonic milliseconds before which no new order is given. */
  notBefore: number
}

/** An order to an endpoint to load a weight version. */
export interface WeightUpdateOrder {
  readonly endpointId: string
  readonly version: number
}

/**
 * Maximum number of endpoints that may update their weights at the same time: at
 * least one, or else a small group would never be updated.
 *
 * @example
 * maxConcurrentSwaps(8, 0.75) // 2
 */
export function maxConcurrentSwaps (endpoints: number, servingShare: number): number {
  // The epsilon compensates for rounding: 10 × (1 - 0.9) is slightly below 1.
  return Math.max(1, Math.floor(endpoints * (1 - servingShare) + 1e-9))
}

/**
 * Plans the weight updates of a group of endpoints: oldest version first, within
 * the rate of the weight store, and never more at once than the serving share
 * allows. An update is complete when the endpoint is observed with the version;
 * an accepted order alone does not count.
 *
 * Invariants: at most `maxConcurrentSwaps` endpoints have an open order; in any
 * period there is at most one order more than the store's rate allows for that
 * period plus the half second before it.
 */
export class WeightUpdatePlanner {
  readonly #settings: WeightUpdateSettings
  readonly #endpoints = new Map<string, EndpointWeights>()
  #released = 0
  #releasedAt = -Infinity
  /** Monotonic milliseconds at which the store's rate allows the next fetch. */
  #nextFetchAt = -Infinity
  readonly counters = { ordered: 0, completed: 0, failed: 0 }

  constructor (settings: WeightUpdateSettings) {
    this.#settings = settings
  }

  /**
   * Records the newest released version.
   *
   * @param now monotonic milliseconds
   */
  recordRelease (version: number, now = -Infinity): void {
    if (version <= this.#released) return
    this.#released = version
    this.#releasedAt = now
  }

  /** Sets the endpoints of the group and keeps the state of those that remain. */
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

  /** Records the version with which an endpoint was observed at a time, in its stream or its report. */
  recordVersion (endpointId: string, version: number, seenAt: number): void {
    const endpoint = this.#endpoints.get(endpointId)
    if (endpoint === undefined) return
    endpoint.version = version
    if (endpoint.target === undefined || version < endpoint.target || seenAt < endpoint.orderedAt) return
    endpoint.target = undefined
    endpoint.failures = 0
    this.counters.completed += 1
  }

  /** Records that an order was not delivered, was refused or timed out. */
  recordFailure (endpointId: string, now: number): void {
    const endpoint = this.#endpoints.get(endpointId)
    if (endpoint === undefined || endpoint.target === undefined) return
    const factor = Math.min(2 ** endpoint.failures, MAX_RETRY_FACTOR)
    endpoint.target = undefined
    endpoint.failures += 1
    endpoint.notBefore = now + this.#settings.retryMs * factor
    this.counters.failed += 1
  }

  /** Whether the endpoint has an open order or an unknown version. */
  isUnsettled (endpointId: string): boolean {
    const endpoint = this.#endpoints.get(endpointId)
    return endpoint !== undefined && (endpoint.target !== undefined || endpoint.version === undefined)
  }

  /** Newest released version. */
  get released (): number {
    return this.#released
  }

  /** Share of the endpoints whose version is within the tolerance; 1 if there are no endpoints. */
  get servingShare (): number {
    const oldest = this.#released - (this.#settings.tolerance ?? 0)
    return this.#shareOf((endpoint) => (endpoint.version ?? 0) >= oldest)
  }

  /** Share of the endpoints that have the newest version or an open order for it; 1 if there are no endpoints. */
  get preparedShare (): number {
    return this.#shareOf((endpoint) => (endpoint.target ?? endpoint.version ?? 0) >= this.#released)
  }

  /** Number of endpoints known to have an older version than the newest one. */
  get behindCount (): number {
    return [...this.#endpoints.values()].filter((endpoint) => this.#isBehind(endpoint)).length
  }

  /** Number of endpoints with an open order. */
  get openOrderCount (): number {
    return [...this.#endpoints.values()].filter((endpoint) => endpoint.target !== undefined).length
  }

  /**
   * Returns the orders that are due; each is open from now on.
   *
   * @param now monotonic milliseconds
   * @param limit maximum number of orders, for groups that share the rate of the weight store
   * @example
   * for (const order of planner.planOrders(now)) await send(order)
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

  /** Whether an endpoint lags too far behind, must be prepared for the next step, or too few endpoints have the newest version. */
  #needsUpdate (endpoint: EndpointWeights, now: number): boolean {
    const { tolerance = 0, prepareAfterMs } = this.#settings
    if (tolerance === 0 || (endpoint.version ?? 0) < this.#released - tolerance) return true
    if (prepareAfterMs !== undefined) return now >= this.#releasedAt + prepareAfterMs
    const newest = [...this.#endpoints.values()].filter((other) => (other.target ?? other.version ?? 0) >= this.#released)
    return newest.length < this.#endpoints.size / 2
  }

  /** Endpoints that may get an order, oldest version first; those with failures come last. */
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
