import { CapacityActionKind, CapacityPlanner, EndpointState, unreachable } from '@cyclamenthread/state'
import { FleetOrderKind, WeightStoreClient } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { PoolDemandCollector } from './pool-demand-collector.js'
import { CapacityOrderSender, CAPACITY_LEASE, OrderResult } from './capacity-order-sender.js'
import { CapacityRoster } from './capacity-roster.js'
import { isLeaseCandidate } from './lease-candidate.js'
import { LeaseTask } from './lease-task.js'
import { Periodic } from './periodic.js'
import { DocumentChange } from './replicated-document.js'
import { WeightReleasePublisher } from './weight-release-publisher.js'
import type { CapacityAction, CapacityEndpoint, CapacityRule, Pool, RosteredEndpoint } from '@cyclamenthread/state'
import type { EndpointClient, FleetOrder, ObjectStore, OrderedEndpoint, PlatformClient } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { FleetSettings } from './fleet-settings.js'
import type { HostSettings } from './host-settings.js'
import type { Leadership } from './lease-task.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { SettledOrder } from './capacity-order-sender.js'

/** Pause between two adjustments of the capacity, in milliseconds. */
const CAPACITY_PERIOD_MS = 250

/** Pause between two polls of the weight store, in milliseconds. */
const RELEASE_PERIOD_MS = 250

/** Shortest time an endpoint is listed as leaving before it is stopped, so that every host has learned of it, in milliseconds. */
const MIN_LEAVING_MS = 3_000

/** Longest wait for a load report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000

/** Spare slots kept ready in addition to the forecast, as a share of it. */
const HEADROOM_SHARE = 0.05

/** Share of the most recent peak demand that is kept ready. */
const RECENT_PEAK_SHARE = 0.5

/** Dependencies of the capacity task. */
export interface CapacityContext {
  readonly members: MemberView
  readonly catalogue: CatalogueSource
  readonly bus: Pick<MessageBus, 'send'>
  readonly store: ObjectStore
  readonly platform: Pick<PlatformClient, 'listOrderedEndpoints' | 'sendFleetOrder'>
  readonly endpoints: Pick<EndpointClient, 'readLoad'>
}

/**
 * Orders endpoints from the platform and publishes the roster and the weight
 * releases while this host holds the `capacity` lease.
 *
 * Invariants: an order is written to the intent log before it is sent, and sent
 * only under the lease; an endpoint is stopped only after the roster has listed
 * it as leaving for `MIN_LEAVING_MS` and nothing runs on it.
 */
export class CapacityTask {
  readonly #settings: HostSettings
  readonly #fleet: FleetSettings
  readonly #context: CapacityContext
  readonly #lease: LeaseTask
  readonly #demand: PoolDemandCollector
  readonly #orders: CapacityOrderSender
  readonly #roster: CapacityRoster
  readonly #weightStore: WeightStoreClient | undefined
  readonly #releasePublisher: WeightReleasePublisher | undefined
  readonly #capacityLoop = new Periodic(CAPACITY_PERIOD_MS, async () => await this.#adjustCapacity())
  readonly #releaseLoop = new Periodic(RELEASE_PERIOD_MS, async () => await this.#publishReleases())
  readonly #plans = new Map<string, CapacityPlanner>()
  /** When each leaving endpoint was first seen as such, in monotonic milliseconds. */
  readonly #leavingSince = new Map<string, number>()
  #epoch = 0
  #releaseEpoch = 0

  constructor (settings: HostSettings, fleet: FleetSettings, context: CapacityContext) {
    this.#settings = settings
    this.#fleet = fleet
    this.#context = context
    const { self, incarnation, leaseMs, storeTimeoutMs } = settings
    const eligible = (): boolean => isLeaseCandidate(CAPACITY_LEASE, self.id, context.members.workers())
    this.#lease = new LeaseTask({ name: CAPACITY_LEASE, holder: `${self.id}/${incarnation}`, leaseMs, storeTimeoutMs, eligible }, context.store)
    this.#demand = new PoolDemandCollector(context.members, context.catalogue, context.bus)
    this.#orders = new CapacityOrderSender(context.store, context.platform, storeTimeoutMs, () => this.#lease.leadership())
    this.#roster = new CapacityRoster(context.store, storeTimeoutMs)
    if (fleet.weightStoreUrl === undefined) return
    this.#weightStore = new WeightStoreClient(fleet.weightStoreUrl)
    this.#releasePublisher = new WeightReleasePublisher(this.#weightStore, context.store, storeTimeoutMs)
  }

  /** Whether this host holds the lease now. */
  get isLeader (): boolean {
    return this.#lease.leadership() !== undefined
  }

  /** Numbers of orders sent, resent and refused. */
  get counters (): CapacityOrderSender['counters'] {
    return this.#orders.counters
  }

  async start (): Promise<void> {
    await this.#lease.start()
    await this.#capacityLoop.start()
    await this.#releaseLoop.start()
  }

  async stop (): Promise<void> {
    await this.#capacityLoop.stop()
    await this.#releaseLoop.stop()
    await this.#lease.stop()
    await this.#weightStore?.close()
  }

