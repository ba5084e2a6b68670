import { connect } from 'node:net'
import { connect as connectTls } from 'node:tls'
import { monotonicNow, timeLeft } from './deadline.js'
import { encodeFrame, FrameReader } from './frame.js'
import { certificateMatchesHost } from './peer-tls.js'
import { createNonce, isValidProof, PeerSide, computeProof, FrameKind } from './peer-frame.js'
import type { Socket } from 'node:net'
import type { PeerTraffic } from './peer-server.js'
import type { PeerCertificates } from './peer-tls.js'
import type { PeerFrame, ReplyFrame, WelcomeFrame } from './peer-frame.js'

/** Time after which an idle connection is closed, in milliseconds. A host talks to every other host, but not to all of them at once. */
const IDLE_TIMEOUT_MS = 30_000

/**
 * Time without a byte from the other process, while it owes a reply, after which a call that times out ends the use of
 * the connection, in milliseconds: longer than a process is held up by its own work.
 */
const SILENCE_MS = 1_500

/** Why a call to another process failed. */
export enum PeerFailure {
  /** The call was not sent. */
  NotSent = 'not-sent',
  /** The call was sent but got no reply; it may have been executed. */
  NoReply = 'no-reply',
  /** The other process replied with an error. */
  Rejected = 'rejected'
}

/** The result of a call to another process. */
export type PeerReply =
  | { readonly ok: true, readonly body: unknown }
  | { readonly ok: false, readonly failure: PeerFailure, readonly detail: string }

/** One call to another process. */
export interface PeerCall {
  readonly address: string
  readonly body: unknown
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  readonly traceparent: string
  readonly signal?: AbortSignal
}

/** Settings of a peer client. */
export interface PeerClientSettings {
  /** Id of this host, proved to the server in the handshake. */
  readonly host: string
  readonly secret: string
  readonly connectTimeoutMs: number
  /** Enables TLS. */
  readonly certificates?: PeerCertificates
  /** Time after which an idle connection is closed, in milliseconds. */
  readonly idleMs?: number
}

type SettleCall = (reply: PeerReply) => void

/** A connection to one address, authenticated by a handshake before the first call is sent. */
class ClientConnection {
  readonly #settings: PeerClientSettings
  readonly #traffic: PeerTraffic
  readonly #socket: Socket
  readonly #pendingCalls = new Map<number, SettleCall>()
  readonly #queuedSends: Array<() => void> = []
  #reader = new FrameReader()
  readonly #nonce = createNonce()
  #serverNonce: string | undefined
  #authenticated = false
  #nextId = 1
  /** Monotonic time of the first call that was sent after the last byte received, in milliseconds; undefined if there is none. */
  #unansweredSince: number | undefined
  /** Whether the connection gets no more calls: it is closed, or has gone silent. */
  isRetired = false

