/** Settings of a {@link TokenBucket}. */
export interface BucketSettings {
  /** Tokens gained a second. */
  readonly ratePerSecond: number
  /** Most tokens that are saved up. */
  readonly burst: number
}

/** Milliseconds in a second. */
const SECOND_MS = 1000

/**
 * Bounds a rate over time: tokens come in steadily, are saved up to the burst,
 * and may go below zero for calls that must not wait.
 *
 * Invariant: tokens spent in any interval are at most the burst, the interval's
 * gain and the debt that urgent calls ran up.
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

  /** Changes rate and burst; what was saved stays, up to the new burst. */
  resize (settings: BucketSettings, now: number): void {
    this.#refill(now)
    this.#settings = settings
    this.#tokens = Math.min(this.#tokens, settings.burst)
  }

  /** Tokens saved up now; below zero when calls have run up a debt. */
  tokens (now: number): number {
    this.#refill(now)
    return this.#tokens
  }

  /**
   * How long until one token can be spent and `floor` still remain.
   *
   * @param now monotonic time in milliseconds
   * @returns milliseconds, 0 when it can be spent at once
   * @example
   * bucket.delay(performance.now(), 0)
   */
  delay (now: number, floor = 0): number {
    const missing = floor + 1 - this.tokens(now)
    return missing <= 0 ? 0 : Math.ceil(missing / this.#settings.ratePerSecond * SECOND_MS)
  }

  /** Spends one token, whether or not it is there. */
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
