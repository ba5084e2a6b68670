import { unreachable } from '../invariant.js'

/** What a service declares about its endpoints while they are cold. */
export interface ColdBounds {
  /** Time for which an endpoint is cold after a start during traffic, in milliseconds. */
  readonly durationMs: number
  /** Requests per second that all hosts together send to a cold endpoint. */
  readonly requestsPerSecond: number
}

/** Until when an endpoint is cold, as its registry entry or an answer of its own states. */
export interface ColdStatement {
  /** Monotonic milliseconds at or after which the endpoint made the statement; -Infinity if that isn't known. */
  readonly asOf: number
  /** Monotonic milliseconds at which it is no longer cold; in the past if it isn't. */
  readonly until: number
}

/** Why an endpoint counts as cold. */
export enum ColdReason {
  /** It says so. */
  Stated = 'stated',
  /** A connection to it broke: it may have restarted. */
  Broken = 'broken',
  /** The evacuation of its failure domain was lifted. */
  Lifted = 'lifted'
}

/** The limit of a cold endpoint. */
export interface ColdLimit {
  readonly requestsPerSecond: number
  readonly reason: ColdReason
  /** Monotonic milliseconds since when it counts as cold, as far as is known. */
  readonly since: number
  /** Monotonic milliseconds at which it is no longer cold, as far as is known now. */
  readonly until: number
}

/** A reason to take an endpoint for cold that it hasn't stated. */
type Presumption =
  | {
    readonly kind: ColdReason.Broken
    readonly at: number
    /** Undefined until it has answered a request that was sent since then. */
    readonly until: number | undefined
  }
  | { readonly kind: ColdReason.Lifted, readonly at: number, readonly until: number }

/**
 * Part of the declared rate at which requests are granted to a cold endpoint. A grant may be used 300 ms
 * after it was given, and a stand-in may grant beside the first keeper: with this part, the requests of any span
 * of a second stay below 1.5 times the declared rate and 5.
 */
const GRANTED_SHARE = 0.85

/**
 * Whether one incarnation of an endpoint is cold. A cold endpoint crashes under the load of a warm one, for
 * example when the evacuation of its failure domain is lifted and all hosts send to it at once.
 *
 * Invariants: what the endpoint states later than the reason of a presumption replaces the presumption; a
 * statement that may be older than another one, or than the reason, never makes it warm.
 *
 * @example
 * const coldness = new EndpointColdness()
 * coldness.setBounds({ durationMs: 10_000, requestsPerSecond: 8 })
 * coldness.recordBreak(0)
 * coldness.recordAnswer(50, 60)
 * coldness.limitAt(1_000)?.until // 10_060
 */
export class EndpointColdness {
  #bounds: ColdBounds | undefined
  #statement: ColdStatement = { asOf: -Infinity, until: -Infinity }
  #presumption: Presumption | undefined

  /** Sets what the endpoint's service declares; undefined if it has no cold endpoints. */
  setBounds (bounds: ColdBounds | undefined): void {
    this.#bounds = bounds
  }

  /** Records what the registry entry or an answer states. */
  recordStatement ({ asOf, until }: ColdStatement): void {
    const known = this.#statement
    this.#statement = asOf >= known.asOf ? { asOf, until } : { asOf: known.asOf, until: Math.max(known.until, until) }
    if (this.#presumption !== undefined && asOf > this.#presumption.at) this.#presumption = undefined
  }

  /** Records that a connection to the endpoint broke. */
  recordBreak (now: number): void {
    if (this.#bounds !== undefined) this.#presumption = { kind: ColdReason.Broken, at: now, until: undefined }
  }

  /** Records that the evacuation of its failure domain was lifted. */
  recordLift (now: number): void {
    if (this.#bounds === undefined || now === -Infinity) return
    const known = this.#presumption
    const isUnanswered = known?.kind === ColdReason.Broken && known.until === undefined
    this.#presumption = isUnanswered ? { ...known, at: now } : { kind: ColdReason.Lifted, at: now, until: now + this.#bounds.durationMs }
  }

  /** Records an answer of the endpoint; both times in monotonic milliseconds. */
  recordAnswer (sentAt: number, receivedAt: number): void {
    const presumption = this.#presumption
    if (presumption?.kind !== ColdReason.Broken || presumption.until !== undefined || sentAt <= presumption.at) return
    this.#presumption = { ...presumption, until: receivedAt + (this.#bounds?.durationMs ?? 0) }
  }

  /** Returns the limit at a monotonic time in milliseconds; undefined if the endpoint isn't cold. */
  limitAt (now: number): ColdLimit | undefined {
    if (this.#bounds === undefined) return undefined
    const { requestsPerSecond, durationMs } = this.#bounds
    const presumedUntil = untilOf(this.#presumption, now + durationMs)
    const until = Math.max(this.#statement.until, presumedUntil)
    if (now >= until) return undefined
    const { kind: reason, at: since } = this.#presumption !== undefined && now < presumedUntil ? this.#presumption : { kind: ColdReason.Stated, at: this.#statement.asOf }
    return { requestsPerSecond: requestsPerSecond * GRANTED_SHARE, reason, since: since === -Infinity ? now : since, until }
  }
}

/** Returns the end of a presumption; `unanswered` if it waits for an answer, -Infinity if there is none. */
function untilOf (presumption: Presumption | undefined, unanswered: number): number {
  if (presumption === undefined) return -Infinity
  switch (presumption.kind) {
    case ColdReason.Broken: return presumption.until ?? unanswered
    case ColdReason.Lifted: return presumption.until
    default: return unreachable(presumption)
  }
}
