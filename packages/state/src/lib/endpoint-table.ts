import { EndpointColdness } from './cold-endpoints/endpoint-coldness.js'
import { PaceBoard } from './pace/pace-board.js'
import { RequestLimitRecord } from './request-limit.js'
import type { ColdBounds, ColdLimit, ColdStatement } from './cold-endpoints/endpoint-coldness.js'
import type { NoticeEvidence, RequestLimit } from './request-limit.js'

/** Whether an endpoint accepts new work, as reported by itself. */
export enum EndpointPhase {
  Ready = 'ready',
  Draining = 'draining'
}

/** Registry entry of an endpoint. */
export interface EndpointEntry {
  readonly id: string
  readonly service: string
  /** IP address and port. */
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly phase: EndpointPhase
  /** Loaded weight version of each model. */
  readonly versions: Readonly<Record<string, number>>
  /** Start time of this incarnation of the endpoint, in milliseconds since 1970. */
  readonly bornAt: number
  /** Version of the endpoint's software; what endpoints of two software versions write doesn't fit together. */
  readonly softwareVersion: string
  /** Whether the platform may reclaim it at short notice. */
  readonly cheap: boolean
  /** Remaining time for which the endpoint was cold when it wrote the entry, in milliseconds; absent if the entry doesn't say. */
  readonly coldLeftMs?: number
  /** The same as a deadline, from when this version of the entry was first read. */
  readonly cold?: ColdStatement
}

/** What distinguishes a running process of an endpoint from an earlier one under the same id. */
export type EndpointIncarnation = Pick<EndpointEntry, 'id' | 'address' | 'bornAt' | 'softwareVersion'>

/** How work at an endpoint ended. */
export enum WorkEnd {
  Finished = 'finished',
  /** The endpoint refused the work without running it. */
  Refused = 'refused',
  /** The connection broke, stalled or could not be opened. */
  Broken = 'broken',
  /** The endpoint sent more than an answer may hold. */
  Overrun = 'overrun',
  /** This process cancelled the work. */
  Cancelled = 'cancelled'
}

/** Load of an endpoint, as it reported it with an answer. */
export interface ObservedLoad {
  readonly running: number
  readonly waiting: number
  /** How long work takes there now, in percent of the usual time; absent if the endpoint doesn't state it. */
  readonly pacePercent?: number | undefined
}

/** Initial suspension after a connection failure, in milliseconds; doubles with each consecutive one. */
const INITIAL_SUSPENSION_MS = 300

/** Maximum suspension after connection failures, in milliseconds: about the time an endpoint takes to restart. */
const MAX_SUSPENSION_MS = 4_000

/** Initial suspension after an overrun, in milliseconds; doubles with each overrun after it, until the endpoint finishes work. */
const INITIAL_OVERRUN_PAUSE_MS = 1_000

/** Maximum suspension after an overrun, in milliseconds. */
const MAX_OVERRUN_PAUSE_MS = 30_000

/** Suspension after a refusal, in milliseconds: a few steps of an engine. */
const REFUSAL_PAUSE_MS = 60

/** Time for which an endpoint that refused a model gets no work for it, in milliseconds: about the duration of a weight update, unless the registry reports its end sooner. */
const MODEL_REFUSAL_PAUSE_MS = 900

/** Time between two trial samples for a model that an endpoint refused, in milliseconds: a round trip between regions plus a few steps of an engine. */
const TRIAL_INTERVAL_MS = 120

/** Age from which a reported load is ignored, in milliseconds. */
const LOAD_TTL_MS = 1_000

/** Smoothing factor of the average pace: weight of the newest value. */
const PACE_SMOOTHING = 0.3

/** Half-life of the confidence in an endpoint's measured pace, in milliseconds. */
const PACE_HALF_LIFE_MS = 15_000

/** Time for which a typical pace is reused, in milliseconds; it changes little between a few events of a stream. */
const TYPICAL_PACE_TTL_MS = 200

