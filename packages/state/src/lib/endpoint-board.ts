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
export interface LoadSighting {
  readonly running: number
  readonly waiting: number
}

/** First pause after broken work, in milliseconds; doubles with each further one. */
const FIRST_SUSPENSION_MS = 300

/** Longest pause after broken work, in milliseconds: about as long as an endpoint takes to restart. */
const LAST_SUSPENSION_MS = 4_000

/** Pause after a refusal, in milliseconds: a few steps of an engine. */
const REFUSAL_PAUSE_MS = 60

/** Time for which a model is left alone at an endpoint that refused it, in milliseconds: about a change of weights, whose end the registry tells sooner. */
const LOADING_PAUSE_MS = 900

/** Time between two samples sent to try whether an endpoint takes a model again, in milliseconds: a round trip between regions and a few steps of an engine. */
const TRIAL_PERIOD_MS = 120

/** Age at which an endpoint's own load figures no longer count, in milliseconds. */
const SIGHTING_MS = 1_000

/** Weight of the newest pace in the average. */
const PACE_SHARE = 0.3

/** Time in which half of what is known about an endpoint's pace is forgotten, in milliseconds. */
const PACE_HALF_LIFE_MS = 15_000

/** All that this process knows of one endpoint. */
export interface EndpointRecord {
  entry: EndpointEntry
  /** Work of this process that runs or waits there. */
  active: number
  /** Monotonic milliseconds before which it gets no new work. */
  suspendedUntil: number
  failuresInRow: number
  /** Load of other processes, and when it was seen. */
  foreignLoad: number
  foreignSeenAt: number
  /** Time per unit of work in milliseconds, averaged; undefined before the first. */
  paceMs: number | undefined
  paceSeenAt: number
  /** Versions seen in answers, newer than those of the entry. */
  seenVersions: Record<string, number>
  /** Monotonic milliseconds until which a change of weights makes it refuse new work, by model. */
  loadingUntil: Record<string, number>
  /** Models that it refused last; they get one sample at a time until one is taken. */
  readonly onTrial: Set<string>
}

/**
 * Everything known of the endpoints of a deployment, and the one place that
 * turns it into usable or not.
 *
 * Invariants: a new life or another address under a known id starts with an
 * empty record; an endpoint that is draining or has left is never usable.
 */
export class EndpointBoard {
  readonly #records = new Map<string, EndpointRecord>()

