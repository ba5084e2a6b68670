/** Whether an endpoint takes new work, as it says of itself. */
export enum EndpointPhase {
  Ready = 'ready',
  Draining = 'draining'
}

/** What the registry says of one endpoint. */
export interface EndpointEntry {
  readonly id: string
  readonly service: string
  /** IP number and port. */
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly phase: EndpointPhase
  /** Weight version of each model it holds. */
  readonly versions: Readonly<Record<string, number>>
  /** Milliseconds since 1970 at which this life of the endpoint began. */
  readonly bornAt: number
  /** Whether it may be taken back at short notice. */
  readonly cheap: boolean
}

/** How work at an endpoint came to its end. */
export enum WorkEnd {
  Finished = 'finished',
  /** The endpoint refused and ran nothing. */
  Refused = 'refused',
  /** The connection broke, stalled or never came to be. */
  Broken = 'broken',
  /** This process gave the work up. */
  Cancelled = 'cancelled'
}

/** An endpoint's own figures of its load, as they came with an answer. */
export interface ObservedLoad {
  readonly running: number
  readonly waiting: number
}

/** First pause after broken work, in milliseconds; doubles with each further one. */
const INITIAL_SUSPENSION_MS = 300

/** Longest pause after broken work, in milliseconds: about as long as an endpoint takes to restart. */
const MAX_SUSPENSION_MS = 4_000

/** Pause after a refusal, in milliseconds: a few steps of an engine. */
const REFUSAL_PAUSE_MS = 60

/** Time for which a model is left alone at an endpoint that refused it, in milliseconds: about a change of weights, whose end the registry tells sooner. */
const MODEL_REFUSAL_PAUSE_MS = 900

/** Time between two samples sent to try whether an endpoint takes a model again, in milliseconds: a round trip between regions and a few steps of an engine. */
const TRIAL_INTERVAL_MS = 120

/** Age at which an endpoint's own load figures no longer count, in milliseconds. */
const LOAD_TTL_MS = 1_000

/** Weight of the newest pace in the average. */
const PACE_SMOOTHING = 0.3

/** Time in which half of what is known about an endpoint's pace is forgotten, in milliseconds. */
const PACE_HALF_LIFE_MS = 15_000

/** All that this process knows of one endpoint. */
export interface EndpointRecord {
  entry: EndpointEntry
  /** Work of this process that runs or waits there. */
  activeWork: number
  /** Monotonic milliseconds before which it gets no new work. */
  suspendedUntil: number
  consecutiveFailures: number
  /** Load of other processes, and when it was seen. */
  foreignLoad: number
  foreignLoadObservedAt: number
  /** Time per unit of work in milliseconds, averaged; undefined before the first. */
  paceMs: number | undefined
  paceObservedAt: number
  /** Versions seen in answers, newer than those of the entry. */
  observedVersions: Record<string, number>
  /** Monotonic milliseconds until which a change of weights makes it refuse new work, by model. */
  modelPausedUntil: Record<string, number>
  /** Models that it refused last; they get one sample at a time until one is taken. */
  readonly trialModels: Set<string>
}

/**
 * Everything known of the endpoints of a deployment, and the one place that
 * turns it into usable or not.
 *
 * Invariants: a new life or another address under a known id starts with an
 * empty record; an endpoint that is draining or has left is never usable.
 */
export class EndpointTable {
  readonly #records = new Map<string, EndpointRecord>()

