/** What became of a call under a lease; for the log. */
export interface LeasedCallCourse {
  /** Time that was left of the lease when the call began to be written, in milliseconds; undefined if it hasn't begun. */
  readonly leftMs: number | undefined
  /** Time that was left of the lease when the call ended, in milliseconds, negative after its end; undefined if the call hasn't begun or ended. */
  readonly endLeftMs: number | undefined
  /** Whether the call ended without a whole answer although it had begun. */
  readonly givenUp: boolean
}

/** The right to make one call as the leader. It is used once: another call asks for its own, with a course of its own. */
export interface LeaderLease {
  readonly holder: string
  /** Fencing token. */
  readonly fence: number
  /** Monotonic time at which the lease expires, in milliseconds; no byte is sent after it. */
  readonly deadline: number
  /** Aborts when the lease ends while the call is under way; its connection is to be reset then. */
  readonly signal: AbortSignal
  readonly course: LeasedCallCourse
  /**
   * Returns whether the lease is held, so that the call may begin to be written; it is under way from then on. To be
   * asked in the turn of the event loop in which the first byte is written.
   */
  begin (): boolean
  /**
   * Ends the call, whether it has begun or not.
   *
   * @param isAnswered whether a whole answer has arrived
   */
  end (isAnswered: boolean): void
}
