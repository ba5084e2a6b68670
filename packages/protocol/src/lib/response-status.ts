import { errors } from 'undici'
import type { Dispatcher } from 'undici'

/** Range of the final statuses that HTTP defines; those from 100 on and below it belong to interim responses. */
const FINAL_STATUS = { first: 200, last: 599 } as const

/** Lowest status of an interim response. */
const FIRST_INTERIM_STATUS = 100

/** Status that accepts an upgrade. No client here asks for one. */
const SWITCHING_PROTOCOLS = 101

/** Message of the error of undici's parser for a status that doesn't consist of three digits. The error has no code in undici 7.30. */
const PARSER_MESSAGE = /\(Invalid (status code|response status)\)/

/** Messages of the error with which undici ends a request for 100, and for an upgrade that it didn't ask for, before any handler sees the status. */
const SOCKET_MESSAGES: ReadonlySet<string> = new Set(['bad response', 'bad upgrade'])

/** Thrown when a response has a status that HTTP doesn't define, so that it states nothing about its request. */
export class InvalidStatusError extends Error {
  override readonly name = 'InvalidStatusError'
  readonly status: number

  constructor (status: number) {
    super(`invalid status ${status}`)
    this.status = status
  }
}

/**
 * Whether a status is one of a final response: 200 to 599.
 *
 * @example
 * isFinalStatus(600) // false
 */
export function isFinalStatus (status: number): boolean {
  return Number.isInteger(status) && status >= FINAL_STATUS.first && status <= FINAL_STATUS.last
}

/**
 * Whether a request failed because the status of its response is invalid. The request
 * was sent then, and may have run.
 *
 * @example
 * isInvalidStatus(new InvalidStatusError(600)) // true
 */
export function isInvalidStatus (error: unknown): boolean {
  if (error instanceof InvalidStatusError) return true
  if (error instanceof errors.HTTPParserError) return PARSER_MESSAGE.test(error.message)
  return error instanceof errors.SocketError && SOCKET_MESSAGES.has(error.message)
}

/**
 * Describes an error for which {@link isInvalidStatus} holds.
 *
 * @example
 * describeInvalidStatus(new InvalidStatusError(600)) // 'invalid status 600'
 */
export function describeInvalidStatus (error: unknown): string {
  // undici's own errors don't name the status.
  return error instanceof InvalidStatusError ? error.message : `invalid status (${error instanceof Error ? error.message : String(error)})`
}

/**
 * Interceptor of a client that fails a request whose response has an invalid status
 * with an {@link InvalidStatusError}, and closes its connection. Without it, undici
 * passes on statuses above 599, and ends those below 100 by an assertion of its own.
 *
 * Statuses that undici rejects before any handler sees them fail the request with an
 * error of undici instead; {@link isInvalidStatus} covers them.
 *
 * @example
 * const client = new PoolAgent({ connect: createConnector(400) }).compose(rejectInvalidStatuses)
 */
export function rejectInvalidStatuses (dispatch: Dispatcher['dispatch']): Dispatcher['dispatch'] {
  return (options, handler) => dispatch(options, {
    onRequestStart: (...given) => handler.onRequestStart?.(...given),
    onRequestUpgrade: (...given) => handler.onRequestUpgrade?.(...given),
    onResponseStart: (controller, status, headers, statusMessage) => {
      const isInterim = status >= FIRST_INTERIM_STATUS && status < FINAL_STATUS.first && status !== SWITCHING_PROTOCOLS
      if (!isInterim && !isFinalStatus(status)) throw new InvalidStatusError(status)
      handler.onResponseStart?.(controller, status, headers, statusMessage)
    },
    onResponseData: (...given) => handler.onResponseData?.(...given),
    onResponseEnd: (...given) => handler.onResponseEnd?.(...given),
    onResponseError: (...given) => handler.onResponseError?.(...given)
  })
}
