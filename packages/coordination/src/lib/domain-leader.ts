import { EntryKind, WeightUpdatePlanner } from '@cyclamenthread/state'
import { EndpointOrderKind, OrderStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { isLeaseCandidate } from './lease-candidate.js'
import { LeaseTask } from './lease-task.js'
import { Periodic } from './periodic.js'
import type { CatalogueView, Endpoint } from '@cyclamenthread/state'
import type { EndpointClient, ObjectStore } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { FleetSettings } from './fleet-settings.js'
import type { HostSettings } from './host-settings.js'
import type { LeaderLocation } from './lease-candidate.js'
import type { MemberView } from './member-task.js'

/** Pause between two rounds of weight orders, in milliseconds. */
const ROLLOUT_PERIOD_MS = 100

/** How often an endpoint is asked for its version while no change is pending, in milliseconds. */
const VERSION_POLL_MS = 5_000

/** Longest wait for a load report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000

/** Dependencies of the leader of a failure domain. */
export interface DomainContext {
  readonly members: MemberView
  readonly catalogue: CatalogueSource
  readonly store: ObjectStore
  readonly endpoints: Pick<EndpointClient, 'sendOrder' | 'readLoad'>
}

/** State of the weight rollout of one pool in the failure domain. */
interface PoolUpdateState {
  readonly planner: WeightUpdatePlanner
  readonly polledAt: Map<string, number>
}

/**
 * Leads one failure domain while this host holds the domain's lease: rolls out
 * released weights to its endpoints in waves, with the lease's epoch as fencing
 * token.
 *
 * Invariants: an order is sent only under the lease, which is checked in the
 * same turn of the event loop in which the first byte is written, and is aborted
 * at the lease's deadline, so that endpoints that ignore fencing tokens never
 * receive orders of two leaders at once; an endpoint's version is the one it
 * reported, never the one it was ordered to load.
 */
export class DomainLeader {
  readonly #fleet: FleetSettings
  readonly #location: LeaderLocation
  readonly #context: DomainContext
  readonly #lease: LeaseTask
  readonly #loop = new Periodic(ROLLOUT_PERIOD_MS, async () => await this.#rollOutWeights())
  readonly #pools = new Map<string, PoolUpdateState>()
  /** Ids of endpoints whose report has been requested and not received yet. */
  readonly #pendingReports = new Set<string>()
  #epoch = 0
  readonly counters = { ordered: 0, fenced: 0, completed: 0, failed: 0, reports: 0 }

  constructor (settings: HostSettings, fleet: FleetSettings, location: LeaderLocation, context: DomainContext) {
    this.#fleet = fleet
    this.#location = location
    this.#context = context
    const { self, incarnation, leaseMs, storeTimeoutMs } = settings
    const name = `domain/${location.failureDomain}`
    const eligible = (): boolean => isLeaseCandidate(name, self.id, context.members.workers(), location)
    this.#lease = new LeaseTask({ name, holder: `${self.id}/${incarnation}`, leaseMs, storeTimeoutMs, eligible }, context.store)
  }

  /** Whether this host holds the domain's lease now. */
  get isLeader (): boolean {
    return this.#lease.leadership() !== undefined
  }

  async start (): Promise<void> {
    await this.#lease.start()
    await this.#loop.start()
  }

  async stop (): Promise<void> {
    await this.#loop.stop()
    await this.#lease.stop()
  }

  async #rollOutWeights (): Promise<void> {
    const leadership = this.#lease.leadership()
    const view = this.#context.catalogue.current()
    if (leadership === undefined || view === undefined) {
      this.#pools.clear()
      return
    }
    if (leadership.epoch !== this.#epoch) this.#pools.clear()
    this.#epoch = leadership.epoch
    for (const pool of view.catalogue.pools) {
      if (pool.kind === EntryKind.Model && view.releasedVersion(pool.name) > 0) this.#rollOutPool(pool.name, view)
    }
  }

  #rollOutPool (pool: string, view: CatalogueView): void {
    const all = view.endpoints(pool)
    const own = all.filter((endpoint) => endpoint.failureDomain === this.#location.failureDomain)
    if (own.length === 0) {
      this.#pools.delete(pool)
      return
    }
    const state = this.#pools.get(pool) ?? {
      planner: new WeightUpdatePlanner({
        servingShare: this.#fleet.weightServingShare,
        fetchesPerSecond: this.#fleet.weightFetchesPerSecond * own.length / all.length,
        swapTimeoutMs: this.#fleet.weightSwapTimeoutMs,
        retryMs: this.#fleet.weightSwapTimeoutMs / 10
      }),
      polledAt: new Map()
    }
    this.#pools.set(pool, state)
    state.planner.setEndpoints(own.map((endpoint) => endpoint.id))
    state.planner.recordRelease(view.releasedVersion(pool))
    for (const endpoint of own) this.#pollVersion(state, endpoint)
    const byId = new Map(own.map((endpoint) => [endpoint.id, endpoint]))
    for (const order of state.planner.planOrders(monotonicNow())) {
      const endpoint = byId.get(order.endpointId)
      if (endpoint !== undefined) void this.#sendOrder(state.planner, pool, endpoint, order.version)
    }
  }

  /** Asks an endpoint for its version: in every round while a change is pending, else once per `VERSION_POLL_MS`. */
  #pollVersion (state: PoolUpdateState, endpoint: Endpoint): void {
    const now = monotonicNow()
    const isDue = state.planner.isUnsettled(endpoint.id) || now - (state.polledAt.get(endpoint.id) ?? -Infinity) >= VERSION_POLL_MS
    if (!isDue || this.#pendingReports.has(endpoint.id)) return
    state.polledAt.set(endpoint.id, now)
    this.#pendingReports.add(endpoint.id)
    this.counters.reports += 1
    void this.#context.endpoints.readLoad(endpoint, deadlineAfter(REPORT_TIMEOUT_MS)).then((report) => {
      this.#pendingReports.delete(endpoint.id)
      if (report !== undefined) state.planner.recordVersion(endpoint.id, report.version, now - report.ageMs)
    })
  }

  async #sendOrder (planner: WeightUpdatePlanner, pool: string, endpoint: Endpoint, version: number): Promise<void> {
    const leadership = this.#lease.leadership()
    if (leadership === undefined) {
      planner.recordFailure(endpoint.id, monotonicNow())
      return
    }
    this.counters.ordered += 1
    const order = { kind: EndpointOrderKind.LoadWeights, pool, version, fence: leadership.epoch } as const
    const status = await this.#context.endpoints.sendOrder(endpoint, order, leadership.deadline, () => this.#lease.leadership()?.epoch === leadership.epoch)
    if (status === OrderStatus.Accepted) return
    if (status === OrderStatus.Fenced) this.counters.fenced += 1
    planner.recordFailure(endpoint.id, monotonicNow())
  }
}
