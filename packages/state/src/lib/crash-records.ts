import { rankOwners } from './rendezvous.js'

/** Number of endpoints that a request has to crash to be held back. */
export const MAX_CRASHES = 3

/** Number of sightings from which all hosts know a record, so that a completion at any of them clears it. */
export const MIN_SHARED_SIGHTINGS = MAX_CRASHES - 1

/** Time until a request that is held back may run once more, in milliseconds: soon, since it may be sound. */
const INITIAL_HOLD_MS = 30_000

/** Factor by which that time grows with each further crash. */
const HOLD_GROWTH = 4

/** Maximum time for which a request is held back, in milliseconds. */
const MAX_HOLD_MS = 3_600_000

/** Time after the last crash for which a request that isn't held back is remembered, in milliseconds. */
const RETENTION_MS = 120_000

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

/** What speaks against a request. */
export interface CrashRecord extends RequestIdentity {
  readonly sightings: readonly CrashSighting[]
}

interface KnownRecord extends CrashRecord {
  /** Monotonic milliseconds at which the latest request that completed was sent; earlier sightings don't count. */
  readonly soundAt: number
}

/**
 * Tracks under which requests endpoints crashed. A request that has crashed
 * `MAX_CRASHES` of them is held back, and runs once more only after a long time.
 *
 * Invariants: each incarnation of an endpoint counts once, and only when it is known to
 * have ended; records of several hosts are joined, never replaced; a completion clears
 * what was sighted before it.
 *
 * @example
 * records.record(identity, { endpointId: 'i-1', bornAt: 99, lostAt, isConfirmed: true })
 * records.heldUntil(identity.digest, now)
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

  /** Monotonic milliseconds until which a request is held back; undefined if it may run. */
  heldUntil (digest: string, now: number): number | undefined {
    const record = this.#records.get(digest)
    const until = record === undefined ? undefined : holdEnd(record)
    return until !== undefined && now < until ? until : undefined
  }

  /**
   * Records a sighting, or that an earlier one is confirmed.
   *
   * @returns whether that is news
   */
  record (identity: RequestIdentity, sighting: CrashSighting): boolean {
    return this.merge({ ...identity, sightings: [sighting] }, sighting.lostAt)
  }

  /**
   * Joins the record of another host with the own one.
   *
   * @returns whether that added anything
   */
  merge (other: CrashRecord, now: number): boolean {
    this.#forgetOld(now)
    const known = this.#records.get(other.digest) ?? { target: other.target, digest: other.digest, sightings: [], soundAt: -Infinity }
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
    if (isChanged) this.#store({ ...known, sightings })
    return isChanged
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
    this.#store({ ...record, sightings, soundAt: Math.max(record.soundAt, sentAt) })
    return true
  }

  /** Looks up a record. */
  find (digest: string): CrashRecord | undefined {
    return this.#records.get(digest)
  }

  /** Records of the requests that are held back. */
  held (now: number): CrashRecord[] {
    return [...this.#records.values()].filter(({ digest }) => this.heldUntil(digest, now) !== undefined)
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

  #forgetOld (now: number): void {
    for (const record of this.#records.values()) {
      const last = Math.max(record.soundAt, holdEnd(record) ?? -Infinity, ...record.sightings.map(({ lostAt }) => lostAt))
      if (now >= last + RETENTION_MS) this.#delete(record.digest)
    }
  }
}

/** Monotonic milliseconds until which a record holds its request back; undefined if it doesn't. */
function holdEnd ({ sightings }: CrashRecord): number | undefined {
  const crashes = sightings.filter(({ isConfirmed }) => isConfirmed)
  if (crashes.length < MAX_CRASHES) return undefined
  return Math.max(...crashes.map(({ lostAt }) => lostAt)) + Math.min(INITIAL_HOLD_MS * HOLD_GROWTH ** (crashes.length - MAX_CRASHES), MAX_HOLD_MS)
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
