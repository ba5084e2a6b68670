/** Codes of errors that are thrown before a connection is used: it can't be opened, or the request can't be written at all. */
const CODES_BEFORE_SENDING: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ERR_INVALID_URL', 'UND_ERR_INVALID_ARG'])

/**
 * Whether a request failed before any byte was sent, so that it can't have had
 * an effect. All clients share this function: a wrong `true` would report a
 * request as not run, or a write as not written, although it took effect.
 *
 * @internal
 */
export function failedBeforeSending (error: unknown): boolean {
  const code = error instanceof Error && 'code' in error ? String(error.code) : ''
  return CODES_BEFORE_SENDING.has(code)
}
