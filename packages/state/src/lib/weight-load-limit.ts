/** Initial limit on concurrent loads: the lowest capacity that the specification of any deployment states. */
const INITIAL_LIMIT = 2

/** Duration relative to the shortest load from which a load counts as slow. The margin covers the coarse timing of the reports that show its end. */
const SLOWDOWN_THRESHOLD = 1.45

/** Factor by which the limit is reduced after loads have slowed each other. */
const DECREASE_FACTOR = 0.75

/**
 * Adaptive limit on concurrent weight loads. A weight store serves a number of
 * loads at full speed and slows all of them beyond that; since the number is
 * unknown, the limit doubles with each round of loads without slowdown (slow
 * start). After the first slowdown it increases additively and decreases
 * multiplicatively (AIMD).
 *
 * @example
 * limit.recordLoad(920, 2) // a load took 920 ms while two were running
 */
export class WeightLoadLimit {
  #limit = INITIAL_LIMIT
  #shortestMs = Infinity
  #hasSlowed = false
  /** Number of loads that ran concurrently with a slow one and are therefore expected to be slow, too. */
  #expectedSlowLoads = 0

  /** Number of loads that may run concurrently now. */
  get limit (): number {
    return Math.floor(this.#limit)
  }

  /**
   * Records a finished load.
   *
   * @param tookMs milliseconds from the order of the load until its end was observed
   * @param running number of loads that ran at the same time, including this one
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
    // Only loads that use the limit show that it may be raised; during slow start half of it is enough, as the limit grows ahead of the loads.
    if (!this.#hasSlowed && running * 2 > this.limit) this.#limit += 1
    else if (running >= this.limit) this.#limit += 1 / this.#limit
  }
}
