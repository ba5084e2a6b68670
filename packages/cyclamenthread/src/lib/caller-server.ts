import { createServer } from 'node:http'
import { LoopDelay, monotonicNow } from '@cyclamenthread/transport'
import { readBody } from './request-body.js'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { CallerLimits } from '@cyclamenthread/state'
import type { HeaderPair } from '@cyclamenthread/protocol'

/** Interval at which a drain checks for open requests, in milliseconds. */
const DRAIN_POLL_MS = 20

/** Time that handlers get to answer once a drain is over, in milliseconds. */
const LAST_ANSWER_MS = 60

/** Maximum number of connections waiting to be accepted. */
const BACKLOG = 1_024

/** A caller's request with its complete body. */
export interface CallerRequest {
  readonly method: string
  /** Path and query, exactly as received. */
  readonly target: string
  /** Host name without port. */
  readonly host: string
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string | undefined>>
  /** Headers in their original order and case. */
  readonly rawHeaders: readonly HeaderPair[]
  readonly body: Uint8Array
  /** Monotonic milliseconds at which its head came, as far as this process can tell. */
  readonly receivedAt: number
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal
}

/** The response to a caller. */
export interface CallerResponse {
  readonly status: number
  readonly headers: readonly HeaderPair[]
  readonly body: Uint8Array
}

/** A request that was read and has no answer yet. */
interface OpenRequest {
  readonly abort: AbortController
  /** Answers it in place of its handler. */
  readonly answer: (response: CallerResponse) => void
}

/** Handles a caller's request; must not throw. */
export type CallerHandler = (request: CallerRequest) => Promise<CallerResponse>

/** Settings of a caller server. */
export interface CallerServerSettings {
  readonly host: string
  readonly port: number
  readonly handler: CallerHandler
  /** Returns the current limits; undefined before the first declaration is known. */
  readonly limits: () => CallerLimits | undefined
}

const PAYLOAD_TOO_LARGE: CallerResponse = { status: 413, headers: [], body: new Uint8Array() }
const GATEWAY_TIMEOUT: CallerResponse = { status: 504, headers: [], body: new Uint8Array() }
const BAD_GATEWAY: CallerResponse = { status: 502, headers: [], body: new Uint8Array() }

/** Maximum size of a body while no declaration is known, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024

/**
 * HTTP/1.1 server for callers, with buffered requests and responses. Uses Node's
 * own server rather than a web framework, because paths, headers and bodies are
 * forwarded exactly as received.
 *
 * Invariants: every request that was read completely gets exactly one response, also when a
 * drain is over; until then, a drain closes no connection that has an open request.
 */
export class CallerServer {
  readonly #settings: CallerServerSettings
  readonly #server: Server
  readonly #loopDelay = new LoopDelay()
  #openRequests = 0
  readonly #unanswered = new Set<OpenRequest>()
  #keepAliveDisabled = false

  constructor (settings: CallerServerSettings) {
    this.#settings = settings
    this.#server = createServer({ keepAlive: true, noDelay: true }, (request, response) => {
      void this.#handleRequest(request, response)
    })
    this.#server.on('connection', () => this.#loopDelay.recordConnection())
    this.#server.requestTimeout = 0
  }

  /** Number of requests being read or handled. */
  get openRequests (): number {
    return this.#openRequests
  }

  /** Starts listening. */
  async listen (): Promise<void> {
    const { host, port } = this.#settings
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host, port, backlog: BACKLOG }, resolve)
    })
    this.#loopDelay.start()
  }

  /** Asks callers to close their connections after the next response. The server keeps accepting connections. */
  disableKeepAlive (): void {
    this.#keepAliveDisabled = true
  }

  /** Stops listening and waits until no request is open or the signal aborts. */
  async close (signal: AbortSignal): Promise<void> {
    this.#keepAliveDisabled = true
    this.#server.close()
    while (this.#openRequests > 0 && !signal.aborted) await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS))
    await this.#answerOpenRequests()
    this.#server.closeAllConnections()
    this.#loopDelay.stop()
  }

  /** Makes the handlers of open requests end, and answers in place of those that don't. */
  async #answerOpenRequests (): Promise<void> {
    const waitForAnswers = async (until: number): Promise<void> => {
      while (this.#openRequests > 0 && performance.now() < until) await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS))
    }
    for (const { abort } of this.#unanswered) abort.abort()
    await waitForAnswers(performance.now() + LAST_ANSWER_MS)
    for (const { answer } of this.#unanswered) answer(GATEWAY_TIMEOUT)
    await waitForAnswers(performance.now() + LAST_ANSWER_MS)
  }

  async #handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#openRequests += 1
    const receivedAt = monotonicNow() - this.#loopDelay.current()
    const abort = new AbortController()
    response.on('close', () => {
      if (!response.writableFinished) abort.abort()
    })
    this.#applyLimits()
    try {
      const body = await readBody(request, this.#settings.limits()?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES)
      const answer = body.ok ? await this.#awaitAnswer(request, body.value, receivedAt, abort) : PAYLOAD_TOO_LARGE
      if (!response.destroyed) await this.#sendResponse(response, answer, !body.ok)
    } finally {
      this.#openRequests -= 1
    }
  }

  async #awaitAnswer (request: IncomingMessage, body: Uint8Array, receivedAt: number, abort: AbortController): Promise<CallerResponse> {
    return await new Promise((resolve) => {
      const open: OpenRequest = { abort, answer: resolve }
      this.#unanswered.add(open)
      void this.#callHandler(request, body, receivedAt, abort.signal).then((answer) => {
        this.#unanswered.delete(open)
        resolve(answer)
      })
    })
  }

  async #callHandler (request: IncomingMessage, body: Uint8Array, receivedAt: number, signal: AbortSignal): Promise<CallerResponse> {
    const rawHeaders: HeaderPair[] = []
    for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
      rawHeaders.push([request.rawHeaders[index] ?? '', request.rawHeaders[index + 1] ?? ''])
    }
    const headers = Object.fromEntries(Object.entries(request.headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]))
    try {
      return await this.#settings.handler({
        method: request.method ?? 'GET',
        target: request.url ?? '/',
        host: (request.headers.host ?? '').replace(/:\d+$/, ''),
        headers,
        rawHeaders,
        body,
        receivedAt,
        signal
      })
    } catch (error) {
      process.emitWarning(error instanceof Error ? error : String(error))
      return BAD_GATEWAY
    }
  }

  async #sendResponse (response: ServerResponse, answer: CallerResponse, close: boolean): Promise<void> {
    const headers = answer.headers.flatMap(([name, value]) => [name, value])
    headers.push('Content-Length', String(answer.body.length))
    if (close || this.#keepAliveDisabled) headers.push('Connection', 'close')
    response.writeHead(answer.status, headers)
    await new Promise<void>((resolve) => {
      response.on('close', resolve)
      response.end(answer.body, () => resolve())
    })
  }

  #applyLimits (): void {
    const limits = this.#settings.limits()
    if (limits === undefined) return
    this.#server.keepAliveTimeout = limits.idleTimeoutMs
    this.#server.headersTimeout = limits.headerTimeoutMs
  }
}
