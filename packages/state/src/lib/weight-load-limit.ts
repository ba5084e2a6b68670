/** Loads that may run at once before anything is known; the least that any deployment's sheet gives. */
const INITIAL_LIMIT = 2

/** How much longer than the shortest load one may take before the allowance is too high: the reports that show its end are this coarse. */
const SLOWDOWN_THRESHOLD = 1.45

/** Part of the allowance that is kept after loads have slowed each other. */
const DECREASE_FACTOR = 0.75

/**
 * How many changes of weights may run at once. A weight store gives some at
 * full speed and slows all when there are more; nobody tells how many, so the
 * allowance doubles with each round of loads that were as fast as the fastest,
 * until they slow each other for the first time; then it grows slowly, and
 * shrinks whenever they do.
 *
 * @example
 * allowance.finished(920, 2) // a load took 920 ms while two were running
 */
export class WeightLoadLimit {
  #limit = INITIAL_LIMIT
  #shortestMs = Infinity
  #hasSlowed = false
  /** Loads that ran beside one that was slow, and will be slow too. */
  #expectedSlowLoads = 0

  /** Loads that may run at once now. */
  get limit (): number {
    return Math.floor(this.#limit)
  }

  /**
   * Takes note of a load that ended.
   *
   * @param tookMs milliseconds from its order until it was seen
   * @param running loads that ran at the same time, itself included
   */
  recordLoad (tookMs: number, running: number): void {
    this.#shortestMs = Math.min(this.#shortestMs, tookMs)
    if (tookMs > this.#shortestMs * SLOWDOWN_THRESHOLD) {
      if (this.#expectedSlowLoads > 0) {
        this.#expectedSlowLoads -= 1
        return
      }
      this.#hasSlowed = true
      this.#expectedSlowLoads = running - 1
      this.#limit = Math.max(INITIAL_LIMIT, this.#limit * DECREASE_FACTOR)
      return
    }
    this.#expectedSlowLoads = 0
    // Only loads that used the allowance say that there may be more; while it doubles, it runs ahead of them.
    if (!this.#hasSlowed && running * 2 > this.limit) this.#limit += 1
    else if (running >= this.limit) this.#limit += 1 / this.#limit
  }
}
