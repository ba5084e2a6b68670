/** Smoothing factor: minimum weight of the newest observation. */
const SMOOTHING = 0.05

/** Number of observations from which an estimate is used. */
const MIN_OBSERVATIONS = 20

/** Maximum number of entries with estimates. */
const MAX_ENTRIES = 512

/** A smoothed mean and its number of observations. */
interface Estimate {
  readonly mean: number
  readonly count: number
}

/**
 * Estimates the time per expected token of each entry: the time for which a slot
 * was held, divided by the expected cost of its request. The estimate therefore
 * compensates for a systematic error of the expected cost.
 */
export class ServiceRate {
  readonly #entries = new Map<string, Estimate>()
  #all: Estimate = { mean: 0, count: 0 }

  /** Records a completed request. */
  observe (entry: string, expectedTokens: number, heldMs: number): void {
    const observed = heldMs / Math.max(expectedTokens, 1)
    this.#all = updateEstimate(this.#all, observed)
    if (this.#entries.size >= MAX_ENTRIES && !this.#entries.has(entry)) this.#entries.clear()
    this.#entries.set(entry, updateEstimate(this.#entries.get(entry) ?? { mean: 0, count: 0 }, observed))
  }

  /** Milliseconds per expected token of an entry, or of all entries if it has too few observations; undefined if those are too few as well. */
  msPerToken (entry: string): number | undefined {
    return reliableMean(this.#entries.get(entry)) ?? this.overallMsPerToken()
  }

  /** Milliseconds per expected token over all entries; undefined without enough observations. */
  overallMsPerToken (): number | undefined {
    return reliableMean(this.#all)
  }
}

function updateEstimate (estimate: Estimate, observed: number): Estimate {
  const weight = Math.max(SMOOTHING, 1 / (estimate.count + 1))
  return { mean: estimate.mean + weight * (observed - estimate.mean), count: estimate.count + 1 }
}

function reliableMean (estimate: Estimate | undefined): number | undefined {
  return estimate !== undefined && estimate.count >= MIN_OBSERVATIONS ? estimate.mean : undefined
}
