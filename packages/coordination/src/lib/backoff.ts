/** Upper bound of the first delay, in milliseconds. */
const MIN_DELAY_MS = 100

/** Upper bound of every delay, in milliseconds. */
const MAX_DELAY_MS = 2_000

/**
 * Exponential backoff with jitter: the bound doubles with each failure, and a
 * delay is drawn from the upper half of the bound, so that processes that failed
 * at the same time don't retry at the same time.
 *
 * @example
 * const backoff = new Backoff(Math.random)
 * await sleep(backoff.nextDelayMs())
 */
export class Backoff {
  readonly #random: () => number
  #delayMs = MIN_DELAY_MS

  constructor (random: () => number) {
    this.#random = random
  }

  /** Returns the next delay in milliseconds and doubles the bound. */
  nextDelayMs (): number {
    const delayMs = this.#delayMs * (1 + this.#random()) / 2
    this.#delayMs = Math.min(MAX_DELAY_MS, this.#delayMs * 2)
    return delayMs
  }

  /** Returns to the shortest delay, after a success. */
  reset (): void {
    this.#delayMs = MIN_DELAY_MS
  }
}
