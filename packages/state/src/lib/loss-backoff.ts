import { Suspicion } from './quarantine.js'

/** Number of losses from which a sample has to wait before it runs again. */
const MIN_DEFERRED_LOSSES = 2

/** Wait after that many losses, in milliseconds; doubles with each further loss. */
const INITIAL_DELAY_MS = 1_000

/** Maximum wait, in milliseconds. */
const MAX_DELAY_MS = 30_000

/** Time within which further reports of an endpoint are about the same loss, in milliseconds: less than any wait. */
const SAME_LOSS_MS = 900

/** How long a digest is stored after its last loss, in milliseconds; longer than any wait. */
const RETENTION_MS = 600_000

/** Maximum number of stored digests; the oldest is evicted. */
const MAX_DIGESTS = 10_000

/** How a request may run, as far as the endpoints that were lost under it decide. */
export type Assessment =
  | { readonly suspicion: Suspicion.None | Suspicion.Suspect | Suspicion.Quarantined }
  | {
    readonly suspicion: Suspicion.Deferred
    /** Monotonic milliseconds. */
    readonly retryAt: number
  }

/** State of one digest. */
interface LossRecord {
  /** Monotonic milliseconds of the last loss of each endpoint. */
  readonly lostAt: Map<string, number>
  losses: number
  retryAt: number
  forgetAt: number
}

/**
 * Tracks samples of batches that were running on endpoints when these were lost. In
 * a burst of crashes this happens to sound samples too, so a sample is never refused
 * for good: it runs alone, and less often with each loss.
 *
 * Invariants: a digest never waits for longer than `MAX_DELAY_MS`; from the second
 * loss on it runs no sooner than its stored deadline; a completion clears it.
 *
 * @example
 * const backoff = new LossBackoff()
 * backoff.recordLoss('d', 'a', now)
 * backoff.assess('d', now).suspicion // Suspicion.Suspect
 */
export class LossBackoff {
  readonly #digests = new Map<string, LossRecord>()

  /** Returns whether a sample may run now, and how. */
  assess (digest: string, now: number): Assessment {
    const known = this.#digests.get(digest)
    if (known === undefined) return { suspicion: Suspicion.None }
    if (known.forgetAt <= now) {
      this.#digests.delete(digest)
      return { suspicion: Suspicion.None }
    }
    return known.retryAt <= now ? { suspicion: Suspicion.Suspect } : { suspicion: Suspicion.Deferred, retryAt: known.retryAt }
  }

  /**
   * Records that an endpoint was lost while it ran a sample.
   *
   * @returns whether this loss was not known before
   */
  recordLoss (digest: string, endpointId: string, now: number): boolean {
    const known = this.#digests.get(digest) ?? { lostAt: new Map<string, number>(), losses: 0, retryAt: -Infinity, forgetAt: 0 }
    const isNew = now - (known.lostAt.get(endpointId) ?? -Infinity) >= SAME_LOSS_MS
    if (!isNew) return false
    known.lostAt.set(endpointId, now)
    known.losses += 1
    if (known.losses >= MIN_DEFERRED_LOSSES) known.retryAt = now + Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** (known.losses - MIN_DEFERRED_LOSSES))
    known.forgetAt = now + RETENTION_MS
    this.#digests.delete(digest)
    this.#digests.set(digest, known)
    const [oldest] = this.#digests.keys()
    if (this.#digests.size > MAX_DIGESTS && oldest !== undefined) this.#digests.delete(oldest)
    return true
  }

  /**
   * Records that a sample ran to its end.
   *
   * @returns whether losses were known
   */
  recordCompletion (digest: string): boolean {
    return this.#digests.delete(digest)
  }
}