/** State of an endpoint as known to this process. */
export interface EndpointRecord {
  entry: EndpointEntry
  /** Requests of this process that run or wait at the endpoint. */
  activeWork: number
  /** Monotonic milliseconds before which the endpoint gets no new work. */
  suspendedUntil: number
  /** Monotonic milliseconds until which it is suspended because connections to it broke. */
  brokenUntil: number
  consecutiveFailures: number
  consecutiveOverruns: number
  /** Monotonic milliseconds until which further overruns belong to the last one: work that ran beside it. */
  overrunUntil: number
  /** Load from other processes, and when it was observed. */
  foreignLoad: number
  foreignLoadObservedAt: number
  /** Average time per unit of work in milliseconds; undefined before the first measurement. */
  paceMs: number | undefined
  paceObservedAt: number
  /** Monotonic milliseconds at which the latest request that this incarnation answered was sent; -Infinity before the first. */
  answeredSentAt: number
  /** Weight versions observed in answers, which may be newer than those of the registry entry. */
  observedVersions: Record<string, number>
  /** Monotonic milliseconds until which the endpoint gets no work for a model, because a weight update makes it refuse. */
  modelPausedUntil: Record<string, number>
  /** Models that the endpoint refused last; they get one trial sample at a time until one is accepted. */
  readonly trialModels: Set<string>
  /** Requests per second that the endpoint accepts from all hosts, as its answers name them. */
  readonly requestLimit: RequestLimitRecord
  readonly coldness: EndpointColdness
  /** Whether this incarnation has said that it is leaving; the registry may learn it later. */
  isLeaving: boolean
  /** Whether the operator has its failure domain evacuated. */
  isEvacuated: boolean
}

/**
 * Table of the endpoints of a deployment. It alone decides which of them are
 * usable.
 *
 * Invariants: a new incarnation under a known id, with a new start time, address or
 * software version, starts with an empty record; an endpoint that is draining, that has said itself that it
 * is leaving, or that was removed is never usable.
 */
export class EndpointTable {
  /** The pace of endpoints that state it. */
  readonly paces = new PaceBoard()
  readonly #records = new Map<string, EndpointRecord>()
  /** Services and software versions of the endpoints in service. */
  readonly #servedVersions = new Set<string>()
  readonly #typicalPaces = new Map<string, { readonly paceMs: number | undefined, readonly computedAt: number }>()
  #evacuatedDomains: ReadonlySet<string> = new Set()
  #coldBounds: ReadonlyMap<string, ColdBounds> = new Map()

  /** Failure domains whose endpoints get nothing until the operator lifts the evacuation. */
  get evacuatedDomains (): ReadonlySet<string> {
    return this.#evacuatedDomains
  }

  /**
   * Replaces the set of evacuated failure domains. Endpoints whose evacuation is lifted are presumed cold.
   *
   * @param now monotonic milliseconds; without it, no endpoint is presumed cold
   */
  setEvacuatedDomains (domains: ReadonlySet<string>, now = -Infinity): void {
    this.#evacuatedDomains = domains
    for (const record of this.#records.values()) {
      if (record.isEvacuated && !domains.has(record.entry.failureDomain)) record.coldness.recordLift(now)
    }
    for (const record of this.#records.values()) record.isEvacuated = domains.has(record.entry.failureDomain)
    this.#updateServedVersions()
  }

  /** Sets what services declare about cold endpoints, by the service's name. */
  setColdBounds (bounds: ReadonlyMap<string, ColdBounds>): void {
    this.#coldBounds = bounds
    for (const record of this.#records.values()) record.coldness.setBounds(bounds.get(record.entry.service))
  }

  /** Replaces the registry entries. */
  update (entries: readonly EndpointEntry[]): void {
    const ids = new Set(entries.map((entry) => entry.id))
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id)
    }
    for (const entry of entries) this.#updateEntry(entry)
    this.paces.retain(ids)
    this.#updateServedVersions()
  }

  /** Looks up the record of an endpoint. */
  find (id: string): EndpointRecord | undefined {
    return this.#records.get(id)
  }

