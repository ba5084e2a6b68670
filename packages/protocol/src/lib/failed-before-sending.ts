/**
 * Whether a request failed before any byte was sent, so that it can't have had
 * an effect. All clients share this function: a wrong `true` would report a
 * request as not run, or a write as not written, although it took effect.
 *
 * @internal
 */
export function failedBeforeSending (error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT'
}
