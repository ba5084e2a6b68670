import { RouteKind } from './declaration.js'

/** Multiple of the usual duration of a call within which it is expected to end. */
const EXPECTED_FACTOR = 10

/** A call that reaches a host which will stop. */
export interface LateCall {
  readonly kind: RouteKind
  /** Monotonic deadline of the call, in milliseconds. */
  readonly deadline: number
  /** Usual duration of a call of its service, in milliseconds. */
  readonly typicalMs: number
}

/**
 * Whether a host may still take a call: one that may be repeated if it is expected to end before
 * the host does, any other only if its deadline comes first.
 *
 * @param endsAt monotonic milliseconds at which the host stops; infinite if it doesn't
 * @example
 * endsInTime({ kind: RouteKind.Idempotent, deadline: 9_000, typicalMs: 40 }, 8_000, 7_000) // true
 */
export function endsInTime ({ kind, deadline, typicalMs }: LateCall, endsAt: number, now: number): boolean {
  if (deadline <= endsAt) return true
  return kind === RouteKind.Idempotent && now + typicalMs * EXPECTED_FACTOR <= endsAt
}
