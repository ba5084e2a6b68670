import { rankOwners } from './rendezvous.js'

/** Number of endpoints that a request has to crash to be held back. */
export const MAX_CRASHES = 3

/** Number of sightings from which all hosts know a record, so that a completion at any of them clears it. */
export const MIN_SHARED_SIGHTINGS = MAX_CRASHES - 1

/** Time from the last crash of a request that is held back to its first trial, in milliseconds. */
const FIRST_TRIAL_DELAY_MS = 500

/**
 * Times from the last crash or trial of a request that is held back to its next early
 * trials, in milliseconds. They come soon, since endpoints that crash together take sound
 * requests down with them, and several, since other requests may still crash endpoints.
 */
const EARLY_TRIAL_DELAYS_MS = [FIRST_TRIAL_DELAY_MS, 700]

/** Time after the third crash in which early trials begin, in milliseconds; later ones count against the limit that the platform sets. */
export const EARLY_TRIALS_MS = 2_500

/** The same times for later trials, in milliseconds. The first one is as soon if there was no early one: the crashes took long to confirm. */
const LATE_TRIAL_DELAYS_MS = [1_000, 3_000, 600_000]

/** Retry delay for a request without further trials, in milliseconds. */
const HELD_RETRY_MS = 600_000

/** Time after the last crash for which a request that isn't held back is remembered, in milliseconds. */
const RETENTION_MS = 120_000

/** Time for which a request that is held back is remembered after it was last sent, in milliseconds. */
const HELD_RETENTION_MS = 3_600_000

/** Maximum number of records; the oldest is dropped. */
const MAX_RECORDS = 2_000

/** Number of hosts that collect the crashes seen by all hosts. */
const COLLECTORS = 3

/** Number of hosts that one host asks which requests are held back. */
const SOURCES = 3

/** What makes two requests the same: who sends them, and what. */
export interface RequestIdentity {
  /** Everything but the body. */
  readonly target: string
  /** Digest of the target and the body. */
  readonly digest: string
}

/** An endpoint that gave no more sign while it ran a request. */
export interface CrashSighting {
  readonly endpointId: string
  /** Start time of the incarnation, in milliseconds since 1970. */
  readonly bornAt: number
  /** Monotonic milliseconds. */
  readonly lostAt: number
  /** Whether the incarnation is known to have ended; else its connection may just have broken. */
  readonly isConfirmed: boolean
}

/** The trials of a request that is held back. */
export interface TrialState {
  readonly count: number
  /** Number of those that weren't early. */
  readonly lateCount: number
  /** Monotonic milliseconds of the last one; -Infinity before the first. */
  readonly lastAt: number
}

/** What speaks against a request. */
export interface CrashRecord extends RequestIdentity {
  readonly sightings: readonly CrashSighting[]
  readonly trials: TrialState
  /** Whether the store holds the record. */
  readonly isStored: boolean
}

/** Kinds of admissions. */
export enum AdmissionKind {
  Free = 'free',
  /** The request may run once if no other host takes this trial. */
  TrialDue = 'trial-due',
  Held = 'held'
}

/** Whether a request may run. */
export type Admission =
  | { readonly kind: AdmissionKind.Free }
  | { readonly kind: AdmissionKind.TrialDue }
  | {
    readonly kind: AdmissionKind.Held
    /** Monotonic milliseconds before which it isn't worth a retry. */
    readonly retryAt: number
  }

interface KnownRecord extends CrashRecord {
  /** Monotonic milliseconds at which the latest request that completed was sent; earlier sightings don't count. */
  readonly soundAt: number
  /** Monotonic milliseconds at which the request was last sent or sighted. */
  readonly seenAt: number
}

/** No trials yet. */
export const NO_TRIALS: TrialState = { count: 0, lateCount: 0, lastAt: -Infinity }
const FREE: Admission = { kind: AdmissionKind.Free }

