import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** One request as a stand-in sees it. */
export interface StandinRequest {
  readonly method: string
  readonly url: URL
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
  readonly response: ServerResponse
}

/** Answers one request, by writing to its response. */
export type StandinHandler = (request: StandinRequest) => Promise<void>

/** A loopback HTTP server for a stand-in. */
export class HttpStandin {
  readonly #server: Server
  #port = 0

  constructor (handler: StandinHandler) {
    this.#server = createServer((request, response) => {
      void this.#serve(handler, request, response)
    })
    this.#server.keepAliveTimeout = 60_000
  }

  /** Base URL, once it listens. */
  get url (): string {
    return `http://127.0.0.1:${this.#port}`
  }

  /** Opens a port of the system's choice, or the given one. */
  async listen (port = 0): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(port, '127.0.0.1', () => resolve()))
    this.#port = (this.#server.address() as AddressInfo).port
    return this.url
  }

  /** Closes the port and cuts every connection. */
  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()))
    this.#server.closeAllConnections()
    await closed
  }

  async #serve (handler: StandinHandler, request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const chunks: Buffer[] = []
      for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
      const url = new URL(request.url ?? '/', 'http://standin')
      await handler({ method: request.method ?? 'GET', url, headers: request.headers, body: Buffer.concat(chunks), response })
    } catch {
      response.destroy()
    }
  }
}

/** Answers with JSON. */
export function sendJson (response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(body))
}
