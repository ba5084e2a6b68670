/** Number of endpoints that have to be out of reach, one after the other, before it is doubtful whether this host reaches any. */
const MIN_UNREACHED = 2

/** Number of endpoints from which a short silence of all is enough. */
const MANY_UNREACHED = 3

/** Time without a sign of any endpoint before this host counts as cut off, in milliseconds: longer than a pause between two answers under load. */
const MIN_SILENCE_MS = { ofMany: 300, ofFew: 1_000 } as const

/**
 * Whether this host reaches endpoints, from what its own requests show.
 *
 * Invariant: one endpoint that is out of reach, or several of which another one answers in
 * between, doesn't make a host count as cut off.
 *
 * @example
 * const reach = new EndpointReach()
 * for (const id of ['a', 'b', 'c']) reach.recordUnreached(id)
 * reach.isCutOff(now) // true
 */
export class EndpointReach {
  readonly #unreached = new Set<string>()
  #reachedAt = -Infinity

  /** Records a sign of any endpoint: an answer, a refusal, an event of a stream or a report. */
  recordReached (now: number): void {
    this.#reachedAt = now
    this.#unreached.clear()
  }

  /** Records that an endpoint gave no sign: no connection, a reset, or silence. */
  recordUnreached (endpointId: string): void {
    this.#unreached.add(endpointId)
  }

  /** Whether several endpoints have given no sign, and none has since. */
  get isDoubtful (): boolean {
    return this.#unreached.size >= MIN_UNREACHED
  }

  /** Whether this host reaches no endpoint. */
  isCutOff (now: number): boolean {
    return this.isDoubtful && now - this.#reachedAt >= (this.#unreached.size >= MANY_UNREACHED ? MIN_SILENCE_MS.ofMany : MIN_SILENCE_MS.ofFew)
  }
}
