import { rankOwners } from './rendezvous.js'

/** Number of endpoints that a request has crashed, one after the other, from which it is held back. */
export const MAX_CRASHES = 3

/** Time until a request that is held back may run once more, in milliseconds: soon, since it may be sound. */
const INITIAL_HOLD_MS = 30_000

/** Factor by which that time grows with each further crash. */
const HOLD_GROWTH = 4

/** Maximum time for which a request is held back, in milliseconds. */
const MAX_HOLD_MS = 3_600_000

/** Time after a crash within which further ones belong to the same incident, in milliseconds. */
const INCIDENT_MS = 1_000

/** Time after which a crash no longer counts, in milliseconds, while a request isn't held back. */
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

/** A connection that was lost while an endpoint ran a request. */
export interface CrashSighting {
  /** Identifies one run of an endpoint, between a start and the next. */
  readonly incarnation: string
  /** Monotonic milliseconds at which the request was sent. */
  readonly sentAt: number
  /** Monotonic milliseconds. */
  readonly lostAt: number
}

/** Whether a lost connection counts against a request. */
export enum CrashCount {
  Counted = 'counted',
  /** The incarnation of the endpoint has been counted before. */
  Known = 'known',
  /** The request was sent before, or just after, the crash before. */
  SameIncident = 'same-incident'
}

/** The crashes that count against a request. */
export interface CrashRecord extends RequestIdentity {
  readonly crashes: readonly CrashSighting[]
}

/**
 * Tracks requests of callers under which endpoints crashed. A request that has
 * crashed `MAX_CRASHES` of them is held back, and runs once more only after a long time.
 *
 * Endpoints that crash together also take sound requests down. So a crash counts only
 * if the request was sent a while after the one before it, and a completion clears the
 * record.
 *
 * @example
 * records.record(identity, { incarnation: 'i-1@99', sentAt, lostAt })
 * records.heldUntil(identity.digest, now)
 */
export class CrashRecords {
  readonly #records = new Map<string, CrashRecord>()
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
   * Records a lost connection.
   *
   * @returns whether it counts
   */
  record ({ target, digest }: RequestIdentity, crash: CrashSighting): CrashCount {
    this.#forgetOld(crash.lostAt)
    const crashes = this.#records.get(digest)?.crashes ?? []
    const last = crashes.at(-1)
    if (crashes.some(({ incarnation }) => incarnation === crash.incarnation)) return CrashCount.Known
    if (last !== undefined && crash.sentAt < last.lostAt + INCIDENT_MS) return CrashCount.SameIncident
    this.#store({ target, digest, crashes: [...crashes, crash] })
    return CrashCount.Counted
  }

  /** Adopts the record of another host if it has more crashes. */
  adopt (record: CrashRecord, now: number): boolean {
    this.#forgetOld(now)
    if ((this.#records.get(record.digest)?.crashes.length ?? 0) >= record.crashes.length) return false
    this.#store(record)
    return true
  }

  /**
   * Records that a request ran to its end.
   *
   * @param sentAt monotonic milliseconds; a request that was sent before the last crash clears nothing
   * @returns whether crashes were known
   */
  recordCompletion (digest: string, sentAt: number): boolean {
    const record = this.#records.get(digest)
    if (record === undefined || sentAt < (record.crashes.at(-1)?.lostAt ?? -Infinity)) return false
    this.#delete(digest)
    return true
  }

  /** Drops the record of a request that has completed at another host. */
  clear (digest: string): boolean {
    return this.#delete(digest)
  }

  /** Looks up a record. */
  find (digest: string): CrashRecord | undefined {
    return this.#records.get(digest)
  }

  /** Records of the requests that are held back. */
  held (now: number): CrashRecord[] {
    return [...this.#records.values()].filter(({ digest }) => this.heldUntil(digest, now) !== undefined)
  }

  #store (record: CrashRecord): void {
    this.#records.delete(record.digest)
    this.#records.set(record.digest, record)
    this.#targets.add(record.target)
    const [oldest] = this.#records.keys()
    if (this.#records.size > MAX_RECORDS && oldest !== undefined) this.#delete(oldest)
  }

  #delete (digest: string): boolean {
    const isKnown = this.#records.delete(digest)
    if (isKnown) this.#targets = new Set([...this.#records.values()].map(({ target }) => target))
    return isKnown
  }

  #forgetOld (now: number): void {
    for (const record of this.#records.values()) {
      const last = record.crashes.at(-1)?.lostAt ?? -Infinity
      if (now >= Math.max(last, holdEnd(record) ?? -Infinity) + RETENTION_MS) this.#delete(record.digest)
    }
  }
}

/** Monotonic milliseconds until which a record holds its request back; undefined if it doesn't. */
function holdEnd ({ crashes }: CrashRecord): number | undefined {
  const last = crashes.at(-1)
  if (last === undefined || crashes.length < MAX_CRASHES) return undefined
  return last.lostAt + Math.min(INITIAL_HOLD_MS * HOLD_GROWTH ** (crashes.length - MAX_CRASHES), MAX_HOLD_MS)
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
