import { assignModels, EndpointPhase, WeightLoadLimit, unreachable, WeightUpdatePlanner } from '@cyclamenthread/state'
import { PeerMessageKind, WeightOrderStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import type { EndpointRecord, WeightUpdateOrder, WeightUpdateSettings } from '@cyclamenthread/state'
import type { LeaderLease, EndpointReport } from '@cyclamenthread/protocol'
import type { Duty, DutyContext } from './duty-context.js'

/**
 * Limits of how a model's endpoints change their weights: steps allow the version
 * before, so a step starts on endpoints that were changed during the one before,
 * and half of them serve at any time. The allowance over all models bounds the rate.
 */
const WAVE_SETTINGS: WeightUpdateSettings = { servingShare: 0.5, fetchesPerSecond: 20, swapTimeoutMs: 5_000, retryMs: 200, tolerance: 1, prepareAfterMs: 400 }

/**
 * The same where a sample's text must come from one version: a change would
 * spoil what runs, so half of the endpoints get every second version.
 */
const SINGLE_VERSION_WAVE_SETTINGS: WeightUpdateSettings = { ...WAVE_SETTINGS, prepareAfterMs: undefined }

/** Time in which a change of weights usually ends, in milliseconds; before that no report is asked for. */
const TYPICAL_LOAD_MS = 900

/** Time after which an order without an answer is given up when the endpoint reports that it carries none out, in milliseconds. */
const UNANSWERED_TIMEOUT_MS = 1_100

/** How often an endpoint is asked whether its change is done, in milliseconds. */
const REPORT_PERIOD_MS = 120

/** Longest wait for a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 600

/** One model's endpoints and their changes. */
interface ModelWaves {
  readonly waves: WeightUpdatePlanner
  readonly orderedAt: Map<string, number>
  readonly unansweredOrders: Set<string>
  /** Versions of accepted orders that have not been seen yet, by endpoint. */
  readonly awaitedVersions: Map<string, number>
  readonly askedAt: Map<string, number>
}

/**
 * Brings each model's newest weights to the endpoints that are its own, half of
 * them at a time. A model has endpoints in proportion to the work of its steps.
 *
 * Invariant: an endpoint has the version it was seen with, in its registry
 * entry, a report or an answer, never the one it was ordered.
 */
export class WeightDuty implements Duty {
  readonly #context: DutyContext
  readonly #models = new Map<string, ModelWaves>()
  readonly #loadLimiter = new WeightLoadLimit()
  readonly #assignments = new Map<string, ReadonlyMap<string, string>>()
  /** Orders each endpoint has taken, by id and start; unknown before its first report and after an order without an answer. */
  readonly #orderCounts = new Map<string, number>()

  constructor (context: DutyContext) {
    this.#context = context
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
      const records = this.#context.deployment.board.endpointsOfService(service.name).filter((record) => record.entry.phase === EndpointPhase.Ready)
      const holders = records.map((record) => ({ id: record.entry.id, failureDomain: record.entry.failureDomain }))
      const previous = this.#assignments.get(service.name) ?? this.#inferAssignment(service.models, records)
      const assigned = assignModels(service.models, holders, previous, this.#context.demand.tokensByModel(service.name, monotonicNow()))
      this.#assignments.set(service.name, assigned)
      const isSingle = table?.declaration.routes.some((route) => route.singleVersion && route.shares.some((share) => share.service === service.name)) === true
      for (const model of service.models) this.#updateModel(model, records.filter((record) => assigned.get(record.entry.id) === model), isSingle ? SINGLE_VERSION_WAVE_SETTINGS : WAVE_SETTINGS)
      this.#sendDueOrders(service.models, records, lease)
    }
  }

  /** Models with few endpoints that can serve first; among equals the one that is least prepared for its next step. */
  #sortByNeed (models: readonly string[]): string[] {
    const waves = (model: string): WeightUpdatePlanner | undefined => this.#models.get(model)?.waves
    return [...models].sort((a, b) =>
      (waves(a)?.servingShare ?? 1) - (waves(b)?.servingShare ?? 1) ||
      (waves(a)?.preparedShare ?? 1) - (waves(b)?.preparedShare ?? 1))
  }

  /** What an earlier leader has assigned, as the versions show: it kept one model current on each endpoint. */
  #inferAssignment (models: readonly string[], records: readonly EndpointRecord[]): Map<string, string> {
    const { board } = this.#context.deployment
    const released = this.#context.releases()
    return new Map(records.map((record) => {
      const lag = (model: string): number => (released.get(model) ?? 1) - board.newestVersion(record, model)
      const [model = ''] = [...models].sort((a, b) => lag(a) - lag(b))
      return [record.entry.id, model]
    }))
  }

  /** Takes note of what is known of a model's endpoints. */
  #updateModel (model: string, records: readonly EndpointRecord[], settings: WeightUpdateSettings): void {
    const state = this.#models.get(model) ?? { waves: new WeightUpdatePlanner(settings), orderedAt: new Map(), unansweredOrders: new Set(), awaitedVersions: new Map(), askedAt: new Map() }
    this.#models.set(model, state)
    const now = monotonicNow()
    state.waves.setEndpoints(records.map((record) => record.entry.id))
    state.waves.recordRelease(this.#context.releases().get(model) ?? 0, now)
    for (const record of records) {
      this.#recordCompletion(state, model, record, now)
      state.waves.recordVersion(record.entry.id, this.#context.deployment.board.newestVersion(record, model), now)
      this.#pollOverdueLoad(state, model, record, now)
    }
  }

  /** Changes of weights under way over all models. */
  get #loadsInProgress (): number {
    return [...this.#models.values()].reduce((sum, state) => sum + state.waves.openOrderCount, 0)
  }

  /** Takes note of how long a change took, once the version it was for is seen. */
  #recordCompletion (state: ModelWaves, model: string, record: EndpointRecord, now: number): void {
    const { id } = record.entry
    const awaited = state.awaitedVersions.get(id)
    if (awaited === undefined || this.#context.deployment.board.newestVersion(record, model) < awaited) return
    state.awaitedVersions.delete(id)
    this.#loadLimiter.recordLoad(now - (state.orderedAt.get(id) ?? now), this.#loadsInProgress)
  }

  /** Orders what is due, one by one, as each order changes which model is in need, as far as all models together leave room. */
  #sendDueOrders (models: readonly string[], records: readonly EndpointRecord[], lease: () => LeaderLease | undefined): void {
    const now = monotonicNow()
    const byId = new Map(records.map((record) => [record.entry.id, record]))
    // A plan without room still gives up orders that took too long.
    for (const model of models) this.#models.get(model)?.waves.planOrders(now, 0)
    for (let room = this.#loadLimiter.limit - this.#loadsInProgress; room > 0; room -= 1) {
      const due = this.#nextOrder(models, now)
      if (due === undefined) return
      const record = byId.get(due.order.endpointId)
      if (record !== undefined) void this.#sendOrder(due.state, due.model, record, due.order.version, lease)
    }
  }

  #nextOrder (models: readonly string[], now: number): { readonly model: string, readonly state: ModelWaves, readonly order: WeightUpdateOrder } | undefined {
    for (const model of this.#sortByNeed(models)) {
      const state = this.#models.get(model)
      const [order] = state?.waves.planOrders(now, 1) ?? []
      if (state !== undefined && order !== undefined) return { model, state, order }
    }
    return undefined
  }

  /** Asks an endpoint whose change should be over for its version. */
  #pollOverdueLoad (state: ModelWaves, model: string, record: EndpointRecord, now: number): void {
    const { id } = record.entry
    const orderedAt = state.orderedAt.get(id)
    if (!state.waves.isUnsettled(id) || orderedAt === undefined) return
    if (now - orderedAt < TYPICAL_LOAD_MS || now - (state.askedAt.get(id) ?? -Infinity) < REPORT_PERIOD_MS) return
    state.askedAt.set(id, now)
    void this.#fetchReport(record).then((report) => {
      if (report === undefined) return
      const isIdle = !report.busy && (report.versions[model] ?? 0) < state.waves.released
      // An order that was not answered may still come; the number of orders that it expects keeps it from undoing another.
      if (isIdle && state.unansweredOrders.has(id) && monotonicNow() - orderedAt > UNANSWERED_TIMEOUT_MS) state.waves.recordFailure(id, monotonicNow())
    })
  }

  /** Asks an endpoint for a report and takes note of what it says. */
  async #fetchReport (record: EndpointRecord): Promise<EndpointReport | undefined> {
    const { entry } = record
    const report = await this.#context.endpoints.readReport(entry, deadlineAfter(REPORT_TIMEOUT_MS))
    if (report === undefined) return undefined
    for (const [model, version] of Object.entries(report.versions)) {
      if (version > this.#context.deployment.board.newestVersion(record, model)) this.#broadcastChange(record, model, version)
      this.#context.deployment.board.recordVersion(entry.id, model, version)
    }
    this.#orderCounts.set(incarnationOf(record), report.orders)
    return report
  }

  /** Tells every host of a change of weights that begins or has ended, sooner than the registry does. */
  #broadcastChange (record: EndpointRecord, model: string, version: number | undefined): void {
    const { id: endpointId, bornAt } = record.entry
    const message = { kind: PeerMessageKind.ReportEndpointWeights, endpointId, bornAt, model, ...(version === undefined ? {} : { version }) } as const
    for (const host of this.#context.members.workers()) {
      if (host.id !== this.#context.hostId) void this.#context.bus.post(host, message)
    }
    if (version === undefined) this.#context.deployment.board.recordModelRefusal(endpointId, model, monotonicNow())
  }

  async #sendOrder (state: ModelWaves, model: string, record: EndpointRecord, version: number, lease: () => LeaderLease | undefined): Promise<void> {
    const { id } = record.entry
    const expectedOrders = this.#orderCounts.get(incarnationOf(record)) ?? (await this.#fetchReport(record))?.orders
    const held = lease()
    if (held === undefined || expectedOrders === undefined) {
      state.waves.recordFailure(id, monotonicNow())
      return
    }
    state.orderedAt.set(id, monotonicNow())
    state.unansweredOrders.delete(id)
    this.#broadcastChange(record, model, undefined)
    const { holder, fence, deadline } = held
    const status = await this.#context.endpoints.orderWeights(record.entry, { model, version, holder, fence, expectedOrders, leaseDeadline: deadline })
    this.#context.log.record(LogEvent.WeightsOrdered, { endpoint: id, model, version, fence, expectedOrders, outcome: status })
    if (status === WeightOrderStatus.Accepted) {
      this.#orderCounts.set(incarnationOf(record), expectedOrders + 1)
      state.awaitedVersions.set(id, version)
    } else if (status !== WeightOrderStatus.Holds) this.#orderCounts.delete(incarnationOf(record))
    switch (status) {
      case WeightOrderStatus.Holds:
        this.#context.deployment.board.recordVersion(id, model, version)
        return
      case WeightOrderStatus.Accepted: return
      case WeightOrderStatus.Unknown:
        // It may be carried out: only a report or the time limit tells.
        state.unansweredOrders.add(id)
        return
      case WeightOrderStatus.Busy:
      case WeightOrderStatus.Refused:
      case WeightOrderStatus.NotSent:
        state.waves.recordFailure(id, monotonicNow())
        return
      default: unreachable(status)
    }
  }
}

/** Names one life of an endpoint. */
function incarnationOf (record: EndpointRecord): string {
  return `${record.entry.id}@${record.entry.bornAt}`
}
