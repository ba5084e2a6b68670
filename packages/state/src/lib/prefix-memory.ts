/** Prefixes remembered for one endpoint; the oldest goes first. */
export const MAX_PREFIXES = 512

/** How long a placement is believed to be cached, in milliseconds. */
const PREFIX_TTL_MS = 300_000

/**
 * Prefixes that were sent to one endpoint. Cache events come late and with
 * gaps, so the dispatcher goes by its own placements and forgets them with time,
 * with room, and when the endpoint was lost.
 *
 * Invariant: never holds more than `MAX_PREFIXES`, in order of last use.
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

  /** Remembers that a prefix was sent to the endpoint. */
  remember (prefix: string, now: number): void {
    if (prefix === '') return
    this.#usedAt.delete(prefix)
    this.#usedAt.set(prefix, now)
    if (this.#usedAt.size <= MAX_PREFIXES) return
    const [oldest] = this.#usedAt.keys()
    if (oldest !== undefined) this.#usedAt.delete(oldest)
  }

  /** Forgets everything: the endpoint restarted or changed its weights. */
  clear (): void {
    this.#usedAt.clear()
  }
}
