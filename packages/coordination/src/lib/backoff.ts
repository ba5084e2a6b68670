/** Shortest pause, in milliseconds. */
const MIN_DELAY_MS = 100

/** Longest pause, in milliseconds. */
const MAX_DELAY_MS = 2_000

/**
 * Pauses that double with each failure, drawn from the upper half of their
 * range, so that many processes that failed together don't try again together.
 *
 * @example
 * const backoff = new Backoff(Math.random)
 * await sleep(backoff.next())
 */
export class Backoff {
  readonly #random: () => number
  #delayMs = MIN_DELAY_MS

  constructor (random: () => number) {
    this.#random = random
  }

  /** The next pause in milliseconds. */
  nextDelayMs (): number {
    const delayMs = this.#delayMs * (1 + this.#random()) / 2
    this.#delayMs = Math.min(MAX_DELAY_MS, this.#delayMs * 2)
    return delayMs
  }

  /** Starts with the shortest pause again, after a success. */
  reset (): void {
    this.#delayMs = MIN_DELAY_MS
  }
}