  async #publishReleases (): Promise<void> {
    const leadership = this.#lease.leadership()
    if (leadership === undefined || this.#releasePublisher === undefined) return
    if (leadership.epoch !== this.#releaseEpoch) this.#releasePublisher.reset()
    this.#releaseEpoch = leadership.epoch
    await this.#releasePublisher.publishNewReleases()
  }

  async #adjustCapacity (): Promise<void> {
    const leadership = this.#lease.leadership()
    const pools = this.#context.catalogue.current()?.catalogue.pools.filter((pool) => pool.capacity.length > 0) ?? []
    if (leadership === undefined || pools.length === 0) return
    if (leadership.epoch !== this.#epoch) this.#resetForEpoch(leadership)
    const resettled = await this.#orders.resendOpenOrders()
    if (resettled === undefined) return
    this.#applyResults(resettled, pools)
    await this.#demand.collectIfDue()
    const fleet = await this.#context.platform.listOrderedEndpoints({ deadline: deadlineAfter(this.#settings.storeTimeoutMs) })
    if (!fleet.ok || await this.#roster.update(fleet.value, new Set()) === DocumentChange.Failed) return
    const roster = await this.#roster.read()
    if (roster === undefined) return
    for (const pool of pools) await this.#adjustPool(pool, roster.endpoints.filter((item) => item.pool === pool.name), fleet.value)
  }

  /** Discards all state that another leader may have changed since this host last led. */
  #resetForEpoch (leadership: Leadership): void {
    this.#epoch = leadership.epoch
    this.#roster.reset()
    this.#plans.clear()
    this.#leavingSince.clear()
  }

  async #adjustPool (pool: Pool, rostered: readonly RosteredEndpoint[], fleet: readonly OrderedEndpoint[]): Promise<void> {
    const plan = this.#planFor(pool.name)
    const actions = plan.planActions({
      rules: pool.capacity,
      endpoints: await Promise.all(rostered.map(async (item) => await this.#inspectEndpoint(item))),
      declaredSlots: pool.endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0),
      ...this.#demand.demandOf(pool.name),
      slotsPerEndpoint: rostered[0]?.endpoint.slots ?? this.#fleet.endpointSlots
    }, monotonicNow())
    const leaving = new Set(actions.flatMap((action) => action.kind === CapacityActionKind.Leave ? [action.endpointId] : []))
    if (leaving.size > 0) await this.#roster.update(fleet, leaving)
    const leadership = this.#lease.leadership()
    if (leadership === undefined) return
    const orders = actions.flatMap((action) => this.#ordersFor(action, pool.name, leadership))
    this.#applyResults(await this.#orders.send(orders), [pool])
  }

  #planFor (pool: string): CapacityPlanner {
    const plan = this.#plans.get(pool) ?? new CapacityPlanner({
      startMs: this.#fleet.endpointStartMs,
      holdMs: this.#fleet.endpointHoldMs,
      backOffMs: this.#fleet.endpointBackOffMs,
      headroom: HEADROOM_SHARE,
      peakShare: RECENT_PEAK_SHARE
    })
    this.#plans.set(pool, plan)
    return plan
  }

  /** Reads the load of a leaving endpoint; it counts as fully busy until every host knows that it leaves. Others are not asked. */
  async #inspectEndpoint (item: RosteredEndpoint): Promise<CapacityEndpoint> {
    const { endpoint, state } = item
    if (state !== EndpointState.Leaving) return { endpoint, state, busy: 0 }
    const now = monotonicNow()
    const since = this.#leavingSince.get(endpoint.id) ?? now
    this.#leavingSince.set(endpoint.id, since)
    if (now - since < MIN_LEAVING_MS) return { endpoint, state, busy: endpoint.slots }
    const report = await this.#context.endpoints.readLoad(endpoint, deadlineAfter(REPORT_TIMEOUT_MS))
    // If the endpoint does not answer, no work on it can be saved by waiting.
    return { endpoint, state, busy: report === undefined ? 0 : report.running + report.waiting }
  }

  #ordersFor (action: CapacityAction, pool: string, leadership: Leadership): FleetOrder[] {
    const orderId = this.#orders.nextOrderId(leadership)
    switch (action.kind) {
      case CapacityActionKind.Start: {
        const { failureDomain, cheap } = action.rule
        return [{ kind: FleetOrderKind.Start, orderId, pool, failureDomain, cheap, count: action.count }]
      }
      case CapacityActionKind.Stop: return [{ kind: FleetOrderKind.Stop, orderId, endpointId: action.endpointId }]
      case CapacityActionKind.Leave: return []
      default: return unreachable(action)
    }
  }

  #applyResults (settled: readonly SettledOrder[], pools: readonly Pool[]): void {
    for (const { order, result } of settled) {
      if (order.kind !== FleetOrderKind.Start) continue
      const rule = findRule(pools, order)
      const plan = this.#planFor(order.pool)
      if (rule === undefined) continue
      if (result === OrderResult.Refused) plan.recordRefusal(rule, monotonicNow())
      else plan.recordAcceptance(rule)
    }
  }
}

function findRule (pools: readonly Pool[], order: Extract<FleetOrder, { kind: FleetOrderKind.Start }>): CapacityRule | undefined {
  const rules = pools.find((pool) => pool.name === order.pool)?.capacity ?? []
  return rules.find((rule) => rule.failureDomain === order.failureDomain && rule.cheap === order.cheap)
}
