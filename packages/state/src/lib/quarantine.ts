/** Endpoints that a request may take down before it is refused. */
export const MAX_LOST_ENDPOINTS = 2

/** Digests that are kept; the oldest goes first. */
const MAX_DIGESTS = 10_000

/** How long a digest is remembered after its last loss or refusal, in milliseconds. */
const RETENTION_MS = 3_600_000

/** How a request is to be treated. */
export enum Suspicion {
  None = 'none',
  /** An endpoint was lost with it: it runs alone on its endpoint. */
  Suspect = 'suspect',
  /** It is refused. */
  Quarantined = 'quarantined'
}

/** What is known of one digest. */
interface DigestRecord {
  readonly endpoints: Set<string>
  forgetAt: number
}

/**
 * Remembers which requests ran on endpoints when they were lost. Bystanders of a
 * loss are suspects too, until they have run to their end.
 *
 * Invariant: a digest with `MAX_LOSSES` distinct endpoints stays quarantined
 * until it has not been seen for `REMEMBERED_MS`; nothing clears it earlier.
 */
export class Quarantine {
  readonly #digests = new Map<string, DigestRecord>()

  /** How a request is to be treated now. */
  classify (digest: string, now: number): Suspicion {
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
   * Notes that an endpoint was lost while it ran the request.
   *
   * @returns whether that was not known before
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
   * Notes that the request ran to its end.
   *
   * @returns whether it was a suspect
   */
  recordCompletion (digest: string): boolean {
    const known = this.#digests.get(digest)
    if (known === undefined || known.endpoints.size >= MAX_LOST_ENDPOINTS) return false
    return this.#digests.delete(digest)
  }
}
