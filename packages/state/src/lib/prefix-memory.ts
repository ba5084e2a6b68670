/** Maximum number of prefixes stored for an endpoint; the least recently used is evicted. */
export const MAX_PREFIXES = 512

/** How long a prefix is assumed to stay cached after its last use, in milliseconds. */
const PREFIX_TTL_MS = 300_000

/**
 * Prefixes that were recently sent to an endpoint. Cache events arrive late and
 * incompletely, so the dispatcher infers the cache contents from its own placements
 * and drops them by age, by number, and when the endpoint is lost.
 *
 * Invariant: stores at most `MAX_PREFIXES` prefixes, in order of last use.
 */
export class PrefixMemory {
  readonly #usedAt = new Map<string, number>()

  get size (): number {
    return this.#usedAt.size
  }

  /** Whether the endpoint probably has a prefix cached. */
  has (prefix: string, now: number): boolean {
    const usedAt = this.#usedAt.get(prefix)
    return usedAt !== undefined && now - usedAt <= PREFIX_TTL_MS
  }

  /** Records that a prefix was sent to the endpoint. */
  remember (prefix: string, now: number): void {
    if (prefix === '') return
    this.#usedAt.delete(prefix)
    this.#usedAt.set(prefix, now)
    if (this.#usedAt.size <= MAX_PREFIXES) return
    const [oldest] = this.#usedAt.keys()
    if (oldest !== undefined) this.#usedAt.delete(oldest)
  }

  /** Drops all prefixes, because the endpoint restarted or changed its weights. */
  clear (): void {
    this.#usedAt.clear()
  }
}
