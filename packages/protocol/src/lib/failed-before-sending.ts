/** Codes of errors that are thrown before a connection is used: it can't be opened in its time, or the request can't be written at all. */
const CODES_BEFORE_SENDING: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ERR_INVALID_URL', 'UND_ERR_INVALID_ARG'])

/** System call by which a connection is opened. An error of it names the state of the connection, which may be over by then: refused, reset, or closed. */
const OPENING_CALL = 'connect'

/**
 * Whether a request failed before any byte was sent, so that it can't have had
 * an effect. All clients share this function: a wrong `true` would report a
 * request as not run, or a write as not written, although it took effect.
 *
 * @internal
 */
export function failedBeforeSending (error: unknown): boolean {
  if (!(error instanceof Error)) return false
  const code = 'code' in error ? String(error.code) : ''
  return CODES_BEFORE_SENDING.has(code) || ('syscall' in error && error.syscall === OPENING_CALL)
}
