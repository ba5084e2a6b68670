import { createServer } from 'node:http'
import { LoopDelay, monotonicNow } from '@cyclamenthread/transport'
import { RefusalReason } from '@cyclamenthread/state'
import { CallerConnection } from './clients/caller-connection.js'
import { ClientGuard, ClientLimit } from './clients/client-guard.js'
import { CHECK_INTERVAL_MS, connectionLimit, REQUEST_TIMEOUT_MS, UNDECLARED_LIMITS } from './clients/client-limits.js'
import { readBody } from './request-body.js'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { BudgetShare } from './clients/request-budget.js'
import type { CallerLimits } from '@cyclamenthread/state'
import type { HeaderPair } from '@cyclamenthread/protocol'

/** Interval at which a drain checks for open requests, in milliseconds. */
const DRAIN_POLL_MS = 20

/** Time that handlers get to answer once a drain is over, in milliseconds. */
const LAST_ANSWER_MS = 60

/** Time for which the rest of a refused body is received and discarded, in milliseconds: a close before that may reset the connection and lose the response. */
const LINGER_MS = 500

/** Memory of an open request beside its head and body, in bytes, and copies of its head. */
const OPEN_REQUEST_BYTES = 4 * 1_024
const HEAD_COPIES = 3

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

/** State of a request from its head until its response. */
interface RequestState {
  /** Monotonic milliseconds. */
  readonly receivedAt: number
  readonly abort: AbortController
  readonly share: BudgetShare
  /** Whether its response was sent or its connection has closed. */
  readonly isClosed: () => boolean
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
  /** Shared by the servers of a process; a server without one has its own. */
  readonly guard?: ClientGuard
  /** Fraction of the connections of the process that this server may have; all by default. */
  readonly connectionShare?: number
}

const EXPECTATION_FAILED: CallerResponse = { status: 417, headers: [], body: new Uint8Array() }
const REQUEST_TIMEOUT: CallerResponse = { status: 408, headers: [], body: new Uint8Array() }
const UNAVAILABLE: CallerResponse = { status: 503, headers: [], body: new Uint8Array() }
const PAYLOAD_TOO_LARGE: CallerResponse = { status: 413, headers: [], body: new Uint8Array() }

/** Responses after which the connection is closed. */
const REFUSED_BY_SERVER: ReadonlySet<CallerResponse> = new Set([EXPECTATION_FAILED, REQUEST_TIMEOUT, UNAVAILABLE, PAYLOAD_TOO_LARGE])

const GATEWAY_TIMEOUT: CallerResponse = { status: 504, headers: [], body: new Uint8Array() }
const BAD_GATEWAY: CallerResponse = { status: 502, headers: [], body: new Uint8Array() }

