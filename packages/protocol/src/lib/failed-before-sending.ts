/**
 * Whether a request failed before any byte of it left, so that it can't have
 * had an effect. One place decides this for all clients: a wrong yes would let
 * "not run" or "not written" be said of something that happened.
 *
 * @internal
 */
export function failedBeforeSending (error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT'
}