  /** Replaces the registry's view. */
  update (entries: readonly EndpointEntry[]): void {
    const ids = new Set(entries.map((entry) => entry.id))
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id)
    }
    for (const entry of entries) this.#updateEntry(entry)
  }

  /** The record of an endpoint. */
  find (id: string): EndpointRecord | undefined {
    return this.#records.get(id)
  }

  /** All endpoints of a service that the registry lists. */
  endpointsOfService (service: string): EndpointRecord[] {
    return [...this.#records.values()].filter((record) => record.entry.service === service)
  }

  /** Endpoints of a service that may be given work now. */
  usableEndpoints (service: string, now: number): EndpointRecord[] {
    return this.endpointsOfService(service).filter((record) => record.entry.phase === EndpointPhase.Ready && now >= record.suspendedUntil)
  }

  /** Counts work that is about to be sent. */
  startWork (id: string): void {
    const record = this.#records.get(id)
    if (record !== undefined) record.activeWork += 1
  }

  /** Takes note of the end of work that was counted by {@link startWork}. */
  finishWork (id: string, bornAt: number, end: WorkEnd, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined || record.entry.bornAt !== bornAt) return
    record.activeWork = Math.max(0, record.activeWork - 1)
    if (end === WorkEnd.Finished) record.consecutiveFailures = 0
    if (end === WorkEnd.Refused) record.suspendedUntil = Math.max(record.suspendedUntil, now + REFUSAL_PAUSE_MS)
    if (end === WorkEnd.Broken) {
      const pause = Math.min(INITIAL_SUSPENSION_MS * 2 ** record.consecutiveFailures, MAX_SUSPENSION_MS)
      record.consecutiveFailures += 1
      record.suspendedUntil = Math.max(record.suspendedUntil, now + pause)
    }
  }

  /** Takes note that an endpoint refused a model: its weights are changing, or it is full. */
  recordModelRefusal (id: string, model: string, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.modelPausedUntil[model] = now + MODEL_REFUSAL_PAUSE_MS
    record.trialModels.add(model)
  }

  /** Whether work for a model may be sent to an endpoint, as far as its weights are concerned. */
  acceptsModel (record: EndpointRecord, model: string, minVersion: number, now: number): boolean {
    return this.newestVersion(record, model) >= minVersion && now >= (record.modelPausedUntil[model] ?? 0)
  }

  /** Takes note that a sample is about to be sent: after a refusal the next has to wait for what becomes of it. */
  startModelTrial (id: string, model: string, now: number): void {
    const record = this.#records.get(id)
    if (record?.trialModels.has(model) === true) record.modelPausedUntil[model] = now + TRIAL_INTERVAL_MS
  }

  /** Takes note that an endpoint took a sample of a model. */
  recordModelAcceptance (id: string, model: string): void {
    const record = this.#records.get(id)
    if (record === undefined || !record.trialModels.delete(model)) return
    delete record.modelPausedUntil[model]
  }

  /** Takes note of what an endpoint said of its load. */
  recordLoad (id: string, observed: ObservedLoad, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.foreignLoad = Math.max(0, observed.running + observed.waiting - record.activeWork)
    record.foreignLoadObservedAt = now
  }

  /** Takes note of the time one unit of work took. */
  recordPace (id: string, paceMs: number, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.paceMs = record.paceMs === undefined ? paceMs : record.paceMs * (1 - PACE_SMOOTHING) + paceMs * PACE_SMOOTHING
    record.paceObservedAt = now
  }

  /** Takes note of the weight version an answer, a report or the leader named. */
  recordVersion (id: string, model: string, version: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    if (version > this.newestVersion(record, model)) {
      delete record.modelPausedUntil[model]
      record.trialModels.delete(model)
    }
    record.observedVersions[model] = version
  }

  /** Work at an endpoint, of this process and as far as known of others. */
  currentLoad (record: EndpointRecord, now: number): number {
    return record.activeWork + (now - record.foreignLoadObservedAt < LOAD_TTL_MS ? record.foreignLoad : 0)
  }

  /**
   * The median of the paces seen lately at a service's endpoints, or a usual one
   * where none was. What slows them all, as a busy host of ours, is no reason to
   * prefer one that was not seen yet.
   */
  typicalPace (service: string, fallbackMs: number, now: number): number {
    const paces = this.endpointsOfService(service)
      .flatMap((record) => record.paceMs === undefined || now - record.paceObservedAt > PACE_HALF_LIFE_MS ? [] : [record.paceMs])
      .sort((a, b) => a - b)
    return paces[Math.floor(paces.length / 2)] ?? fallbackMs
  }

  /** The average pace, drawn towards a usual one as it ages. */
  estimatedPace (record: EndpointRecord, typicalMs: number, now: number): number {
    if (record.paceMs === undefined) return typicalMs
    const trust = 0.5 ** ((now - record.paceObservedAt) / PACE_HALF_LIFE_MS)
    return record.paceMs * trust + typicalMs * (1 - trust)
  }

  /** The newest weight version of a model that an endpoint is known to have. */
  newestVersion (record: EndpointRecord, model: string): number {
    return Math.max(record.entry.versions[model] ?? 0, record.observedVersions[model] ?? 0)
  }

  #updateEntry (entry: EndpointEntry): void {
    const known = this.#records.get(entry.id)
    if (known !== undefined && known.entry.bornAt === entry.bornAt && known.entry.address === entry.address) {
      if (!sameVersions(known.entry, entry)) {
        known.modelPausedUntil = {}
        known.trialModels.clear()
      }
      known.entry = entry
      return
    }
    this.#records.set(entry.id, {
      entry,
      activeWork: 0,
      suspendedUntil: -Infinity,
      consecutiveFailures: 0,
      foreignLoad: 0,
      foreignLoadObservedAt: -Infinity,
      paceMs: undefined,
      paceObservedAt: -Infinity,
      observedVersions: {},
      modelPausedUntil: {},
      trialModels: new Set()
    })
  }
}

function sameVersions (a: EndpointEntry, b: EndpointEntry): boolean {
  return Object.keys({ ...a.versions, ...b.versions }).every((model) => a.versions[model] === b.versions[model])
}
