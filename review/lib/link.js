import { connect, createServer } from 'node:net'
import { listen } from './network.js'

/** The path from one host to one engine: a proxy that can be cut. */
export class Link {
  #host
  #target
  #port
  #server
  #sockets = new Set()

  /** @param target address and port of the engine */
  constructor (target) {
    this.#target = target
  }

  async open (host) {
    this.#host = host
    const address = await this.#listen(0)
    this.#port = Number(address.slice(address.lastIndexOf(':') + 1))
    return address
  }

  /** Resets the open connections and refuses new ones. */
  cut () {
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  async heal () {
    await this.#listen(this.#port)
  }

  close () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  async #listen (port) {
    this.#server = createServer((client) => this.#accept(client))
    return await listen(this.#server, this.#host, port)
  }

  #accept (client) {
    const colon = this.#target.lastIndexOf(':')
    const server = connect({ host: this.#target.slice(0, colon), port: Number(this.#target.slice(colon + 1)) })
    for (const [socket, other] of [[client, server], [server, client]]) {
      this.#sockets.add(socket)
      socket.on('data', (bytes) => other.write(bytes))
      socket.on('error', () => other.resetAndDestroy())
      socket.on('close', () => {
        this.#sockets.delete(socket)
        other.destroy()
      })
    }
  }
}
