import { writeSync } from 'node:fs'
import { buildConnector } from 'undici'
import type { Socket } from 'node:net'

/** The bytes of a write that only asks for the state of a connection. */
const NO_BYTES = new Uint8Array(0)

/** A socket with the descriptor that Node.js doesn't publish. */
type DescribedSocket = Socket & { readonly _handle?: { readonly fd?: number } | null }

/** Called with the outcome of a write. */
type WriteCallback = (error?: Error | null) => void

/** Thrown when the far end has reset a connection; its code differs from the system's, by which undici would go. */
export class ConnectionResetError extends Error {
  override readonly name = 'ConnectionResetError'
  readonly code = 'CONNECTION_RESET'
}

/**
 * Creates a function that opens the connections of an undici client, which then treats a
 * reset as a failure, and a close in order as the end of what was sent, also while a request
 * is being written. By itself, undici takes a reset for the proper end of a response without a
 * length, and Node.js reports a reset that arrives together with the last bytes as such an end.
 *
 * @param timeoutMs timeout for opening a connection, in milliseconds
 * @example
 * const agent = new PoolAgent({ connect: createConnector(400) })
 */
export function createConnector (timeoutMs: number): buildConnector.connector {
  const open = buildConnector({ timeout: timeoutMs })
  return (options, callback) => {
    open(options, (...result) => {
      const [error, socket] = result
      if (error === null) {
        failOnReset(socket)
        readOnAfterClose(socket)
      }
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

/**
 * Keeps a socket open for reading when it can't be written any more because the far end
 * has closed it in order. Node.js would discard what the far end sent before; its end
 * is read right after that.
 */
function readOnAfterClose (socket: Socket): void {
  const { _write, _writev } = socket
  socket._write = (chunk, encoding, callback) => _write.call(socket, chunk, encoding, withoutBrokenPipe(callback))
  if (_writev !== undefined) socket._writev = (chunks, callback) => _writev.call(socket, chunks, withoutBrokenPipe(callback))
}

function withoutBrokenPipe (callback: WriteCallback): WriteCallback {
  return (error) => callback(hasCode(error, 'EPIPE') ? null : error)
}

/**
 * Whether the far end has reset a connection that seems to end: then an empty write
 * fails with ECONNRESET. After a close in order it succeeds, or fails with EPIPE if a
 * reset has followed. It bypasses the stream, in which it would wait for the rest of a
 * request, and an error would discard what was received.
 */
function hasPendingReset (socket: DescribedSocket): boolean {
  const descriptor = socket._handle?.fd ?? -1
  if (descriptor < 0) return false
  try {
    writeSync(descriptor, NO_BYTES)
    return false
  } catch (error) {
    return isReset(error)
  }
}

function isReset (error: unknown): boolean {
  return hasCode(error, 'ECONNRESET')
}

function hasCode (error: unknown, code: string): boolean {
  return error instanceof Error && 'code' in error && error.code === code
}
