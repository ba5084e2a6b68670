import { FencingSupport } from '@cyclamenthread/state'
import { FleetOrderKind } from '@cyclamenthread/protocol'
import { EngineStandin } from './engine-standin.js'
import type { FleetOrder, OrderedEndpoint } from '@cyclamenthread/protocol'
import type { EngineSettings } from './engine-settings-standin.js'

/** How the ordering of endpoints behaves. */
export interface FleetSettings {
  readonly engine: EngineSettings
  /** Time from an order until the endpoint serves, in milliseconds. */
  readonly startMs: number
  /** Price of an endpoint for a second, by whether it is cheap. */
  readonly steadyPrice: number
  readonly cheapPrice: number
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>
}

/** An endpoint that was ordered. */
interface FleetEndpoint {
  readonly orderId: string
  readonly cheap: boolean
  readonly failureDomain: string
  readonly engine: EngineStandin
  readonly startedAt: number
  ordered: OrderedEndpoint
}

/**
 * Endpoints as the platform starts, stops and reclaims them.
 *
 * Invariant: an order id has one effect, however often it is sent.
 */
export class PlatformFleet {
  /** Failure domains in which no cheap endpoints are to be had now. */
  readonly exhaustedDomains = new Set<string>()
  readonly #settings: FleetSettings
  readonly #seenOrderIds = new Set<string>()
  readonly #endpoints = new Map<string, FleetEndpoint>()
  #sequence = 0
  #stoppedCost = 0
  readonly #stoppedTokens = { cheap: 0, steady: 0 }

  constructor (settings: FleetSettings) {
    this.#settings = settings
  }

  /** What the platform tells of the endpoints. */
  list (): OrderedEndpoint[] {
    return [...this.#endpoints.values()].map((endpoint) => endpoint.ordered)
  }

  /** The engines that run, by whether they are cheap. */
  engines (cheap: boolean): EngineStandin[] {
    return [...this.#endpoints.values()].filter((endpoint) => endpoint.cheap === cheap).map((endpoint) => endpoint.engine)
  }

  /** Money spent, at the prices of the settings. */
  get totalCost (): number {
    let running = 0
    for (const endpoint of this.#endpoints.values()) running += this.#costOf(endpoint)
    return this.#stoppedCost + running
  }

  /** Tokens produced on endpoints of a kind, gone ones among them. */
  tokensProduced (cheap: boolean): number {
    const stoppedTokens = cheap ? this.#stoppedTokens.cheap : this.#stoppedTokens.steady
    return this.engines(cheap).reduce((sum, engine) => sum + engine.counts.tokens, stoppedTokens)
  }

  /**
   * Carries an order out.
   *
   * @returns false when none are to be had
   */
  async order (order: FleetOrder): Promise<boolean> {
    if (this.#seenOrderIds.has(order.orderId)) return true
    if (order.kind === FleetOrderKind.Start && order.cheap && this.exhaustedDomains.has(order.failureDomain)) return false
    this.#seenOrderIds.add(order.orderId)
    if (order.kind === FleetOrderKind.Stop) await this.#stop(order.endpointId)
    else await Promise.all(Array.from({ length: order.count }, async () => await this.#start(order)))
    return true
  }

  /** Takes all cheap endpoints of a failure domain back, on notice. */
  async reclaim (failureDomain: string, noticeMs: number): Promise<void> {
    const taken = [...this.#endpoints.values()].filter((endpoint) => endpoint.cheap && endpoint.failureDomain === failureDomain)
    for (const endpoint of taken) endpoint.ordered = { ...endpoint.ordered, state: 'reclaiming', noticeSeconds: noticeMs / 1_000 }
    await new Promise((resolve) => setTimeout(resolve, noticeMs))
    await Promise.all(taken.map(async (endpoint) => await this.#stop(endpoint.ordered.endpoint.id)))
  }

  /** Ends every endpoint. */
  async close (): Promise<void> {
    await Promise.all([...this.#endpoints.keys()].map(async (id) => await this.#stop(id)))
  }

  async #start (order: Extract<FleetOrder, { kind: FleetOrderKind.Start }>): Promise<void> {
    this.#sequence += 1
    const engine = new EngineStandin(this.#settings.engine)
    const endpoint = {
      id: `${order.pool}-${order.failureDomain}-${order.cheap ? 'cheap' : 'steady'}-${this.#sequence}`,
      url: await engine.listen(),
      region: this.#settings.regions.get(order.failureDomain) ?? '',
      failureDomain: order.failureDomain,
      slots: this.#settings.engine.slots,
      cheap: order.cheap,
      fencing: FencingSupport.Checked
    }
    this.#endpoints.set(endpoint.id, {
      orderId: order.orderId,
      cheap: order.cheap,
      failureDomain: order.failureDomain,
      engine,
      startedAt: performance.now(),
      ordered: { endpoint, pool: order.pool, state: 'starting' }
    })
    setTimeout(() => this.#markRunning(endpoint.id), this.#settings.startMs)
  }

  #markRunning (id: string): void {
    const endpoint = this.#endpoints.get(id)
    if (endpoint?.ordered.state === 'starting') endpoint.ordered = { ...endpoint.ordered, state: 'running' }
  }

  async #stop (id: string): Promise<void> {
    const endpoint = this.#endpoints.get(id)
    if (endpoint === undefined) return
    this.#endpoints.delete(id)
    this.#stoppedCost += this.#costOf(endpoint)
    this.#stoppedTokens[endpoint.cheap ? 'cheap' : 'steady'] += endpoint.engine.counts.tokens
    if (!endpoint.engine.isCrashed) await endpoint.engine.crash()
  }

  #costOf (endpoint: FleetEndpoint): number {
    const price = endpoint.cheap ? this.#settings.cheapPrice : this.#settings.steadyPrice
    return price * (performance.now() - endpoint.startedAt) / 1_000
  }
}
