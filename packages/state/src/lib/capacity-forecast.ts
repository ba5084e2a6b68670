/** Demand for slots at one time. */
interface DemandObservation {
  readonly at: number
  readonly slots: number
}

/** How long a peak of demand is remembered, in milliseconds. */
const PEAK_WINDOW_MS = 60_000

/** Age of the observation from which the trend is drawn, in milliseconds. */
const TREND_WINDOW_MS = 10_000

/**
 * Forecasts the demand for slots by the time an endpoint ordered now can serve:
 * the present demand with its trend, never below a share of the latest peak, as
 * trainers ask in steps.
 */
export class CapacityForecast {
  readonly #leadTimeMs: number
  readonly #peakShare: number
  readonly #observations: DemandObservation[] = []

  /**
   * @param leadMs time an endpoint takes to start, in milliseconds
   * @param peakShare share of the latest peak that is kept ready, from 0 to 1
   */
  constructor (leadMs: number, peakShare: number) {
    this.#leadTimeMs = leadMs
    this.#peakShare = peakShare
  }

  /** Takes note of the demand: busy slots and what waits for one. */
  observe (slots: number, now: number): void {
    this.#observations.push({ at: now, slots })
    while ((this.#observations[0]?.at ?? now) < now - PEAK_WINDOW_MS) this.#observations.shift()
  }

  /** Slots that will be wanted when an endpoint ordered now can serve. */
  forecastSlots (): number {
    const last = this.#observations.at(-1)
    if (last === undefined) return 0
    const base = this.#observations.find((item) => item.at >= last.at - TREND_WINDOW_MS) ?? last
    const slotsPerMs = last.at > base.at ? (last.slots - base.slots) / (last.at - base.at) : 0
    const peak = Math.max(...this.#observations.map((item) => item.slots))
    return Math.max(0, last.slots + Math.max(0, slotsPerMs) * this.#leadTimeMs, peak * this.#peakShare)
  }
}
