/** Kinds of events that an engine publishes of its prefix cache. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted'
}

/** One event of a prefix cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: CacheEventKind
  readonly prefix: string
  /** Monotonic milliseconds at which it happened. */
  readonly at: number
}

/** Characters of a block; prompts share what whole blocks they have in common. */
const BLOCK_CHARACTERS = 64

/** Most events that are kept to be published. */
const MAX_EVENTS = 1_024

/**
 * Prefix cache in limited memory: blocks of prompts, the longest unused thrown
 * out first.
 *
 * Invariant: never holds more blocks than it has room for.
 */
export class EnginePrefixCache {
  readonly #capacity: number
  /** Blocks by the whole prefix they end, the longest unused first. */
  readonly #blocks = new Map<string, true>()
  readonly #events: CacheEvent[] = []
  #sequence = 0

  /** @param capacity blocks that fit */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /**
   * Takes a prompt in.
   *
   * @returns characters that were cached before
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

  /** Forgets everything, as a restart or a change of weights does. */
  clear (): void {
    this.#blocks.clear()
  }

  /** Blocks that are held. */
  get size (): number {
    return this.#blocks.size
  }

  /** Events after a sequence number that happened up to a time. */
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