  /** Replaces the registry's view. */
  update (entries: readonly EndpointEntry[]): void {
    const ids = new Set(entries.map((entry) => entry.id))
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id)
    }
    for (const entry of entries) this.#put(entry)
  }

  /** The record of an endpoint. */
  find (id: string): EndpointRecord | undefined {
    return this.#records.get(id)
  }

  /** All endpoints of a service that the registry lists. */
  ofService (service: string): EndpointRecord[] {
    return [...this.#records.values()].filter((record) => record.entry.service === service)
  }

  /** Endpoints of a service that may be given work now. */
  usable (service: string, now: number): EndpointRecord[] {
    return this.ofService(service).filter((record) => record.entry.phase === EndpointPhase.Ready && now >= record.suspendedUntil)
  }

  /** Counts work that is about to be sent. */
  begin (id: string): void {
    const record = this.#records.get(id)
    if (record !== undefined) record.active += 1
  }

  /** Takes note of the end of work that was counted by {@link begin}. */
  end (id: string, bornAt: number, end: WorkEnd, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined || record.entry.bornAt !== bornAt) return
    record.active = Math.max(0, record.active - 1)
    if (end === WorkEnd.Finished) record.failuresInRow = 0
    if (end === WorkEnd.Refused) record.suspendedUntil = Math.max(record.suspendedUntil, now + REFUSAL_PAUSE_MS)
    if (end === WorkEnd.Broken) {
      const pause = Math.min(FIRST_SUSPENSION_MS * 2 ** record.failuresInRow, LAST_SUSPENSION_MS)
      record.failuresInRow += 1
      record.suspendedUntil = Math.max(record.suspendedUntil, now + pause)
    }
  }

  /** Takes note that an endpoint refused a model: its weights are changing, or it is full. */
  refuseModel (id: string, model: string, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.loadingUntil[model] = now + LOADING_PAUSE_MS
    record.onTrial.add(model)
  }

  /** Whether work for a model may be sent to an endpoint, as far as its weights are concerned. */
  takesModel (record: EndpointRecord, model: string, minVersion: number, now: number): boolean {
    return this.version(record, model) >= minVersion && now >= (record.loadingUntil[model] ?? 0)
  }

  /** Takes note that a sample is about to be sent: after a refusal the next has to wait for what becomes of it. */
  tryModel (id: string, model: string, now: number): void {
    const record = this.#records.get(id)
    if (record?.onTrial.has(model) === true) record.loadingUntil[model] = now + TRIAL_PERIOD_MS
  }

  /** Takes note that an endpoint took a sample of a model. */
  acceptModel (id: string, model: string): void {
    const record = this.#records.get(id)
    if (record === undefined || !record.onTrial.delete(model)) return
    delete record.loadingUntil[model]
  }

  /** Takes note of what an endpoint said of its load. */
  seeLoad (id: string, load: LoadSighting, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.foreignLoad = Math.max(0, load.running + load.waiting - record.active)
    record.foreignSeenAt = now
  }

  /** Takes note of the time one unit of work took. */
  seePace (id: string, paceMs: number, now: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    record.paceMs = record.paceMs === undefined ? paceMs : record.paceMs * (1 - PACE_SHARE) + paceMs * PACE_SHARE
    record.paceSeenAt = now
  }

  /** Takes note of the weight version an answer, a report or the leader named. */
  seeVersion (id: string, model: string, version: number): void {
    const record = this.#records.get(id)
    if (record === undefined) return
    if (version > this.version(record, model)) {
      delete record.loadingUntil[model]
      record.onTrial.delete(model)
    }
    record.seenVersions[model] = version
  }

  /** Work at an endpoint, of this process and as far as known of others. */
  load (record: EndpointRecord, now: number): number {
    return record.active + (now - record.foreignSeenAt < SIGHTING_MS ? record.foreignLoad : 0)
  }

  /**
   * The median of the paces seen lately at a service's endpoints, or a usual one
   * where none was. What slows them all, as a busy host of ours, is no reason to
   * prefer one that was not seen yet.
   */
  typicalPace (service: string, usualMs: number, now: number): number {
    const paces = this.ofService(service)
      .flatMap((record) => record.paceMs === undefined || now - record.paceSeenAt > PACE_HALF_LIFE_MS ? [] : [record.paceMs])
      .sort((a, b) => a - b)
    return paces[Math.floor(paces.length / 2)] ?? usualMs
  }

  /** The average pace, drawn towards a usual one as it ages. */
  pace (record: EndpointRecord, usualMs: number, now: number): number {
    if (record.paceMs === undefined) return usualMs
    const trust = 0.5 ** ((now - record.paceSeenAt) / PACE_HALF_LIFE_MS)
    return record.paceMs * trust + usualMs * (1 - trust)
  }

  /** The newest weight version of a model that an endpoint is known to have. */
  version (record: EndpointRecord, model: string): number {
    return Math.max(record.entry.versions[model] ?? 0, record.seenVersions[model] ?? 0)
  }

  #put (entry: EndpointEntry): void {
    const known = this.#records.get(entry.id)
    if (known !== undefined && known.entry.bornAt === entry.bornAt && known.entry.address === entry.address) {
      if (!sameVersions(known.entry, entry)) {
        known.loadingUntil = {}
        known.onTrial.clear()
      }
      known.entry = entry
      return
    }
    this.#records.set(entry.id, {
      entry,
      active: 0,
      suspendedUntil: -Infinity,
      failuresInRow: 0,
      foreignLoad: 0,
      foreignSeenAt: -Infinity,
      paceMs: undefined,
      paceSeenAt: -Infinity,
      seenVersions: {},
      loadingUntil: {},
      onTrial: new Set()
    })
  }
}

function sameVersions (a: EndpointEntry, b: EndpointEntry): boolean {
  return Object.keys({ ...a.versions, ...b.versions }).every((model) => a.versions[model] === b.versions[model])
}
