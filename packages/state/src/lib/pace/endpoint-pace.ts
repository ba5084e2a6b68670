/** Shortest time for which a slowdown, or its end, is expected to last from when it was noticed, in milliseconds: the mean rest of a span of 600 ms. */
const MIN_PERSISTENCE_MS = 300

/** Longest time for which a slowdown is expected to last, in milliseconds: a degraded machine recovers within some seconds. */
const MAX_PERSISTENCE_MS = 4_000

/** Ratio between two factors from which they count as different conditions of the machine. */
const CHANGE_RATIO = 1.4

/** Weight of a new factor in the average of the same condition. */
const FACTOR_SMOOTHING = 0.5

/**
 * Half-life of the mean factor, in milliseconds of observed work. Within some seconds, endpoints of a machine that
 * changes each 600 ms differ by a fifth by chance; a difference that is there for good remains.
 */
const MEAN_HALF_LIFE_MS = 30_000

/** Observed work at which the mean of an endpoint counts as much as that of its service, in milliseconds. */
const MEAN_TRUST_MS = 40_000

/** Ratio to the usual time of a unit from which a unit that hasn't ended shows that the machine is slow. */
export const OVERDUE_RATIO = 1.5

/**
 * The pace of one endpoint: how long work takes on its machine, relative to what is usual for its
 * service. Answers the load of machines that are shared with others, whose pace changes within
 * 600 ms, and of degraded ones that are slow for seconds.
 *
 * A condition that has lasted for some time is expected to last as long again; after that, the
 * mean of the endpoint counts. What is old therefore decides nothing.
 *
 * @example
 * const pace = new EndpointPace()
 * pace.observe(2.5, 120, now)
 * pace.expectedMs(4_000, now, 1.2)
 */
export class EndpointPace {
  #factor = 1
  #observedAt = -Infinity
  /** Monotonic milliseconds since when the condition of the machine has been the present one. */
  #heldSince = -Infinity
  #mean = 1
  #observedMs = 0

  /** Monotonic milliseconds of the last observation; -Infinity before the first. */
  get observedAt (): number {
    return this.#observedAt
  }

  /**
   * Records how long work took or takes.
   *
   * @param factor time relative to the usual one
   * @param spanMs time over which it was observed, in milliseconds; 0 for a momentary statement of the endpoint
   * @param now monotonic milliseconds at the end of that time
   */
  observe (factor: number, spanMs: number, now: number): void {
    if (!(factor > 0) || !Number.isFinite(factor) || now < this.#observedAt) return
    const isChange = this.#observedAt === -Infinity || isDifferent(factor, this.#factor)
    if (isChange) this.#heldSince = now - spanMs
    this.#factor = isChange ? factor : this.#factor + (factor - this.#factor) * FACTOR_SMOOTHING
    this.#observedAt = now
    // Until a half-life has been observed, it is the plain average.
    const weight = Math.max(1 - 0.5 ** (spanMs / MEAN_HALF_LIFE_MS), spanMs / (this.#observedMs + spanMs || 1))
    this.#mean += (factor - this.#mean) * weight
    this.#observedMs += spanMs
  }

  /**
   * Expected time until work that begins or goes on now has ended, in milliseconds.
   *
   * @param usualMs time that the work takes at the usual pace, in milliseconds
   * @param serviceMean mean factor of the service's endpoints, which stands in for one that was hardly observed
   * @param overdue the unit that has run longest without an end here; undefined if none is running
   */
  expectedMs (usualMs: number, now: number, serviceMean: number, overdue?: OverdueUnit): number {
    const mean = this.#meanFactor(serviceMean)
    const { factor, leftMs } = this.#condition(now, mean, overdue)
    const doneMeanwhile = leftMs / factor
    return doneMeanwhile >= usualMs ? usualMs * factor : leftMs + (usualMs - doneMeanwhile) * mean
  }

  /** Mean factor of the endpoint, which is that of the service as long as little was observed. */
  #meanFactor (serviceMean: number): number {
    const confidence = this.#observedMs / (this.#observedMs + MEAN_TRUST_MS)
    return serviceMean + (this.#mean - serviceMean) * confidence
  }

  /** The present factor, and how long it is expected to last from now, in milliseconds. */
  #condition (now: number, mean: number, overdue: OverdueUnit | undefined): { readonly factor: number, readonly leftMs: number } {
    if (overdue !== undefined && overdue.elapsedMs > overdue.usualMs * OVERDUE_RATIO) {
      const factor = Math.max(overdue.elapsedMs / overdue.usualMs, overdue.slowFactor)
      const heldMs = isDifferent(factor, this.#factor) ? overdue.elapsedMs : now - this.#heldSince
      return { factor: Math.max(factor, this.#factor), leftMs: persistence(heldMs) }
    }
    const isSlow = this.#factor > mean
    const lastingMs = isSlow ? persistence(this.#observedAt - this.#heldSince) : MIN_PERSISTENCE_MS
    return { factor: this.#factor, leftMs: Math.max(0, lastingMs - (now - this.#observedAt)) }
  }
}

/** A unit of work, such as the next event of a stream, that hasn't ended yet. */
export interface OverdueUnit {
  readonly usualMs: number
  /** Mean factor of the service's units on slow machines, which an overdue unit is expected to reach. */
  readonly slowFactor: number
  /** Time since it began, in milliseconds. */
  readonly elapsedMs: number
}

function isDifferent (a: number, b: number): boolean {
  return Math.max(a, b) > Math.min(a, b) * CHANGE_RATIO
}

function persistence (heldMs: number): number {
  return Math.min(MAX_PERSISTENCE_MS, Math.max(MIN_PERSISTENCE_MS, heldMs))
}