/**
 * Tracks under which requests endpoints crashed. A request that has crashed
 * `MAX_CRASHES` of them is held back, but for a few single trials.
 *
 * Invariants: each incarnation of an endpoint counts once, and only when it is known to
 * have ended; records of several hosts are joined, never replaced; a completion clears
 * what was sighted before it.
 *
 * @example
 * records.record(identity, { endpointId: 'i-1', bornAt: 99, lostAt, isConfirmed: true })
 * records.admit(identity.digest, now)
 */
export class CrashRecords {
  readonly #records = new Map<string, KnownRecord>()
  /** Targets of the records, so that requests with other targets need no digest. */
  #targets = new Set<string>()

  get isEmpty (): boolean {
    return this.#records.size === 0
  }

  /** Whether a request with this target may have a record. */
  hasTarget (target: string): boolean {
    return this.#targets.has(target)
  }

  /** Whether a request may run now. */
  admit (digest: string, now: number): Admission {
    const record = this.#records.get(digest)
    if (record === undefined || !isHeld(record)) return FREE
    this.#records.set(digest, { ...record, seenAt: now })
    const dueAt = nextTrialAt(record, now)
    if (dueAt === undefined) return { kind: AdmissionKind.Held, retryAt: now + HELD_RETRY_MS }
    return now >= dueAt ? { kind: AdmissionKind.TrialDue } : { kind: AdmissionKind.Held, retryAt: dueAt }
  }

  /**
   * Records a sighting, or that an earlier one is confirmed.
   *
   * @returns whether that is news
   */
  record (identity: RequestIdentity, sighting: CrashSighting): boolean {
    return this.merge({ ...identity, sightings: [sighting], trials: NO_TRIALS, isStored: false }, sighting.lostAt)
  }

  /**
   * Joins the record of another host with the own one.
   *
   * @returns whether that added anything
   */
  merge (other: CrashRecord, now: number): boolean {
    const known = this.#records.get(other.digest) ?? { target: other.target, digest: other.digest, sightings: [], trials: NO_TRIALS, isStored: false, soundAt: -Infinity, seenAt: now }
    const sightings = [...known.sightings]
    let isChanged = false
    for (const sighting of other.sightings) {
      if (sighting.lostAt <= known.soundAt) continue
      const index = sightings.findIndex((one) => isSameIncarnation(one, sighting))
      const earlier = sightings[index]
      if (earlier === undefined) sightings.push(sighting)
      else if (sighting.isConfirmed && !earlier.isConfirmed) sightings[index] = { ...earlier, isConfirmed: true }
      else continue
      isChanged = true
    }
    const trials = other.trials.count > known.trials.count ? other.trials : known.trials
    const isStored = known.isStored || other.isStored
    if (sightings.length === 0 || (!isChanged && trials === known.trials && isStored === known.isStored)) return false
    this.#store({ ...known, sightings, trials, isStored, seenAt: Math.max(known.seenAt, now) })
    return true
  }

  /** Drops the sighting of an incarnation that has given a sign since. */
  withdraw (digest: string, endpointId: string, bornAt: number): void {
    const record = this.#records.get(digest)
    if (record === undefined) return
    this.#store({ ...record, sightings: record.sightings.filter((one) => !isSameIncarnation(one, { endpointId, bornAt })) })
  }

  /**
   * Records that a request ran to its end.
   *
   * @param sentAt monotonic milliseconds; endpoints that were sighted later still count
   * @returns whether that cleared anything
   */
  recordCompletion (digest: string, sentAt: number): boolean {
    const record = this.#records.get(digest)
    const sightings = record?.sightings.filter(({ lostAt }) => lostAt > sentAt) ?? []
    if (record === undefined || sightings.length === record.sightings.length) return false
    this.#store({ ...record, sightings, trials: NO_TRIALS, isStored: false, soundAt: Math.max(record.soundAt, sentAt) })
    return true
  }

  /** The trials of a request once it has had one more at the given monotonic time, in milliseconds. */
  trialsAfter (digest: string, now: number): TrialState {
    const record = this.#records.get(digest)
    const { count, lateCount } = record?.trials ?? NO_TRIALS
    return { count: count + 1, lateCount: record === undefined || now < earlyUntil(record) ? lateCount : lateCount + 1, lastAt: now }
  }

