/** Settings of a {@link TokenBucket}. */
export interface BucketSettings {
  /** Tokens added per second. */
  readonly ratePerSecond: number
  /** Maximum number of saved tokens. */
  readonly burst: number
}

const SECOND_MS = 1000

/**
 * A token bucket that limits a rate: tokens are added at a constant rate, are saved
 * up to the burst, and may become negative for calls that must not wait.
 *
 * Invariant: the tokens spent in any interval are at most the sum of the burst, the
 * tokens added in the interval and the debt caused by urgent calls.
 */
export class TokenBucket {
  #settings: BucketSettings
  #tokens: number
  #refilledAt: number

  /** @param now monotonic time in milliseconds */
  constructor (settings: BucketSettings, now: number) {
    this.#settings = settings
    this.#tokens = settings.burst
    this.#refilledAt = now
  }

  /** Changes rate and burst; saved tokens are kept, up to the new burst. */
  resize (settings: BucketSettings, now: number): void {
    this.#refill(now)
    this.#settings = settings
    this.#tokens = Math.min(this.#tokens, settings.burst)
  }

  /** Current number of saved tokens; negative if calls have caused a debt. */
  tokens (now: number): number {
    this.#refill(now)
    return this.#tokens
  }

  /**
   * Time until one token can be spent with `floor` tokens remaining.
   *
   * @param now monotonic time in milliseconds
   * @returns milliseconds, 0 if it can be spent now
   * @example
   * bucket.delay(performance.now(), 0)
   */
  delay (now: number, floor = 0): number {
    const missing = floor + 1 - this.tokens(now)
    return missing <= 0 ? 0 : Math.ceil(missing / this.#settings.ratePerSecond * SECOND_MS)
  }

  /** Spends one token, even if none is available. */
  spend (now: number): void {
    this.#refill(now)
    this.#tokens -= 1
  }

  #refill (now: number): void {
    const gained = Math.max(0, now - this.#refilledAt) / SECOND_MS * this.#settings.ratePerSecond
    this.#tokens = Math.min(this.#settings.burst, this.#tokens + gained)
    this.#refilledAt = Math.max(this.#refilledAt, now)
  }
}
