import { STALLED_BODY_MS } from './client-limits.js'

/** Bytes that a body may cost beyond its size: the unused part of its last buffer, and its head. */
const SINGLE_REQUEST_MARGIN_BYTES = 2 * 1024 * 1024

/** A request that is read, as its budget sees it. */
export interface BudgetReading {
  /** Monotonic milliseconds at which its last byte came. */
  readonly lastByteAt: number
  /** Ends the reading and releases its share. */
  readonly yieldMemory: () => void
}

/** The bytes that one request holds of a budget. */
export class BudgetShare {
  readonly #budget: RequestBudget
  #bytes = 0
  #isReleased = false

  constructor (budget: RequestBudget) {
    this.#budget = budget
  }

  /** Reserves further bytes; returns whether they fit. */
  reserve (bytes: number): boolean {
    if (this.#isReleased || !this.#budget.take(bytes)) return false
    this.#bytes += bytes
    return true
  }

  /** Gives all bytes back; later reservations fail. */
  release (): void {
    this.#isReleased = true
    this.#budget.giveBack(this.#bytes)
    this.#bytes = 0
  }
}

/**
 * Bounds the memory that requests of all connections occupy together, from their heads
 * until their responses are sent. Handles the load condition that many clients send
 * bodies at once, each within the limit of a single one: when bytes don't fit, bodies
 * whose clients have stopped sending yield first, so that such clients can't keep others out.
 *
 * @example
 * const share = budget.openShare()
 * if (!share.reserve(65_536)) refuse()
 * share.release()
 */
export class RequestBudget {
  readonly #limit: number
  readonly #readings = new Set<BudgetReading>()
  #singleRequest = 0
  #used = 0

  /** @param limit bytes that all requests may hold together */
  constructor (limit: number) {
    this.#limit = limit
  }

  /** Bytes that requests hold now. */
  get used (): number {
    return this.#used
  }

  /** Sets the size of the largest body, for one of which there is always room, whatever the limit is. */
  setMaxBodyBytes (maxBytes: number): void {
    this.#singleRequest = maxBytes + SINGLE_REQUEST_MARGIN_BYTES
  }

  openShare (): BudgetShare {
    return new BudgetShare(this)
  }

  addReading (reading: BudgetReading): void {
    this.#readings.add(reading)
  }

  deleteReading (reading: BudgetReading): void {
    this.#readings.delete(reading)
  }

  /** Takes bytes if they fit, after stalled bodies have yielded. Called by shares. */
  take (bytes: number): boolean {
    const limit = Math.max(this.#limit, this.#singleRequest)
    while (this.#used + bytes > limit) {
      if (!this.#endStalledReading()) return false
    }
    this.#used += bytes
    return true
  }

  /** Called by shares. */
  giveBack (bytes: number): void {
    this.#used -= bytes
  }

  /** Ends the reading that has waited longest for its next byte, if that is long; returns whether there was one. */
  #endStalledReading (): boolean {
    let oldest: BudgetReading | undefined
    for (const reading of this.#readings) {
      if (oldest === undefined || reading.lastByteAt < oldest.lastByteAt) oldest = reading
    }
    if (oldest === undefined || performance.now() - oldest.lastByteAt < STALLED_BODY_MS) return false
    this.#readings.delete(oldest)
    oldest.yieldMemory()
    return true
  }
}
