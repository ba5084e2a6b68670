/**
 * Limits the bytes that one host sends over the link between regions: a token
 * bucket with a capacity of one second's worth.
 *
 * Invariant: within any time t, at most (t + 1 s) times the rate is spent.
 */
export class LinkBudget {
  readonly #bytesPerSecond: number
  #bytes: number
  #refilledAt = 0

  constructor (bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond
    this.#bytes = bytesPerSecond
  }

  /** Whether a number of bytes may be sent now; `now` is in monotonic milliseconds. */
  canSpend (bytes: number, now: number): boolean {
    this.#refill(now)
    return this.#bytes >= bytes
  }

  spend (bytes: number, now: number): void {
    this.#refill(now)
    this.#bytes -= bytes
  }

  #refill (now: number): void {
    const earned = Math.max(0, now - this.#refilledAt) / 1000 * this.#bytesPerSecond
    this.#bytes = Math.min(this.#bytesPerSecond, this.#bytes + earned)
    this.#refilledAt = now
  }
}