  /** Records how many trials a request has had. */
  setTrials (digest: string, trials: TrialState): void {
    const record = this.#records.get(digest)
    if (record !== undefined) this.#store({ ...record, trials })
  }

  /** Records that the store holds a record. */
  setStored (digest: string): void {
    const record = this.#records.get(digest)
    if (record !== undefined) this.#store({ ...record, isStored: true })
  }

  /** Looks up a record. */
  find (digest: string): CrashRecord | undefined {
    return this.#records.get(digest)
  }

  /** Whether a request is held back, trials apart. */
  isHeld (digest: string): boolean {
    const record = this.#records.get(digest)
    return record !== undefined && isHeld(record)
  }

  /** Records of the requests that are held back. */
  held (): CrashRecord[] {
    return [...this.#records.values()].filter(isHeld)
  }

  /**
   * Forgets old records.
   *
   * @returns those that the store holds
   */
  forgetOld (now: number): CrashRecord[] {
    const old = [...this.#records.values()].filter((record) => now >= record.seenAt + (isHeld(record) ? HELD_RETENTION_MS : RETENTION_MS))
    for (const { digest } of old) this.#delete(digest)
    return old.filter(({ isStored }) => isStored)
  }

  #store (record: KnownRecord): void {
    this.#records.delete(record.digest)
    this.#records.set(record.digest, record)
    this.#targets.add(record.target)
    const [oldest] = this.#records.keys()
    if (this.#records.size > MAX_RECORDS && oldest !== undefined) this.#delete(oldest)
  }

  #delete (digest: string): void {
    this.#records.delete(digest)
    this.#targets = new Set([...this.#records.values()].map(({ target }) => target))
  }
}

function isHeld ({ sightings }: CrashRecord): boolean {
  return sightings.filter(({ isConfirmed }) => isConfirmed).length >= MAX_CRASHES
}

/** Monotonic milliseconds before which trials of a request that is held back are early. */
function earlyUntil ({ sightings }: CrashRecord): number {
  const crashes = sightings.filter(({ isConfirmed }) => isConfirmed).map(({ lostAt }) => lostAt).sort((a, b) => a - b)
  return (crashes[MAX_CRASHES - 1] ?? Infinity) + EARLY_TRIALS_MS
}

/** Monotonic milliseconds from which a request that is held back may have its next trial; undefined if it has none left. */
function nextTrialAt (record: CrashRecord, now: number): number | undefined {
  const { sightings, trials: { count, lateCount, lastAt } } = record
  const last = Math.max(lastAt, ...sightings.map(({ lostAt }) => lostAt))
  const early = EARLY_TRIAL_DELAYS_MS[count - lateCount]
  if (early !== undefined && Math.max(now, last + early) < earlyUntil(record)) return last + early
  const late = count === 0 ? FIRST_TRIAL_DELAY_MS : LATE_TRIAL_DELAYS_MS[lateCount]
  return late === undefined ? undefined : Math.max(last + late, earlyUntil(record))
}

function isSameIncarnation (a: Pick<CrashSighting, 'endpointId' | 'bornAt'>, b: Pick<CrashSighting, 'endpointId' | 'bornAt'>): boolean {
  return a.endpointId === b.endpointId && a.bornAt === b.bornAt
}

/**
 * Returns the hosts that collect crashes, best first, the same at every host with the same candidates.
 *
 * @example
 * crashCollectors(['h1', 'h2', 'h3', 'h4']) // ['h3', 'h1', 'h2']
 */
export function crashCollectors (hostIds: readonly string[]): string[] {
  return rankOwners('crashes', hostIds).slice(0, COLLECTORS)
}

/**
 * Returns the hosts that a host asks which requests are held back; they differ from host to host.
 *
 * @example
 * crashSources('h1', ['h1', 'h2', 'h3', 'h4', 'h5']) // ['h4', 'h2', 'h5']
 */
export function crashSources (hostId: string, hostIds: readonly string[]): string[] {
  return rankOwners(`crashes/${hostId}`, hostIds.filter((id) => id !== hostId)).slice(0, SOURCES)
}
