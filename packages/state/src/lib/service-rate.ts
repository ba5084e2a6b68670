/** Weight of the newest observation. */
const SMOOTHING = 0.05

/** Observations before an estimate counts. */
const MIN_OBSERVATIONS = 20

/** Entries whose estimates are kept. */
const MAX_ENTRIES = 512

/** A smoothed mean and the number of observations behind it. */
interface Estimate {
  readonly mean: number
  readonly count: number
}

/**
 * How long an expected token takes, by entry: the time a slot was held over the
 * tokens its request was expected to cost. A systematic error of the expected
 * length is in the estimate, so it need not be known apart.
 */
export class ServiceRate {
  readonly #entries = new Map<string, Estimate>()
  #all: Estimate = { mean: 0, count: 0 }

  /** Takes in a request that ran to its end. */
  observe (entry: string, expectedTokens: number, heldMs: number): void {
    const observed = heldMs / Math.max(expectedTokens, 1)
    this.#all = updateEstimate(this.#all, observed)
    if (this.#entries.size >= MAX_ENTRIES && !this.#entries.has(entry)) this.#entries.clear()
    this.#entries.set(entry, updateEstimate(this.#entries.get(entry) ?? { mean: 0, count: 0 }, observed))
  }

  /** Milliseconds per expected token of an entry; undefined while too little is known. */
  msPerToken (entry: string): number | undefined {
    return reliableMean(this.#entries.get(entry)) ?? this.overallMsPerToken()
  }

  /** Milliseconds per expected token over all entries; undefined while too little is known. */
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
