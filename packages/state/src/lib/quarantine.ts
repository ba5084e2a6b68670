/** Number of lost endpoints from which a request is quarantined. */
export const MAX_LOST_ENDPOINTS = 2

/** Maximum number of stored digests; the oldest is evicted. */
const MAX_DIGESTS = 10_000

/** How long a digest is stored after its last loss or refusal, in milliseconds. */
const RETENTION_MS = 3_600_000

/** Classification of a request. */
export enum Suspicion {
  None = 'none',
  /** An endpoint was lost while it ran; the request runs alone on its endpoint. */
  Suspect = 'suspect',
  /** The request waits until a stored deadline before it runs again. */
  Deferred = 'deferred',
  /** The request is refused. */
  Quarantined = 'quarantined'
}

/** State of one digest. */
interface DigestRecord {
  readonly endpoints: Set<string>
  forgetAt: number
}

/**
 * Tracks which requests of callers were running on endpoints when these were lost. All
 * requests that ran on a lost endpoint are suspects until they have completed.
 *
 * Invariant: a digest with `MAX_LOST_ENDPOINTS` distinct endpoints stays
 * quarantined until it has not been seen for `RETENTION_MS`; nothing clears it
 * earlier.
 */
export class Quarantine {
  readonly #digests = new Map<string, DigestRecord>()

  /** Classifies a request. */
  classify (digest: string, now: number): Exclude<Suspicion, Suspicion.Deferred> {
    const known = this.#digests.get(digest)
    if (known === undefined) return Suspicion.None
    if (known.forgetAt <= now) {
      this.#digests.delete(digest)
      return Suspicion.None
    }
    if (known.endpoints.size < MAX_LOST_ENDPOINTS) return Suspicion.Suspect
    known.forgetAt = now + RETENTION_MS
    return Suspicion.Quarantined
  }

  /**
   * Records that an endpoint was lost while it ran the request.
   *
   * @returns whether this was not known before
   */
  recordLoss (digest: string, endpointId: string, now: number): boolean {
    const known = this.#digests.get(digest) ?? { endpoints: new Set<string>(), forgetAt: 0 }
    const isNew = !known.endpoints.has(endpointId)
    known.endpoints.add(endpointId)
    known.forgetAt = now + RETENTION_MS
    this.#digests.delete(digest)
    this.#digests.set(digest, known)
    const [oldest] = this.#digests.keys()
    if (this.#digests.size > MAX_DIGESTS && oldest !== undefined) this.#digests.delete(oldest)
    return isNew
  }

  /**
   * Records that the request completed.
   *
   * @returns whether it was a suspect
   */
  recordCompletion (digest: string): boolean {
    const known = this.#digests.get(digest)
    if (known === undefined || known.endpoints.size >= MAX_LOST_ENDPOINTS) return false
    return this.#digests.delete(digest)
  }
}