/** Response to a body that was refused, and the limit that it reached; undefined if the connection closed. */
function refusalOfBody (reason: RefusalReason): { readonly response: CallerResponse, readonly limit?: ClientLimit } | undefined {
  switch (reason) {
    case RefusalReason.Cancelled: return undefined
    case RefusalReason.Overloaded: return { response: UNAVAILABLE, limit: ClientLimit.Memory }
    case RefusalReason.DeadlineExceeded: return { response: REQUEST_TIMEOUT, limit: ClientLimit.SlowBody }
    case RefusalReason.LimitReached: return { response: REQUEST_TIMEOUT, limit: ClientLimit.StalledBody }
    default: return { response: PAYLOAD_TOO_LARGE }
  }
}

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
  readonly #guard: ClientGuard
  readonly #maxConnections: number
  /** Connections in the order in which they were accepted. */
  readonly #connections = new Map<Socket, CallerConnection>()
  #checkTimer: NodeJS.Timeout | undefined
  /** Monotonic milliseconds. */
  #checkDueAt = 0
  #keepAliveDisabled = false

  constructor (settings: CallerServerSettings) {
    this.#settings = settings
    this.#guard = settings.guard ?? new ClientGuard()
    this.#maxConnections = Math.max(1, Math.floor(connectionLimit() * (settings.connectionShare ?? 1)))
    this.#server = createServer({ keepAlive: true, noDelay: true }, (request, response) => {
      void this.#handleRequest(request, response)
    })
    // Without a listener, Node's server answers these itself, and no limit of open requests applies.
    this.#server.on('checkExpectation', (request, response) => {
      void this.#handleRequest(request, response, EXPECTATION_FAILED)
    })
    this.#server.on('connection', (socket) => this.#accept(socket))
    // Deadlines are those of `CallerConnection` and of reading a body.
    this.#server.requestTimeout = 0
    this.#server.headersTimeout = 0
    this.#server.keepAliveTimeout = UNDECLARED_LIMITS.idleTimeoutMs
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
    this.#scheduleCheck()
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
    clearTimeout(this.#checkTimer)
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

  /** Accepts a connection; one that no client within the limits uses makes way for it if there are too many. */
  #accept (socket: Socket): void {
    this.#loopDelay.recordConnection()
    if (this.#connections.size >= this.#maxConnections && !this.#displaceConnection()) {
      this.#guard.count(ClientLimit.Connections)
      socket.destroy()
      return
    }
    this.#connections.set(socket, new CallerConnection(socket, () => this.#limits()))
    socket.on('close', () => this.#connections.delete(socket))
  }

  #displaceConnection (): boolean {
    const now = performance.now()
    for (const [socket, connection] of this.#connections) {
      if (!connection.isDisplaceable(now)) continue
      this.#connections.delete(socket)
      connection.destroy()
      this.#guard.count(ClientLimit.Displaced)
      return true
    }
    return false
  }

  #scheduleCheck (): void {
    this.#checkDueAt = performance.now() + CHECK_INTERVAL_MS
    this.#checkTimer = setTimeout(() => this.#checkConnections(), CHECK_INTERVAL_MS).unref()
  }

  /** Ends connections whose deadlines have passed. A process that was held up reads first what has come meanwhile. */
  #checkConnections (): void {
    const now = performance.now()
    if (now - this.#checkDueAt < CHECK_INTERVAL_MS) {
      for (const connection of this.#connections.values()) {
        const limit = connection.endIfLate(now)
        if (limit !== undefined) this.#guard.count(limit)
      }
    }
    this.#scheduleCheck()
  }

  async #handleRequest (request: IncomingMessage, response: ServerResponse, refusal?: CallerResponse): Promise<void> {
    this.#openRequests += 1
    const receivedAt = monotonicNow() - this.#loopDelay.current()
    const abort = new AbortController()
    const share = this.#guard.budget.openShare()
    const connection = this.#connections.get(request.socket)
    let isClosed = false
    const closed = new Promise<void>((resolve) => {
      const end = (): void => {
        isClosed = true
        share.release()
        if (!response.writableFinished) abort.abort()
        resolve()
      }
      if (connection === undefined) response.on('close', end)
      else connection.beginRequest(request, response, end)
    })
    this.#applyLimits()
    try {
      const answer = refusal ?? await this.#answerRequest(request, { receivedAt, abort, share, isClosed: () => isClosed })
      if (answer !== undefined && !isClosed) await this.#sendResponse(request, response, answer, connection, closed)
    } finally {
      this.#openRequests -= 1
    }
  }

  /** Reads a request and has it handled; undefined if its connection closed before it was whole. */
  async #answerRequest (request: IncomingMessage, { receivedAt, abort, share, isClosed }: RequestState): Promise<CallerResponse | undefined> {
    const { maxBodyBytes } = this.#limits()
    const { budget } = this.#guard
    budget.setMaxBodyBytes(maxBodyBytes)
    const headBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, request.url?.length ?? 0)
    if (!share.reserve(OPEN_REQUEST_BYTES + headBytes * HEAD_COPIES)) {
      request.resume()
      this.#guard.recordRefusal({ target: request.url ?? '', status: UNAVAILABLE.status, limit: ClientLimit.Memory })
      return UNAVAILABLE
    }
    const body = await readBody(request, maxBodyBytes, { share, budget, deadline: performance.now() + REQUEST_TIMEOUT_MS })
    // The connection may have closed since; a request whose client is gone isn't run.
    if (isClosed()) return undefined
    if (body.ok) return await this.#awaitAnswer(request, body.value, receivedAt, abort)
    const refused = refusalOfBody(body.failure.reason)
    if (refused?.limit !== undefined) this.#guard.recordRefusal({ target: request.url ?? '', status: refused.response.status, limit: refused.limit })
    if (refused !== undefined) share.release()
    return refused?.response
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

  async #sendResponse (request: IncomingMessage, response: ServerResponse, answer: CallerResponse, connection: CallerConnection | undefined, closed: Promise<void>): Promise<void> {
    const headers = answer.headers.flatMap(([name, value]) => [name, value])
    headers.push('Content-Length', String(answer.body.length))
    const isWhole = request.complete
    if (!isWhole || REFUSED_BY_SERVER.has(answer) || this.#keepAliveDisabled) headers.push('Connection', 'close')
    response.writeHead(answer.status, headers)
    connection?.beginResponse()
    if (!isWhole) {
      response.flushHeaders()
      await discardBody(request)
    }
    const written = new Promise<void>((resolve) => response.end(answer.body, () => resolve()))
    await Promise.race([written, closed])
    connection?.endResponse()
  }

  #limits (): CallerLimits {
    return this.#settings.limits() ?? UNDECLARED_LIMITS
  }

  #applyLimits (): void {
    this.#server.keepAliveTimeout = this.#limits().idleTimeoutMs
  }
}

/** Discards the rest of a body until its end, or for a short time. */
async function discardBody (request: IncomingMessage): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, LINGER_MS)
    request.once('close', () => {
      clearTimeout(timer)
      resolve()
    })
    request.resume()
  })
}
