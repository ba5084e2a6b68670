import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'

/** Number of connections recorded so far, which numbers the next one. */
let recordedConnections = 0

/** The use of a connection by one request. */
export interface ConnectionUse {
  /** Number of the connection among those that this process has recorded. */
  readonly connection: number
  /** Number of requests that the connection carried before. */
  readonly earlierRequests: number
}

/** What the connection of a client has carried; it begins anew with each connection that the client opens. */
export class ConnectionRecord {
  #connection = 0
  #requests = 0
  #ids = new Set<string>()

  /**
   * Wraps the function that opens the connections of the client.
   *
   * @example
   * new Client(origin, { connect: record.observe(resettingConnect(400)) })
   */
  observe (connect: buildConnector.connector): buildConnector.connector {
    return (options, callback) => {
      connect(options, (...result) => {
        const [error, socket] = result
        if (error === null) this.#begin(socket)
        callback(...result)
      })
    }
  }

  /** Whether the connection is open and has carried a request with this id. */
  hasCarried (id: string): boolean {
    return this.#ids.has(id)
  }

  /** The use of the connection by a request that is about to be written. */
  get nextUse (): ConnectionUse {
    return { connection: this.#connection, earlierRequests: this.#requests }
  }

  /**
   * Records a request that is written to the connection.
   *
   * @param id id of the request; undefined if it has none
   */
  add (id: string | undefined): void {
    this.#requests += 1
    if (id !== undefined) this.#ids.add(id)
  }

  #begin (socket: Socket): void {
    recordedConnections += 1
    this.#connection = recordedConnections
    this.#requests = 0
    const ids = new Set<string>()
    this.#ids = ids
    socket.once('close', () => ids.clear())
  }
}