  /** All registered endpoints of a service. */
  endpointsOfService (service: string): EndpointRecord[] {
    return [...this.#records.values()].filter((record) => record.entry.service === service)
  }

  /** All endpoints that may be given work, as far as the registry and they themselves say. */
  endpointsInService (): EndpointRecord[] {
    return [...this.#records.values()].filter(isInService)
  }

  /** Endpoints of a service that may be given work now. */
  usableEndpoints (service: string, now: number): EndpointRecord[] {
    return this.endpointsOfService(service).filter((record) => isInService(record) && now >= record.suspendedUntil)
  }

  /** Whether the registry has a ready endpoint of a software version, even if it has no room or was suspended. */
  isVersionServed (service: string, softwareVersion: string): boolean {
    return this.#servedVersions.has(versionKey(service, softwareVersion))
  }

  /** Records that work is about to be sent to an endpoint. */
  startWork (id: string): void {
    const record = this.#records.get(id)
    if (record !== undefined) record.activeWork += 1
  }

  /** Records the end of work that was counted by {@link startWork}. */
  finishWork (id: string, bornAt: number, end: WorkEnd, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined || record.entry.bornAt !== bornAt) return
    record.activeWork = Math.max(0, record.activeWork - 1)
    if (end === WorkEnd.Finished) {
      record.consecutiveFailures = 0
      if (now >= record.overrunUntil) record.consecutiveOverruns = 0
    }
    if (end === WorkEnd.Refused) record.suspendedUntil = Math.max(record.suspendedUntil, now + REFUSAL_PAUSE_MS)
    if (end === WorkEnd.Broken) {
      record.coldness.recordBreak(now)
      const pause = Math.min(INITIAL_SUSPENSION_MS * 2 ** record.consecutiveFailures, MAX_SUSPENSION_MS)
      record.consecutiveFailures += 1
      record.brokenUntil = Math.max(record.brokenUntil, now + pause)
      record.suspendedUntil = Math.max(record.suspendedUntil, record.brokenUntil)
    }
    if (end === WorkEnd.Overrun) this.#recordOverrun(record, now)
  }

  #recordOverrun (record: EndpointRecord, now: number): void {
    if (now < record.overrunUntil) return
    record.overrunUntil = now + Math.min(INITIAL_OVERRUN_PAUSE_MS * 2 ** record.consecutiveOverruns, MAX_OVERRUN_PAUSE_MS)
    record.consecutiveOverruns += 1
    record.suspendedUntil = Math.max(record.suspendedUntil, record.overrunUntil)
  }

  /** Records that an endpoint refused work for a model, because it updates its weights or is full. */
  recordModelRefusal (id: string, model: string, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.modelPausedUntil[model] = now + MODEL_REFUSAL_PAUSE_MS
    record.trialModels.add(model)
  }

  /** Whether the weights of an endpoint allow work for a model. */
  acceptsModel (record: EndpointRecord, model: string, minVersion: number, now: number): boolean {
    return this.newestVersion(record, model) >= minVersion && now >= (record.modelPausedUntil[model] ?? 0)
  }

  /** Records that a sample is about to be sent; after a refusal it is a trial, and the next one has to wait for its result. */
  startModelTrial (id: string, model: string, now: number): void {
    const record = this.#records.get(id)
    if (record?.trialModels.has(model) === true) record.modelPausedUntil[model] = now + TRIAL_INTERVAL_MS
  }

  /** Records that an endpoint accepted a sample of a model. */
  recordModelAcceptance (id: string, model: string): void {
    const record = this.#records.get(id)
    if (record === undefined || !record.trialModels.delete(model)) return
    delete record.modelPausedUntil[model]
  }

  /** Records the load that an endpoint reported. */
  recordLoad (id: string, observed: ObservedLoad, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.foreignLoad = Math.max(0, observed.running + observed.waiting - record.activeWork)
    record.foreignLoadObservedAt = now
    if (observed.pacePercent !== undefined) this.paces.recordStatement(record.entry, observed.pacePercent, now)
  }

