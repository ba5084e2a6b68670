/** Time without any call after which a silence is no longer known to go on, in milliseconds: several pauses between two attempts. */
const MAX_GAP_MS = 1_000

/**
 * Time to its deadline that a call must have when it is sent to show that the store
 * doesn't answer, in milliseconds: several response times of a store in another region.
 */
const MIN_ANSWER_TIME_MS = 500

/** A call that was sent to the store and failed without an answer. All times are by the clock that counts suspends of the machine. */
export interface UnansweredCall {
  /** Monotonic milliseconds at which the call was sent. */
  readonly sentAt: number
  /** Monotonic milliseconds until which its answer was awaited. */
  readonly deadline: number
  /** Monotonic milliseconds. */
  readonly failedAt: number
}

/** A time during which all calls that were sent to the store stayed unanswered. */
export interface SilentSpan {
  /** Monotonic milliseconds at which the first of these calls was sent. */
  readonly since: number
  /** Monotonic milliseconds at which the last of these calls had failed. */
  readonly until: number
}

/**
 * For how long the store has left this process's calls unanswered. Time in which
 * no call was sent shows nothing about the store and doesn't count; neither does a
 * call that had hardly any time left for an answer when it was sent.
 *
 * @example
 * const silence = new StoreSilence()
 * silence.recordUnanswered({ sentAt: 1_000, deadline: 2_200, failedAt: 2_200 })
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

  /** Records a call that failed without an answer. */
  recordUnanswered ({ sentAt, deadline, failedAt }: UnansweredCall): void {
    if (deadline - sentAt < MIN_ANSWER_TIME_MS) return
    const since = Math.max(sentAt, this.#answeredAt)
    const goesOn = this.#span !== undefined && since - this.#span.until <= MAX_GAP_MS
    this.#span = this.#span !== undefined && goesOn
      ? { since: Math.min(this.#span.since, since), until: Math.max(this.#span.until, failedAt) }
      : { since, until: failedAt }
  }
}
