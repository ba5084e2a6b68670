import { assignModels, isInService, limitInForce, WeightLoadLimit, unreachable, WeightUpdatePlanner } from '@cyclamenthread/state'
import { PeerMessageKind, WeightOrderStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { NO_RELAY } from './call-forwarder.js'
import { LogEvent } from './event-log.js'
import { LeaderReach } from './leader-reach.js'
import type { EndpointRecord, WeightUpdateOrder, WeightUpdateSettings } from '@cyclamenthread/state'
import type { LeaderLease, EndpointReport } from '@cyclamenthread/protocol'
import type { Duty, DutyContext } from './duty-context.js'

/**
 * Limits for changing the weights of a model's endpoints. A training step accepts
 * the version before the newest, so it can start on endpoints that were updated
 * during the previous step, and half of the endpoints serve at any time. The load
 * limiter bounds the rate over all models.
 */
const WAVE_SETTINGS: WeightUpdateSettings = { servingShare: 0.5, fetchesPerSecond: 20, swapTimeoutMs: 5_000, retryMs: 200, tolerance: 1, prepareAfterMs: 400 }

/**
 * The limits where each sample must come from a single version: a change would
 * invalidate running samples, so half of the endpoints get every second version.
 */
const SINGLE_VERSION_WAVE_SETTINGS: WeightUpdateSettings = { ...WAVE_SETTINGS, prepareAfterMs: undefined }

/** Typical duration of a weight change, in milliseconds; no report is requested before that. */
const TYPICAL_LOAD_MS = 900

/** Time after which an unanswered order counts as failed if the endpoint reports that it is not busy, in milliseconds. */
const UNANSWERED_TIMEOUT_MS = 1_100

/** How often an endpoint is asked whether its weight change is complete, in milliseconds. */
const REPORT_PERIOD_MS = 120

/** Lowest rate at which an endpoint is asked for reports, per second. */
const MIN_REPORT_RATE = 0.5

/** Longest wait for a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 600

/** State of the weight changes of one model's endpoints. */
interface ModelUpdateState {
  readonly planner: WeightUpdatePlanner
  readonly orderedAt: Map<string, number>
  readonly unansweredOrders: Set<string>
  /** Versions of accepted orders that have not been seen yet, by endpoint. */
  readonly awaitedVersions: Map<string, number>
  readonly askedAt: Map<string, number>
}

/**
 * Assigns endpoints to the models of each service, in proportion to the work of
 * their training steps, and rolls out each model's newest weights to its
 * endpoints, at most half of them at a time.
 *
 * Invariant: an endpoint's version is the one seen in its registry entry, a report
 * or an answer, never the one it was ordered to load.
 */
export class WeightDuty implements Duty {
  readonly #context: DutyContext
  readonly #reach: LeaderReach
  readonly #models = new Map<string, ModelUpdateState>()
  readonly #loadLimiter = new WeightLoadLimit()
  readonly #assignments = new Map<string, ReadonlyMap<string, string>>()
  /** Number of orders that each endpoint has accepted, by id and start; unknown before its first report and after an unanswered order. */
  readonly #orderCounts = new Map<string, number>()

  constructor (context: DutyContext, reach: LeaderReach = new LeaderReach(NO_RELAY)) {
    this.#context = context
    this.#reach = reach
  }

  reset (): void {
    this.#models.clear()
    this.#assignments.clear()
    this.#orderCounts.clear()
  }

  async runOnce (lease: () => LeaderLease | undefined): Promise<void> {
    const table = this.#context.deployment.routeTable
    for (const service of table?.declaration.services ?? []) {
      if (service.models.length === 0) continue
      const records = this.#context.deployment.endpointTable.endpointsOfService(service.name).filter(isInService)
      const endpoints = records.map((record) => ({ id: record.entry.id, failureDomain: record.entry.failureDomain }))
      const previous = this.#assignments.get(service.name) ?? this.#inferAssignment(service.models, records)
      const assigned = assignModels(service.models, endpoints, previous, this.#context.demand.tokensByModel(service.name, monotonicNow()))
      this.#assignments.set(service.name, assigned)
      const isSingleVersion = table?.declaration.routes.some((route) => route.singleVersion && route.shares.some((share) => share.service === service.name)) === true
      for (const model of service.models) this.#updateModel(model, records.filter((record) => assigned.get(record.entry.id) === model), isSingleVersion ? SINGLE_VERSION_WAVE_SETTINGS : WAVE_SETTINGS)
      this.#sendDueOrders(service.models, records, lease)
    }
  }

  /** Sorts models by their share of serving endpoints, lowest first; among equals, the one least prepared for its next step comes first. */
  #sortByNeed (models: readonly string[]): string[] {
    const planner = (model: string): WeightUpdatePlanner | undefined => this.#models.get(model)?.planner
    return [...models].sort((a, b) =>
      (planner(a)?.servingShare ?? 1) - (planner(b)?.servingShare ?? 1) ||
      (planner(a)?.preparedShare ?? 1) - (planner(b)?.preparedShare ?? 1))
  }

  /** Infers an earlier leader's assignment from the endpoints' versions: it kept one model current on each endpoint. */
  #inferAssignment (models: readonly string[], records: readonly EndpointRecord[]): Map<string, string> {
    const { endpointTable } = this.#context.deployment
    const released = this.#context.releases()
    return new Map(records.map((record) => {
      const lag = (model: string): number => (released.get(model) ?? 1) - endpointTable.newestVersion(record, model)
      const [model = ''] = [...models].sort((a, b) => lag(a) - lag(b))
      return [record.entry.id, model]
    }))
  }

  /** Updates the state of a model's endpoints from the registry and the releases. */
  #updateModel (model: string, records: readonly EndpointRecord[], settings: WeightUpdateSettings): void {
    const state = this.#models.get(model) ?? { planner: new WeightUpdatePlanner(settings), orderedAt: new Map(), unansweredOrders: new Set(), awaitedVersions: new Map(), askedAt: new Map() }
    this.#models.set(model, state)
    const now = monotonicNow()
    state.planner.setEndpoints(records.map((record) => record.entry.id))
    state.planner.recordRelease(this.#context.releases().get(model) ?? 0, now)
    for (const record of records) {
      this.#recordCompletion(state, model, record, now)
      state.planner.recordVersion(record.entry.id, this.#context.deployment.endpointTable.newestVersion(record, model), now)
      this.#pollOverdueLoad(state, model, record, now)
    }
  }

  /** Number of weight changes in progress over all models. */
  get #loadsInProgress (): number {
    return [...this.#models.values()].reduce((sum, state) => sum + state.planner.openOrderCount, 0)
  }

  /** Records the duration of a weight change once its version is seen. */
  #recordCompletion (state: ModelUpdateState, model: string, record: EndpointRecord, now: number): void {
    const { id } = record.entry
    const awaited = state.awaitedVersions.get(id)
    if (awaited === undefined || this.#context.deployment.endpointTable.newestVersion(record, model) < awaited) return
    state.awaitedVersions.delete(id)
    this.#loadLimiter.recordLoad(now - (state.orderedAt.get(id) ?? now), this.#loadsInProgress)
  }

  /** Sends due orders up to the limit over all models; one at a time, as each order changes which model comes next. */
  #sendDueOrders (models: readonly string[], records: readonly EndpointRecord[], lease: () => LeaderLease | undefined): void {
    const now = monotonicNow()
    const byId = new Map(records.map((record) => [record.entry.id, record]))
    // Planning with no room still expires orders that took too long.
    for (const model of models) this.#models.get(model)?.planner.planOrders(now, 0)
    for (let room = this.#loadLimiter.limit - this.#loadsInProgress; room > 0; room -= 1) {
      const due = this.#nextOrder(models, now)
      if (due === undefined) return
      const record = byId.get(due.order.endpointId)
      if (record !== undefined) void this.#sendOrder(due.state, due.model, record, due.order.version, lease)
    }
  }

  #nextOrder (models: readonly string[], now: number): { readonly model: string, readonly state: ModelUpdateState, readonly order: WeightUpdateOrder } | undefined {
    for (const model of this.#sortByNeed(models)) {
      const state = this.#models.get(model)
      const [order] = state?.planner.planOrders(now, 1) ?? []
      if (state !== undefined && order !== undefined) return { model, state, order }
    }
    return undefined
  }

  /** Requests a report from an endpoint whose weight change should be complete. */
  #pollOverdueLoad (state: ModelUpdateState, model: string, record: EndpointRecord, now: number): void {
    const { id } = record.entry
    const orderedAt = state.orderedAt.get(id)
    if (!state.planner.isUnsettled(id) || orderedAt === undefined) return
    if (now - orderedAt < TYPICAL_LOAD_MS || now - (state.askedAt.get(id) ?? -Infinity) < reportPeriodMs(record, now)) return
    state.askedAt.set(id, now)
    void this.#fetchReport(record).then((report) => {
      if (report === undefined) return
      const isIdle = !report.busy && (report.versions[model] ?? 0) < state.planner.released
      // An unanswered order may still arrive; if the endpoint has accepted another by then, it rejects this one because of its expected number of orders.
      if (isIdle && state.unansweredOrders.has(id) && monotonicNow() - orderedAt > UNANSWERED_TIMEOUT_MS) state.planner.recordFailure(id, monotonicNow())
    })
  }

  /** Requests a report from an endpoint and records its versions and its number of orders. */
  async #fetchReport (record: EndpointRecord): Promise<EndpointReport | undefined> {
    const { entry } = record
    this.#context.sends.charge(record)
    const sentAt = monotonicNow()
    const report = await this.#context.endpoints.readReport(entry, deadlineAfter(REPORT_TIMEOUT_MS))
    if (report === undefined) {
      this.#reach.recordUnreached(entry.id)
      return undefined
    }
    this.#reach.recordReached()
    this.#context.deployment.endpointTable.recordColdness(entry.id, entry.bornAt, { ...(report.coldMs === undefined ? {} : { coldMs: report.coldMs }), sentAt, receivedAt: monotonicNow() })
    if (report.leaving === true) this.#context.notices.recordLeaving(entry)
    for (const [model, version] of Object.entries(report.versions)) {
      if (version > this.#context.deployment.endpointTable.newestVersion(record, model)) this.#broadcastChange(record, model, version)
      this.#context.deployment.endpointTable.recordVersion(entry.id, model, version)
    }
    this.#orderCounts.set(incarnationOf(record), report.orders)
    return report
  }

  /**
   * Notifies every host of a weight change, sooner than the registry does.
   *
   * @param version the loaded version; undefined if the change begins
   */
  #broadcastChange (record: EndpointRecord, model: string, version: number | undefined): void {
    const { id: endpointId, bornAt } = record.entry
    const message = { kind: PeerMessageKind.ReportEndpointWeights, endpointId, bornAt, model, ...(version === undefined ? {} : { version }) } as const
    for (const host of this.#context.members.workers()) {
      if (host.id !== this.#context.hostId) void this.#context.bus.post(host, message)
    }
    if (version === undefined) this.#context.deployment.endpointTable.recordModelRefusal(endpointId, model, monotonicNow())
  }

  async #sendOrder (state: ModelUpdateState, model: string, record: EndpointRecord, version: number, lease: () => LeaderLease | undefined): Promise<void> {
    const { id } = record.entry
    const expectedOrders = this.#orderCounts.get(incarnationOf(record)) ?? (await this.#fetchReport(record))?.orders
    const held = lease()
    // The operator may have evacuated its failure domain while the report was fetched.
    if (held === undefined || expectedOrders === undefined || record.isEvacuated) {
      state.planner.recordFailure(id, monotonicNow())
      return
    }
    state.orderedAt.set(id, monotonicNow())
    state.unansweredOrders.delete(id)
    this.#broadcastChange(record, model, undefined)
    this.#context.sends.charge(record)
    const status = await this.#context.endpoints.orderWeights(record.entry, { model, version, lease: held, expectedOrders })
    this.#context.log.record(LogEvent.WeightsOrdered, { endpoint: id, model, version, fence: held.fence, expectedOrders, outcome: status, ...held.course })
    if (status === WeightOrderStatus.Unknown || status === WeightOrderStatus.NotSent) this.#reach.recordUnreached(id)
    else this.#reach.recordReached()
    if (status === WeightOrderStatus.Accepted) {
      this.#orderCounts.set(incarnationOf(record), expectedOrders + 1)
      state.awaitedVersions.set(id, version)
    } else if (status !== WeightOrderStatus.Holds) this.#orderCounts.delete(incarnationOf(record))
    switch (status) {
      case WeightOrderStatus.Holds:
        this.#context.deployment.endpointTable.recordVersion(id, model, version)
        return
      case WeightOrderStatus.Accepted: return
      case WeightOrderStatus.Unknown:
        // The order may still be carried out: only a report or the timeout settles it.
        state.unansweredOrders.add(id)
        return
      case WeightOrderStatus.Busy:
      case WeightOrderStatus.Refused:
      case WeightOrderStatus.NotSent:
        state.planner.recordFailure(id, monotonicNow())
        return
      default: unreachable(status)
    }
  }
}

/** How often an endpoint is asked for a report, in milliseconds: no more often than it accepts requests. */
function reportPeriodMs (record: EndpointRecord, now: number): number {
  const current = limitInForce(record, now)
  return current === undefined ? REPORT_PERIOD_MS : Math.max(REPORT_PERIOD_MS, 1_000 / Math.max(current.requestsPerSecond, MIN_REPORT_RATE))
}

/** Identifies one run of an endpoint, between a start and the next. */
function incarnationOf (record: EndpointRecord): string {
  return `${record.entry.id}@${record.entry.bornAt}`
}
