/** Kinds of events that an engine publishes about its prefix cache. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted'
}

/** An event of a prefix cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: CacheEventKind
  readonly prefix: string
  /** Monotonic time of the event, in milliseconds. */
  readonly at: number
}

/** Characters per cache block; prompts share the whole blocks of their common prefix. */
const BLOCK_CHARACTERS = 64

/** Maximum number of events kept for publication. */
const MAX_EVENTS = 1_024

/**
 * Prefix cache of limited size with LRU eviction of prompt blocks.
 *
 * Invariant: after each operation it holds at most as many blocks as its capacity.
 */
export class EnginePrefixCache {
  readonly #capacity: number
  /** Blocks by the complete prefix that they end, least recently used first. */
  readonly #blocks = new Map<string, true>()
  readonly #events: CacheEvent[] = []
  #sequence = 0

  /** @param capacity maximum number of blocks */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /**
   * Adds the blocks of a prompt.
   *
   * @returns number of leading characters that were already cached
   */
  admitPrompt (prompt: string, now: number): number {
    let cached = 0
    let contiguous = true
    for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
      const prefix = prompt.slice(0, end)
      const hit = this.#blocks.delete(prefix)
      contiguous &&= hit
      if (contiguous) cached = end
      this.#blocks.set(prefix, true)
      if (!hit) this.#publish(CacheEventKind.Stored, prefix, now)
    }
    this.#evict(now)
    return cached
  }

  /** Removes all blocks without publishing events, as after a restart or a weight swap. */
  clear (): void {
    this.#blocks.clear()
  }

  /** Number of blocks in the cache. */
  get size (): number {
    return this.#blocks.size
  }

  /** Events after a sequence number, up to a point in time. */
  eventsBetween (after: number, until: number): CacheEvent[] {
    return this.#events.filter((event) => event.sequence > after && event.at <= until)
  }

  #evict (now: number): void {
    for (const prefix of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#capacity) return
      this.#blocks.delete(prefix)
      this.#publish(CacheEventKind.Evicted, prefix, now)
    }
  }

  #publish (kind: CacheEventKind, prefix: string, at: number): void {
    this.#sequence += 1
    this.#events.push({ sequence: this.#sequence, kind, prefix, at })
    if (this.#events.length > MAX_EVENTS) this.#events.shift()
  }
}
