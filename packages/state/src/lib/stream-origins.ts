import { rankOwners } from './rendezvous.js'

/** What began a stream: only an endpoint of this service and software version can continue its text. */
export interface StreamOrigin {
  readonly service: string
  readonly softwareVersion: string
}

/** Number of hosts that may keep the origin of a stream: the host that serves it, if it is one of them, and two others. */
const KEEPERS_PER_STREAM = 3

/** How long an origin is stored after its last use, in milliseconds; longer than any caller keeps trying. */
const RETENTION_MS = 300_000

/** Maximum number of stored origins; the one that would be forgotten first is evicted. */
const MAX_ORIGINS = 50_000

/**
 * Returns the hosts that may keep the origin of a stream, best first, the same at
 * every host with the same candidates.
 *
 * @param attemptId id of the caller's attempt that brought the stream's first event
 * @example
 * keepersOf('9c41d07b', ['h1', 'h2', 'h3']) // ['h3', 'h1', 'h2']
 */
export function keepersOf (attemptId: string, hostIds: readonly string[]): string[] {
  return rankOwners(`streams/${attemptId}`, hostIds).slice(0, KEEPERS_PER_STREAM)
}

/** A stored origin. */
interface OriginRecord {
  readonly origin: StreamOrigin
  /** Monotonic milliseconds. */
  readonly forgetAt: number
}

/**
 * Origins of the streams that callers may take up again, by the id of the attempt
 * that brought the first event.
 *
 * Invariants: an origin is never inferred, only recorded; the first record of an
 * attempt holds; at most `MAX_ORIGINS` are stored.
 *
 * @example
 * origins.record('9c41d07b', { service: 'tutor', softwareVersion: 's1' }, now)
 */
export class StreamOrigins {
  readonly #origins = new Map<string, OriginRecord>()

  /** Records what began a stream. */
  record (attemptId: string, origin: StreamOrigin, now: number): void {
    if (attemptId === '') return
    this.#store(attemptId, this.#current(attemptId, now) ?? origin, now)
  }

  /** Looks up what began a stream; undefined if it isn't known. */
  find (attemptId: string, now: number): StreamOrigin | undefined {
    const origin = this.#current(attemptId, now)
    if (origin !== undefined) this.#store(attemptId, origin, now)
    return origin
  }

  #current (attemptId: string, now: number): StreamOrigin | undefined {
    const known = this.#origins.get(attemptId)
    return known !== undefined && known.forgetAt > now ? known.origin : undefined
  }

  /** Stores an origin as the last one to be forgotten. */
  #store (attemptId: string, origin: StreamOrigin, now: number): void {
    this.#origins.delete(attemptId)
    this.#origins.set(attemptId, { origin, forgetAt: now + RETENTION_MS })
    for (const [id, { forgetAt }] of this.#origins) {
      if (forgetAt > now && this.#origins.size <= MAX_ORIGINS) break
      this.#origins.delete(id)
    }
  }
}