  constructor (address: string, settings: PeerClientSettings, traffic: PeerTraffic, onClose: () => void) {
    this.#settings = settings
    this.#traffic = traffic
    this.#socket = openSocket(address, settings.certificates)
    this.#socket.setNoDelay(true)
    const connecting = setTimeout(() => this.#closeIfUnauthenticated(), settings.connectTimeoutMs)
    this.#socket.setTimeout(settings.idleMs ?? IDLE_TIMEOUT_MS)
    this.#socket.on('timeout', () => this.#closeIfIdle())
    this.#socket.on('data', (chunk: Buffer) => this.#receiveChunk(chunk))
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('close', () => {
      clearTimeout(connecting)
      this.isRetired = true
      onClose()
      this.#failPendingCalls()
    })
  }

  call (call: PeerCall): Promise<PeerReply> {
    return new Promise((resolve) => {
      if (call.signal?.aborted === true) {
        resolve({ ok: false, failure: PeerFailure.NotSent, detail: 'call cancelled before it was sent' })
        return
      }
      const id = this.#nextId++
      const timer = setTimeout(() => {
        settle(this.#cancelCall(id))
        // By then, what arrived while this process was held up has been read.
        setImmediate(() => this.#retireIfSilent())
      }, timeLeft(call.deadline))
      const onAbort = (): void => settle(this.#cancelCall(id))
      const settle = (reply: PeerReply): void => {
        clearTimeout(timer)
        call.signal?.removeEventListener('abort', onAbort)
        this.#pendingCalls.delete(id)
        resolve(reply)
        this.#closeIfUnused()
      }
      call.signal?.addEventListener('abort', onAbort)
      this.#pendingCalls.set(id, settle)
      this.#afterHandshake(() => {
        if (!this.#pendingCalls.has(id)) return
        const sent = this.#trySend({ kind: FrameKind.Call, id, left: timeLeft(call.deadline), traceparent: call.traceparent, body: call.body })
        if (sent) this.#unansweredSince ??= monotonicNow()
        else settle({ ok: false, failure: PeerFailure.NotSent, detail: 'call exceeds the maximum frame size' })
      })
    })
  }

  notify (body: unknown, traceparent: string): void {
    this.#afterHandshake(() => this.#trySend({ kind: FrameKind.Call, id: 0, left: 0, traceparent, body }))
  }

  close (): void {
    this.#socket.destroy()
  }

  #cancelCall (id: number): PeerReply {
    if (!this.#authenticated) return { ok: false, failure: PeerFailure.NotSent, detail: 'deadline exceeded before the handshake with the peer completed' }
    this.#send({ kind: FrameKind.Abort, id })
    return { ok: false, failure: PeerFailure.NoReply, detail: 'deadline exceeded' }
  }

  #afterHandshake (action: () => void): void {
    if (this.#authenticated) action()
    else this.#queuedSends.push(action)
  }

  #receiveChunk (chunk: Buffer): void {
    this.#traffic.bytesIn += chunk.length
    this.#unansweredSince = undefined
    try {
      for (const value of this.#reader.push(chunk)) this.#handleFrame(value as PeerFrame)
    } catch {
      this.#socket.destroy()
    }
  }

  #handleFrame (frame: PeerFrame): void {
    this.#traffic.framesIn += 1
    if (frame.kind === FrameKind.Challenge && this.#serverNonce === undefined) this.#sendProof(String(frame.nonce))
    else if (frame.kind === FrameKind.Welcome && !this.#authenticated) this.#verifyWelcome(frame)
    else if (frame.kind === FrameKind.Reply && this.#authenticated) this.#settleReply(frame)
    else this.#socket.destroy()
  }

  #sendProof (serverNonce: string): void {
    const { host, secret } = this.#settings
    this.#serverNonce = serverNonce
    const proof = computeProof(secret, { side: PeerSide.Client, host, clientNonce: this.#nonce, serverNonce })
    this.#send({ kind: FrameKind.Proof, host, nonce: this.#nonce, proof })
  }

  /** Verifies the server's proof. Until it is valid, nothing but this client's own proof is sent. */
  #verifyWelcome (welcome: WelcomeFrame): void {
    const host = String(welcome.host)
    const proofInput = { side: PeerSide.Server, host, clientNonce: this.#nonce, serverNonce: this.#serverNonce ?? '' }
    if (!isValidProof(this.#settings.secret, proofInput, String(welcome.proof)) || !certificateMatchesHost(this.#socket, host)) {
      this.#socket.destroy()
      return
    }
    this.#authenticated = true
    for (const action of this.#queuedSends.splice(0)) action()
  }

  #closeIfUnauthenticated (): void {
    if (!this.#authenticated) this.#socket.destroy()
  }

  /** Leaves later calls to a new connection if nothing has come on this one for long. */
  #retireIfSilent (): void {
    if (this.#unansweredSince === undefined || monotonicNow() - this.#unansweredSince < SILENCE_MS) return
    this.isRetired = true
    this.#closeIfUnused()
  }

  /** Resets a retired connection without calls: after a plain close, calls that were given up would still be delivered. */
  #closeIfUnused (): void {
    if (!this.isRetired || this.#pendingCalls.size > 0 || this.#socket.destroyed) return
    // Node.js can't reset a TLS connection.
    if (this.#settings.certificates === undefined) this.#socket.resetAndDestroy()
    else this.#socket.destroy()
  }

  #closeIfIdle (): void {
    if (this.#pendingCalls.size === 0) this.#socket.destroy()
  }

  #settleReply (reply: ReplyFrame): void {
    const settle = this.#pendingCalls.get(reply.id)
    if (settle === undefined) return
    if (reply.ok) settle({ ok: true, body: reply.body })
    else settle({ ok: false, failure: PeerFailure.Rejected, detail: String(reply.body) })
  }

  #failPendingCalls (): void {
    const failure = this.#authenticated ? PeerFailure.NoReply : PeerFailure.NotSent
    for (const settle of [...this.#pendingCalls.values()]) settle({ ok: false, failure, detail: 'connection closed' })
  }

  /** Sends a frame; returns false if it is too large to be encoded. */
  #trySend (frame: PeerFrame): boolean {
    try {
      this.#send(frame)
      return true
    } catch {
      return false
    }
  }

  #send (frame: PeerFrame): void {
    if (this.#socket.destroyed) return
    const bytes = encodeFrame(frame)
    this.#traffic.bytesOut += bytes.length
    this.#traffic.framesOut += 1
    this.#socket.write(bytes)
  }
}

function openSocket (address: string, certificates: PeerCertificates | undefined): Socket {
  const colon = address.lastIndexOf(':')
  const target = { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
  if (certificates === undefined) return connect(target)
  const { certificate, key, authority } = certificates
  // `certificateMatchesHost` checks the certificate against the host id once the handshake has supplied it.
  return connectTls({ ...target, cert: certificate, key, ca: authority, checkServerIdentity: () => undefined })
}

/**
 * Calls other processes over one connection per address.
 *
 * @example
 * const reply = await client.call({ address: '127.0.0.1:7000', body, deadline, traceparent: '' })
 */
export class PeerClient {
  readonly traffic: PeerTraffic = { bytesIn: 0, bytesOut: 0, framesIn: 0, framesOut: 0 }
  readonly #settings: PeerClientSettings
  readonly #connections = new Map<string, ClientConnection>()

  constructor (settings: PeerClientSettings) {
    this.#settings = settings
  }

  /** Number of open connections. */
  get connections (): number {
    return this.#connections.size
  }

  /** Sends a call and waits for its reply until the deadline. Never rejects. */
  call (call: PeerCall): Promise<PeerReply> {
    return this.#connectionTo(call.address).call(call)
  }

  /** Sends a one-way message, which gets no reply and may be lost. */
  notify (address: string, body: unknown, traceparent = ''): void {
    this.#connectionTo(address).notify(body, traceparent)
  }

  /** Closes all connections; pending calls fail. */
  close (): void {
    for (const connection of [...this.#connections.values()]) connection.close()
  }

  #connectionTo (address: string): ClientConnection {
    const existing = this.#connections.get(address)
    if (existing?.isRetired === false) return existing
    const link = new ClientConnection(address, this.#settings, this.traffic, () => {
      if (this.#connections.get(address) === link) this.#connections.delete(address)
    })
    this.#connections.set(address, link)
    return link
  }
}
