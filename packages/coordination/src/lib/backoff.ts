/** Shortest pause, in milliseconds. */
const FIRST_MS = 100

/** Longest pause, in milliseconds. */
const LAST_MS = 2_000

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
  #pauseMs = FIRST_MS

  constructor (random: () => number) {
    this.#random = random
  }

  /** The next pause in milliseconds. */
  next (): number {
    const pauseMs = this.#pauseMs * (1 + this.#random()) / 2
    this.#pauseMs = Math.min(LAST_MS, this.#pauseMs * 2)
    return pauseMs
  }

  /** Starts with the shortest pause again, after a success. */
  reset (): void {
    this.#pauseMs = FIRST_MS
  }
}