  /**
   * Records what an answer of an endpoint states about itself, unless another incarnation sent it.
   *
   * @returns whether the endpoint's request limit was set, changed or lifted
   */
  recordNotice (id: string, bornAt: number, notice: NoticeEvidence): boolean {
    const record = this.#records.get(id)
    if (record === undefined || record.entry.bornAt !== bornAt) return false
    this.recordColdness(id, bornAt, notice)
    return record.requestLimit.apply(notice)
  }

  /** Records an answer of an endpoint and what it states about being cold, unless another incarnation sent it; times in monotonic milliseconds. */
  recordColdness (id: string, bornAt: number, { coldMs, sentAt, receivedAt }: Pick<NoticeEvidence, 'coldMs' | 'sentAt' | 'receivedAt'>): void {
    const record = this.#records.get(id)
    if (record === undefined || record.entry.bornAt !== bornAt) return
    record.coldness.recordAnswer(sentAt, receivedAt)
    if (coldMs !== undefined) record.coldness.recordStatement({ asOf: sentAt, until: coldMs > 0 ? receivedAt + coldMs : -Infinity })
  }

  /**
   * Records that an incarnation of an endpoint has said that it is leaving; nothing takes that back.
   *
   * @returns whether this wasn't known
   */
  recordLeaving (id: string, bornAt: number): boolean {
    const record = this.#records.get(id)
    if (record === undefined || record.entry.bornAt !== bornAt || record.isLeaving) return false
    record.isLeaving = true
    this.#updateServedVersions()
    return true
  }

  /** Endpoints that name a request limit or are cold at a monotonic time in milliseconds, with the limit. */
  limitedEndpoints (now: number): Array<readonly [record: EndpointRecord, limit: EndpointLimit]> {
    return [...this.#records.values()].flatMap((record): Array<readonly [EndpointRecord, EndpointLimit]> => {
      const limit = limitInForce(record, now)
      return limit === undefined ? [] : [[record, limit]]
    })
  }

  /** Records that an incarnation has answered a request that was sent at the given monotonic time, in milliseconds. */
  recordAnswer (id: string, bornAt: number, sentAt: number): void {
    const record = this.#records.get(id)
    if (record !== undefined && record.entry.bornAt === bornAt) record.answeredSentAt = Math.max(record.answeredSentAt, sentAt)
  }

  /** Records the time that one unit of work took. */
  recordPace (id: string, paceMs: number, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.paceMs = record.paceMs === undefined ? paceMs : record.paceMs * (1 - PACE_SMOOTHING) + paceMs * PACE_SMOOTHING
    record.paceObservedAt = now
  }

  /** Records the weight version that an answer, a report or the leader stated. */
  recordVersion (id: string, model: string, version: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    if (version > this.newestVersion(record, model)) {
      delete record.modelPausedUntil[model]
      record.trialModels.delete(model)
    }
    record.observedVersions[model] = version
  }

  /** Current load of an endpoint: requests of this process plus the recently reported load from others. */
  currentLoad (record: EndpointRecord, now: number): number {
    return record.activeWork + (now - record.foreignLoadObservedAt < LOAD_TTL_MS ? record.foreignLoad : 0)
  }

  /**
   * Median of the recent paces of a service's endpoints, or the fallback if there are
   * none. As the default for endpoints without a measurement it keeps them from being
   * preferred when something slows all endpoints, such as a busy local host.
   */
  typicalPace (service: string, fallbackMs: number, now: number): number {
    const known = this.#typicalPaces.get(service)
    if (known !== undefined && known.paceMs !== undefined && now - known.computedAt < TYPICAL_PACE_TTL_MS) return known.paceMs
    const paces = this.endpointsOfService(service)
      .flatMap((record) => record.paceMs === undefined || now - record.paceObservedAt > PACE_HALF_LIFE_MS ? [] : [record.paceMs])
      .sort((a, b) => a - b)
    const paceMs = paces[Math.floor(paces.length / 2)]
    this.#typicalPaces.set(service, { paceMs, computedAt: now })
    return paceMs ?? fallbackMs
  }

  /** Average pace of an endpoint, which decays towards a typical one as it ages. */
  estimatedPace (record: EndpointRecord, typicalMs: number, now: number): number {
    if (record.paceMs === undefined) return typicalMs
    const confidence = 0.5 ** ((now - record.paceObservedAt) / PACE_HALF_LIFE_MS)
    return record.paceMs * confidence + typicalMs * (1 - confidence)
  }

  /** Newest weight version of a model that an endpoint is known to have loaded. */
  newestVersion (record: EndpointRecord, model: string): number {
    return Math.max(record.entry.versions[model] ?? 0, record.observedVersions[model] ?? 0)
  }

  #updateServedVersions (): void {
    this.#servedVersions.clear()
    for (const { entry } of this.endpointsInService()) this.#servedVersions.add(versionKey(entry.service, entry.softwareVersion))
  }

  #updateEntry (entry: EndpointEntry): void {
    const known = this.#records.get(entry.id)
    if (known !== undefined && isSameIncarnation(known.entry, entry)) {
      if (!sameVersions(known.entry, entry)) {
        known.modelPausedUntil = {}
        known.trialModels.clear()
      }
      if (entry.cold !== undefined && entry.cold !== known.entry.cold) known.coldness.recordStatement(entry.cold)
      known.entry = entry
      return
    }
    const coldness = new EndpointColdness()
    coldness.setBounds(this.#coldBounds.get(entry.service))
    if (entry.cold !== undefined) coldness.recordStatement(entry.cold)
    this.#records.set(entry.id, {
      entry,
      activeWork: 0,
      suspendedUntil: -Infinity,
      brokenUntil: -Infinity,
      consecutiveFailures: 0,
      consecutiveOverruns: 0,
      overrunUntil: -Infinity,
      foreignLoad: 0,
      foreignLoadObservedAt: -Infinity,
      paceMs: undefined,
      paceObservedAt: -Infinity,
      answeredSentAt: -Infinity,
      observedVersions: {},
      modelPausedUntil: {},
      trialModels: new Set(),
      requestLimit: new RequestLimitRecord(),
      coldness,
      isLeaving: false,
      isEvacuated: this.#evacuatedDomains.has(entry.failureDomain)
    })
  }
}

