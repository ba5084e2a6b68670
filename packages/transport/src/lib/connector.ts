import { buildConnector } from 'undici'

/** Code of the error of a connection that the far end has reset. */
const RESET_CODE = 'ECONNRESET'

/** The code that replaces it. */
const CONNECTION_RESET = 'CONNECTION_RESET'

/**
 * Creates a function that opens the connections of an undici client, which then treats a
 * reset as a failure. By itself, undici takes a connection that is reset for the proper end of a
 * response without a length.
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
      // Must precede undici's own listener, which goes by the code.
      if (error === null) socket.prependListener('error', renameReset)
      callback(...result)
    })
  }
}

function renameReset (error: NodeJS.ErrnoException): void {
  if (error.code === RESET_CODE) error.code = CONNECTION_RESET
}
