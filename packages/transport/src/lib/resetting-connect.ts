import { createConnector } from './connector.js'
import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'

/** Message of the error with which undici closes the connection of a request that was aborted. */
const ABORTED_MESSAGE = 'aborted'

/** Code of the error with which undici closes the connections of a client that is destroyed. */
const DESTROYED_CODE = 'UND_ERR_DESTROYED'

/** Code of an error that ends the running request of a connection. */
const SOCKET_ERROR_CODE = 'UND_ERR_SOCKET'

/** The error with which a connection closes after its request was aborted. With the one that undici gives, it would connect anew at once for the aborted request. */
class AbortedConnectionError extends Error {
  override readonly name = 'AbortedConnectionError'
  readonly code = SOCKET_ERROR_CODE
}

/**
 * Creates a function that opens the connections of a client and resets a connection
 * whose request is aborted, or whose client is destroyed. After a plain close, bytes that the far end hasn't read
 * yet would still be delivered to it.
 *
 * @param timeoutMs timeout for opening a connection, in milliseconds
 * @example
 * const agent = new PoolAgent({ connect: resettingConnect(400) })
 */
export function resettingConnect (timeoutMs: number): buildConnector.connector {
  const open = createConnector(timeoutMs)
  return (options, callback) => {
    open(options, (...result) => {
      const [error, socket] = result
      if (error === null) resetOnAbort(socket)
      callback(...result)
    })
  }
}

function resetOnAbort (socket: Socket): void {
  const close = socket.destroy.bind(socket)
  let abortError: Error | undefined
  socket.destroy = (error) => {
    // A reset destroys the socket without an error, but undici tells by it why the connection closes.
    if (abortError !== undefined) return close(abortError)
    abortError = socket.destroyed ? undefined : resetErrorOf(error)
    return abortError === undefined ? close(error) : socket.resetAndDestroy()
  }
}

/** Returns the error with which a connection closes that undici closes because of one that asks for a reset; undefined if it doesn't. */
function resetErrorOf (error: Error | undefined): Error | undefined {
  if (error?.message === ABORTED_MESSAGE) return new AbortedConnectionError('the request was aborted', { cause: error })
  return error !== undefined && 'code' in error && error.code === DESTROYED_CODE ? error : undefined
}
