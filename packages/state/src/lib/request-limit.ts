/** What an endpoint says of itself with an answer. */
export interface EndpointNotice {
  /** Requests per second that the endpoint accepts from all hosts together; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined
  /** Whether the endpoint says that it is leaving; absent if it doesn't. */
  readonly leaving?: boolean
  /** Remaining time for which it is cold, in milliseconds, 0 if it isn't; absent if it doesn't say. */
  readonly coldMs?: number
}

/** A notice and the times of the exchange that carried it, in monotonic milliseconds. */
export interface NoticeEvidence extends EndpointNotice {
  readonly sentAt: number
  readonly receivedAt: number
}

/** The limit that an endpoint names at present. */
export interface RequestLimit {
  readonly requestsPerSecond: number
  /** Monotonic milliseconds since when it names a limit. */
  readonly since: number
  /** Monotonic milliseconds at which it was last heard to name this limit. */
  readonly namedAt: number
}

/**
 * The request limit of one incarnation of an endpoint, as its answers state it.
 *
 * Invariants: an answer that was received late neither lifts nor raises a limit, since it
 * counts for that only if its request was sent after the limit was last named; nor
 * does it restore one that the answer to a later request lifted.
 *
 * @example
 * const limit = new RequestLimitRecord()
 * limit.apply({ requestsPerSecond: 1.5, sentAt: 0, receivedAt: 20 })
 * limit.current?.requestsPerSecond // 1.5
 */
export class RequestLimitRecord {
  #current: RequestLimit | undefined
  /** When the request was sent whose answer lifted the last limit, in monotonic milliseconds. */
  #liftedSentAt = -Infinity

  /** The limit in force; undefined if there is none. */
  get current (): RequestLimit | undefined {
    return this.#current
  }

  /**
   * Applies what an answer of the endpoint states.
   *
   * @returns whether the limit was set, changed or lifted
   */
  apply ({ requestsPerSecond, sentAt, receivedAt }: NoticeEvidence): boolean {
    const known = this.#current
    const isLater = sentAt > (known?.namedAt ?? -Infinity)
    if (requestsPerSecond === undefined) {
      if (!isLater) return false
      this.#liftedSentAt = Math.max(this.#liftedSentAt, sentAt)
      this.#current = undefined
      return known !== undefined
    }
    const isOutdated = sentAt < this.#liftedSentAt || (known !== undefined && requestsPerSecond > known.requestsPerSecond && !isLater)
    if (isOutdated) return false
    this.#current = { requestsPerSecond, since: known?.since ?? receivedAt, namedAt: receivedAt }
    return known?.requestsPerSecond !== requestsPerSecond
  }
}
