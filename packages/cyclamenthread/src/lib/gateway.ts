import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import ApiGateway from 'moleculer-web'
import { Counter } from 'prom-client'
import { HostState, notRun, RefusalReason } from '@cyclamenthread/state'
import { SpanKind, withSpan, getTraceparent } from '@cyclamenthread/transport'
import { KeyWatch } from './admission.js'
import { handleBatchAcknowledge, handleBatchCancel, handleBatchOpen, handleBatchRead } from './batch-handler.js'
import { handleChat, handleCompletion } from './completion-handler.js'
import { handleReadDecisions } from './decisions-handler.js'
import { createOperatorAliases } from './operator-handler.js'
import { sendJson, sendProblem } from './problem.js'
import { handleService } from './service-handler.js'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { ServiceSchema } from 'moleculer'
import type { Registry } from 'prom-client'
import type { CatalogueView } from '@cyclamenthread/state'
import type {
  CatalogueSource, CompletionRunner, DecisionSource, KeyGuard, LedgerClient, MemberTask, MessageBus, ServiceRunner, WriteBehind
} from '@cyclamenthread/coordination'
import type { ServiceSettings } from './settings.js'

/** State of one caller's request in the gateway. */
export interface RequestContext {
  readonly requestId: string
  readonly traceparent: string
  /** The catalogue revision used for the whole request. */
  readonly view: CatalogueView
  /** Aborts when the caller disconnects or its key is withdrawn. */
  readonly signal: AbortSignal
  /** Watches the caller's key until the request ends. */
  readonly keyWatch: KeyWatch
  /** Cancels the request, as if the caller had disconnected. */
  readonly cancel: () => void
  /** Path and query, exactly as received. */
  readonly url: string
}

/** Time within which a caller has to send the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000

/** Maximum idle time of a connection between two requests, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000

/** Maximum time without traffic on a connection with an open request, in milliseconds. */
const SOCKET_TIMEOUT_MS = 120_000

/** Interval at which a drain checks whether it is finished, in milliseconds. */
const DRAIN_POLL_MS = 20

/** Dependencies of the gateway. */
export interface GatewayDependencies {
  readonly settings: ServiceSettings
  readonly catalogue: CatalogueSource
  readonly keys: KeyGuard
  readonly members: MemberTask
  readonly bus: MessageBus
  readonly ledger: LedgerClient
  readonly completions: CompletionRunner
  readonly services: ServiceRunner
  readonly decisions: DecisionSource
  readonly writeBehind: WriteBehind
  readonly registry: Registry
  /** Begins a graceful shutdown of the service. */
  readonly leave: () => void
}

type Handler = (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext) => Promise<void>

/** A request as passed on by moleculer-web. */
type WebRequest = IncomingMessage & { readonly originalUrl?: string }

/**
 * Handles the requests of callers. Counts the running ones, so that a graceful
 * shutdown can wait for them.
 */
export class Gateway {
  readonly settings: ServiceSettings
  readonly catalogue: CatalogueSource
  readonly members: MemberTask
  readonly bus: MessageBus
  readonly ledger: LedgerClient
  readonly completions: CompletionRunner
  readonly services: ServiceRunner
  readonly decisions: DecisionSource
  readonly leave: () => void
  readonly #keys: KeyGuard
  readonly writeBehind: WriteBehind
  readonly #registry: Registry
  readonly #requests: Counter
  #running = 0

