/** Demand for slots at one point in time. */
interface DemandObservation {
  readonly at: number
  readonly slots: number
}

/** Window over which the peak demand is taken, in milliseconds. */
const PEAK_WINDOW_MS = 60_000

/** Window over which the trend of the demand is computed, in milliseconds. */
const TREND_WINDOW_MS = 10_000

/**
 * Forecasts the demand for slots at the time at which an endpoint ordered now can
 * serve: the current demand extrapolated by its trend, but at least a share of
 * the recent peak, because the demand of trainers comes in steps.
 */
export class CapacityForecast {
  readonly #leadTimeMs: number
  readonly #peakShare: number
  readonly #observations: DemandObservation[] = []

  /**
   * @param leadMs time an endpoint takes to start, in milliseconds
   * @param peakShare share of the recent peak that is kept available, from 0 to 1
   */
  constructor (leadMs: number, peakShare: number) {
    this.#leadTimeMs = leadMs
    this.#peakShare = peakShare
  }

  /** Records the demand: busy slots plus requests waiting for one. */
  observe (slots: number, now: number): void {
    this.#observations.push({ at: now, slots })
    while ((this.#observations[0]?.at ?? now) < now - PEAK_WINDOW_MS) this.#observations.shift()
  }

  /** Returns the slots that will be needed when an endpoint ordered now can serve. */
  forecastSlots (): number {
    const last = this.#observations.at(-1)
    if (last === undefined) return 0
    const base = this.#observations.find((item) => item.at >= last.at - TREND_WINDOW_MS) ?? last
    const slotsPerMs = last.at > base.at ? (last.slots - base.slots) / (last.at - base.at) : 0
    const peak = Math.max(...this.#observations.map((item) => item.slots))
    return Math.max(0, last.slots + Math.max(0, slotsPerMs) * this.#leadTimeMs, peak * this.#peakShare)
  }
}
