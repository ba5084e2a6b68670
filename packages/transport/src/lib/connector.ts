import { buildConnector } from 'undici'
import type { Socket } from 'node:net'

/** Thrown when the far end has reset a connection; its code differs from the system's, by which undici would go. */
export class ConnectionResetError extends Error {
  override readonly name = 'ConnectionResetError'
  readonly code = 'CONNECTION_RESET'
}

/**
 * Creates a function that opens the connections of an undici client, which then treats a
 * reset as a failure. By itself, undici takes a reset for the proper end of a response without a
 * length, and Node.js reports a reset that arrives together with the last bytes as such an end.
 *
 * @param timeoutMs timeout for opening a connection, in milliseconds
 * @example
 * const agent = new Agent({ connect: createConnector(400) })
 */
export function createConnector (timeoutMs: number): buildConnector.connector {
  const open = buildConnector({ timeout: timeoutMs })
  return (options, callback) => {
    open(options, (...result) => {
      const [error, socket] = result
      if (error === null) failOnReset(socket)
      callback(...result)
    })
  }
}

function failOnReset (socket: Socket): void {
  const { destroy, push } = socket
  socket.destroy = (error) => destroy.call(socket, isReset(error) ? new ConnectionResetError('the connection was reset', { cause: error }) : error)
  socket.push = (chunk: unknown, encoding) => {
    if (chunk !== null || !hasPendingReset(socket)) return push.call(socket, chunk, encoding)
    socket.destroy(new ConnectionResetError('the connection was reset with its last bytes'))
    return false
  }
}

/** Whether the far end has reset a connection that seems to end: then not even an empty write succeeds. After a proper end, it succeeds or fails otherwise. */
function hasPendingReset (socket: Socket): boolean {
  if (!socket.writable) return false
  socket.write('')
  return isReset(socket.errored)
}

function isReset (error: Error | null | undefined): boolean {
  return error !== null && error !== undefined && 'code' in error && error.code === 'ECONNRESET'
}
