/** Time without any call after which a silence is no longer known to go on, in milliseconds: several pauses between two attempts. */
const MAX_GAP_MS = 1_000

/** A time during which all calls that were sent to the store stayed unanswered. */
export interface SilentSpan {
  /** Monotonic milliseconds at which the first of these calls was sent. */
  readonly since: number
  /** Monotonic milliseconds at which the last of these calls had failed. */
  readonly until: number
}

/**
 * For how long the store has left this process's calls unanswered. Time in which
 * no call was sent shows nothing about the store and doesn't count.
 *
 * @example
 * const silence = new StoreSilence()
 * silence.recordUnanswered(1_000, 2_200)
 * silence.span // { since: 1_000, until: 2_200 }
 */
export class StoreSilence {
  #answeredAt = -Infinity
  #span: SilentSpan | undefined

  /** The silence since the last answer; undefined if no call was unanswered since. */
  get span (): SilentSpan | undefined {
    return this.#span
  }

  /**
   * Records that the store served a call.
   *
   * @param at monotonic milliseconds
   */
  recordAnswer (at: number): void {
    this.#answeredAt = Math.max(this.#answeredAt, at)
    this.#span = undefined
  }

  /**
   * Records a call that was sent and failed without an answer.
   *
   * @param sentAt monotonic milliseconds at which the call was sent
   * @param failedAt monotonic milliseconds
   */
  recordUnanswered (sentAt: number, failedAt: number): void {
    const since = Math.max(sentAt, this.#answeredAt)
    const goesOn = this.#span !== undefined && since - this.#span.until <= MAX_GAP_MS
    this.#span = this.#span !== undefined && goesOn
      ? { since: Math.min(this.#span.since, since), until: Math.max(this.#span.until, failedAt) }
      : { since, until: failedAt }
  }
}
