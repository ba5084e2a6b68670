/**
 * The result of an operation that can fail in expected ways. Expected failures are
 * values so that callers have to handle them; only violated invariants throw.
 */
export type Outcome<Value, Failure> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly failure: Failure }

/**
 * Wraps a value as a successful outcome.
 *
 * @example
 * success(3) // { ok: true, value: 3 }
 */
export function success<Value> (value: Value): { readonly ok: true, readonly value: Value } {
  return { ok: true, value }
}

/**
 * Wraps a failure as a failed outcome.
 *
 * @example
 * failure('timeout') // { ok: false, failure: 'timeout' }
 */
export function failure<Failure> (reason: Failure): { readonly ok: false, readonly failure: Failure } {
  return { ok: false, failure: reason }
}