  constructor (dependencies: GatewayDependencies) {
    this.settings = dependencies.settings
    this.catalogue = dependencies.catalogue
    this.members = dependencies.members
    this.bus = dependencies.bus
    this.ledger = dependencies.ledger
    this.completions = dependencies.completions
    this.services = dependencies.services
    this.decisions = dependencies.decisions
    this.leave = dependencies.leave
    this.#keys = dependencies.keys
    this.writeBehind = dependencies.writeBehind
    this.#registry = dependencies.registry
    this.#requests = new Counter({
      name: 'cyclamenthread_requests_total',
      help: 'Requests of callers by route and status; status 0 when the caller went away before the answer.',
      labelNames: ['route', 'status'],
      registers: [this.#registry]
    })
  }

  /** Number of running requests. */
  get running (): number {
    return this.#running
  }

  /** Waits until no request is running and all deferred writes are done. */
  async waitUntilDrained (): Promise<void> {
    while (this.#running > 0 || this.writeBehind.waiting > 0) await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS))
  }

  /** Creates the broker service that listens for callers. */
  service (): ServiceSchema {
    const colon = this.settings.callerAddress.lastIndexOf(':')
    const { maxConnections } = this.settings
    return {
      name: 'gateway',
      mixins: [ApiGateway as unknown as ServiceSchema],
      settings: {
        ip: this.settings.callerAddress.slice(0, colon),
        port: Number(this.settings.callerAddress.slice(colon + 1)),
        requestTimeout: this.settings.requestTimeoutMs,
        onError: (_: WebRequest, response: ServerResponse) => sendProblem(response, notRun(RefusalReason.NotFound, 'no resource at this path supports this method'), ''),
        routes: [{ path: '/', mappingPolicy: 'restrict', bodyParsers: false, mergeParams: false, aliases: this.#createAliases() }]
      },
      created () {
        limitConnections(this['server'] as Server, maxConnections)
      }
    }
  }

  #createAliases (): Readonly<Record<string, unknown>> {
    return {
      'GET livez': (_: WebRequest, response: ServerResponse) => sendJson(response, 200, { alive: true }),
      'GET readyz': (_: WebRequest, response: ServerResponse) => this.#handleReadiness(response),
      'GET metrics': async (_: WebRequest, response: ServerResponse) => await this.#handleMetrics(response),
      'GET v1/addresses': (_: WebRequest, response: ServerResponse) => this.#handleAddresses(response),
      ...createOperatorAliases(this),
      'POST v1/completions': this.#createRoute('completions', handleCompletion),
      'POST v1/chat/completions': this.#createRoute('chat', handleChat),
      'POST v1/batches': this.#createRoute('batch.open', handleBatchOpen),
      'GET v1/batches/:id/samples': this.#createRoute('batch.read', handleBatchRead),
      'POST v1/batches/:id/acks': this.#createRoute('batch.acknowledge', handleBatchAcknowledge),
      'DELETE v1/batches/:id': this.#createRoute('batch.cancel', handleBatchCancel),
      'GET v1/requests/:id/decisions': this.#createRoute('explain', handleReadDecisions),
      '* v1/services/:entry': this.#createRoute('service', handleService),
      '* v1/services/:entry/:rest*': this.#createRoute('service', handleService)
    }
  }

  /** Wraps a handler with a request id, a span, the catalogue revision and cleanup. */
  #createRoute (name: string, handler: Handler): (request: WebRequest, response: ServerResponse) => Promise<void> {
    return async (request, response) => {
      const requestId = randomUUID()
      const view = this.catalogue.current()
      if (view === undefined) {
        sendProblem(response, notRun(RefusalReason.NotReady, 'this host has not loaded a catalogue yet', 1000), requestId)
        return
      }
      const aborter = new AbortController()
      setMaxListeners(0, aborter.signal)
      response.on('close', () => {
        this.#requests.inc({ route: name, status: response.headersSent ? response.statusCode : 0 })
        if (!response.writableFinished) aborter.abort()
      })
      const keyWatch = new KeyWatch(this.#keys, () => aborter.abort())
      // A leaving host closes each connection after the response, so that no request is cut off by its shutdown.
      if (this.#isLeaving()) response.setHeader('connection', 'close')
      this.#running += 1
      try {
        const tracedHop = { name: `gateway.${name}`, kind: SpanKind.SERVER, traceparent: String(request.headers['traceparent'] ?? ''), attributes: { 'request.id': requestId } }
        await withSpan(tracedHop, async (span) => {
          await handler(this, request, response, {
            requestId,
            traceparent: getTraceparent(span),
            view,
            signal: aborter.signal,
            cancel: () => aborter.abort(),
            keyWatch,
            url: request.originalUrl ?? request.url ?? '/'
          })
        })
      } finally {
        keyWatch.stop()
        this.#running -= 1
      }
    }
  }

  #handleReadiness (response: ServerResponse): void {
    const revision = this.catalogue.current()?.revision
    const leaving = this.#isLeaving()
    sendJson(response, revision === undefined || leaving ? 503 : 200, { ready: revision !== undefined && !leaving, catalogueRevision: revision ?? 0, leaving })
  }

  #isLeaving (): boolean {
    return this.members.members().some((member) => member.host.id === this.settings.hostId && member.state === HostState.Leaving)
  }

  /** Responds with the hosts that a caller may connect to, and the time until which it may cache them. */
  #handleAddresses (response: ServerResponse): void {
    const notAfter = new Date(Date.now() + this.settings.addressTtlMs).toISOString()
    const addresses = this.members.workers().map((host) => ({ url: host.callerUrl, region: host.region, failureDomain: host.failureDomain }))
    sendJson(response, 200, { addresses, notAfter })
  }

  async #handleMetrics (response: ServerResponse): Promise<void> {
    const text = await this.#registry.metrics()
    response.writeHead(200, { 'content-type': this.#registry.contentType })
    response.end(text)
  }
}

/** Limits the connections, so that neither slow nor idle callers can exhaust the server. */
function limitConnections (server: Server, maxConnections: number): void {
  server.maxConnections = maxConnections
  server.headersTimeout = HEADERS_TIMEOUT_MS
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
  server.timeout = SOCKET_TIMEOUT_MS
}