/**
 * Whether an endpoint may be given new work, as far as the registry, the operator and the endpoint itself say.
 *
 * @example
 * endpoints.endpointsOfService('desk').filter(isInService)
 */
export function isInService ({ entry, isLeaving, isEvacuated }: EndpointRecord): boolean {
  return entry.phase === EndpointPhase.Ready && !isLeaving && !isEvacuated
}

/** A limit in force; `cold` is set while the endpoint is cold, also if it names a smaller limit. */
export type EndpointLimit = RequestLimit & { readonly cold?: ColdLimit }

/**
 * Returns the smaller one of the limit that an endpoint names and the limit of a cold endpoint; undefined if
 * neither is in force.
 *
 * @param now monotonic milliseconds
 * @example
 * limitInForce(record, monotonicNow())?.requestsPerSecond
 */
export function limitInForce ({ requestLimit: { current: named }, coldness }: EndpointRecord, now: number): EndpointLimit | undefined {
  const cold = coldness.limitAt(now)
  if (cold === undefined) return named
  if (named !== undefined && named.requestsPerSecond <= cold.requestsPerSecond) return { ...named, cold }
  return { requestsPerSecond: cold.requestsPerSecond, since: cold.since, namedAt: now, cold }
}

/**
 * Whether two entries under one id describe the same running process of an endpoint.
 *
 * @example
 * isSameIncarnation(entryAtSending, endpoints.find(id).entry)
 */
export function isSameIncarnation (a: EndpointIncarnation, b: EndpointIncarnation): boolean {
  return a.bornAt === b.bornAt && a.address === b.address && a.softwareVersion === b.softwareVersion
}

function versionKey (service: string, softwareVersion: string): string {
  return JSON.stringify([service, softwareVersion])
}

function sameVersions (a: EndpointEntry, b: EndpointEntry): boolean {
  return Object.keys({ ...a.versions, ...b.versions }).every((model) => a.versions[model] === b.versions[model])
}
