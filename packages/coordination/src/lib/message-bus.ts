import { failure, isSilenceConclusive, success } from '@cyclamenthread/state'
import { peerResponseSchemas, peerMessageSchema } from '@cyclamenthread/protocol'
import { monotonicNow, PeerClient, PeerFailure, PeerServer, SpanKind, withSpan, getTraceparent } from '@cyclamenthread/transport'
import { LogEvent, SILENT_LOG } from './event-log.js'
import type { Host, Outcome } from '@cyclamenthread/state'
import type { PeerResponse, PeerMessage, PeerMessageKind } from '@cyclamenthread/protocol'
import type { CallContext } from '@cyclamenthread/transport'
import type { EventLog } from './event-log.js'
import type { HostSettings } from './host-settings.js'
import type { ActionCaller } from './local-broker.js'

/** Metadata of a message, passed to a task's action as the broker's `meta`. */
export interface MessageMeta {
  readonly from: string
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  readonly traceparent: string
  readonly signal: AbortSignal
}

/** Options for sending a message. */
export interface SendOptions {
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  readonly traceparent?: string
  readonly signal?: AbortSignal
}

/** Settings of the bus. */
export type BusSettings = Pick<HostSettings, 'self' | 'clusterSecret' | 'certificates' | 'storeTimeoutMs'>

/** A signal that never aborts. */
const NEVER_ABORTED = new AbortController().signal

/**
 * Sends typed messages between tasks: within this process through the broker, and
 * to other hosts over TCP. Both look the same to a task.
 */
export class MessageBus {
  readonly #settings: BusSettings
  readonly #broker: ActionCaller
  readonly #log: EventLog
  readonly #client: PeerClient
  readonly #server: PeerServer
  #onSilence: (hostId: string) => void = () => {}

  constructor (settings: BusSettings, broker: ActionCaller, log: EventLog = SILENT_LOG) {
    this.#settings = settings
    this.#broker = broker
    this.#log = log
    const { self, clusterSecret, certificates } = settings
    const tls = certificates === undefined ? {} : { certificates }
    this.#client = new PeerClient({ host: self.id, secret: clusterSecret, connectTimeoutMs: settings.storeTimeoutMs, ...tls })
    const separator = self.peerAddress.lastIndexOf(':')
    this.#server = new PeerServer({
      host: self.peerAddress.slice(0, separator),
      port: Number(self.peerAddress.slice(separator + 1)),
      id: self.id,
      secret: clusterSecret,
      ...tls,
      handler: async (body, context) => await this.#receive(body, context)
    })
  }

  /** Bytes of control traffic that this process has received and sent. */
  get controlBytes (): { readonly received: number, readonly sent: number } {
    return {
      received: this.#server.traffic.bytesIn + this.#client.traffic.bytesIn,
      sent: this.#server.traffic.bytesOut + this.#client.traffic.bytesOut
    }
  }

  /** Calls back with the id of a host that gave no answer in time or can't be reached. */
  onSilence (listener: (hostId: string) => void): void {
    this.#onSilence = listener
  }

  /** Starts to listen for connections of other hosts. */
  async start (): Promise<void> {
    await this.#server.listen()
  }

  /** Closes the port and all connections. */
  async stop (): Promise<void> {
    this.#client.close()
    await this.#server.close()
  }

  /**
   * Sends a message and waits for its answer.
   *
   * @example
   * await bus.send(host, { kind: PeerMessageKind.Probe }, { deadline })
   */
  async send<Kind extends PeerMessageKind> (host: Host, message: Extract<PeerMessage, { kind: Kind }>, options: SendOptions): Promise<Outcome<PeerResponse<Kind>, PeerFailure>> {
    const spanOptions = { name: message.kind, kind: SpanKind.CLIENT, traceparent: options.traceparent ?? '', attributes: { 'peer.host': host.id } }
    return await withSpan(spanOptions, async (span) => {
      const traceparent = getTraceparent(span)
      if (host.id === this.#settings.self.id) return await this.#sendLocal<Kind>(message, { ...options, traceparent })
      return await this.#sendRemote<Kind>(host, message, { ...options, traceparent })
    })
  }

  /** Sends a message without waiting for an answer. */
  async post (host: Host, message: PeerMessage, traceparent = ''): Promise<void> {
    if (host.id !== this.#settings.self.id) {
      this.#client.notify(host.peerAddress, message, traceparent)
      return
    }
    const meta: MessageMeta = { from: host.id, deadline: Infinity, traceparent, signal: NEVER_ABORTED }
    await this.#broker.call(message.kind, message, { meta })
  }

  async #sendLocal<Kind extends PeerMessageKind> (message: Extract<PeerMessage, { kind: Kind }>, options: SendOptions): Promise<Outcome<PeerResponse<Kind>, PeerFailure>> {
    const meta: MessageMeta = {
      from: this.#settings.self.id,
      deadline: options.deadline,
      traceparent: options.traceparent ?? '',
      signal: options.signal ?? NEVER_ABORTED
    }
    return success(await this.#broker.call<PeerResponse<Kind>, PeerMessage>(message.kind, message, { meta }))
  }

  async #sendRemote<Kind extends PeerMessageKind> (host: Host, message: Extract<PeerMessage, { kind: Kind }>, options: SendOptions): Promise<Outcome<PeerResponse<Kind>, PeerFailure>> {
    const sentAt = monotonicNow()
    const reply = await this.#client.call({
      address: host.peerAddress,
      body: message,
      deadline: options.deadline,
      traceparent: options.traceparent ?? '',
      ...(options.signal === undefined ? {} : { signal: options.signal })
    })
    if (!reply.ok) {
      if (options.signal?.aborted !== true) {
        const now = monotonicNow()
        this.#log.record(LogEvent.MessageUnanswered, { peer: host.id, message: message.kind, outcome: reply.failure, detail: reply.detail, tookMs: Math.round(now - sentAt) })
        if (reply.failure !== PeerFailure.Rejected && isSilenceConclusive(options.deadline, now)) this.#onSilence(host.id)
      }
      return failure(reply.failure)
    }
    const parsed = peerResponseSchemas[message.kind].safeParse(reply.body)
    return parsed.success ? success(parsed.data as PeerResponse<Kind>) : failure(PeerFailure.NoReply)
  }

  async #receive (body: unknown, context: CallContext): Promise<unknown> {
    const message = peerMessageSchema.parse(body)
    const spanOptions = { name: message.kind, kind: SpanKind.SERVER, traceparent: context.traceparent, attributes: { 'peer.host': context.from } }
    return await withSpan(spanOptions, async (span) => {
      const meta: MessageMeta = { ...context, traceparent: getTraceparent(span) }
      return await this.#broker.call(message.kind, message, { meta })
    })
  }
}
