import { connect } from 'node:net'
import { connect as connectTls } from 'node:tls'
import { timeLeft } from './deadline.js'
import { encodeFrame, FrameReader } from './frame.js'
import { isCertified } from './peer-tls.js'
import { createNonce, isProof, PeerSide, proofOf, WireKind } from './peer-wire.js'
import type { Socket } from 'node:net'
import type { PeerTraffic } from './peer-server.js'
import type { PeerCertificates } from './peer-tls.js'
import type { WireFrame, WireReply, WireWelcome } from './peer-wire.js'

/** A connection without any call for this long is closed, in milliseconds: a host talks to every other, but not to all at once. */
const IDLE_MS = 30_000

/** Why a call to another process gave no reply. */
export enum PeerFailure {
  /** The call never left this process. */
  NotSent = 'not-sent',
  /** The call may have been carried out. */
  NoReply = 'no-reply',
  /** The other process answered that it could not carry the call out. */
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
  /** Id of this host, proved to the other side. */
  readonly host: string
  readonly secret: string
  readonly connectTimeoutMs: number
  /** Turns TLS on. */
  readonly certificates?: PeerCertificates
  /** Time without a call after which a connection is closed, in milliseconds. */
  readonly idleMs?: number
}

type Settle = (reply: PeerReply) => void

/** A connection to one address, opened on first use. */
class PeerLink {
  readonly #settings: PeerClientSettings
  readonly #traffic: PeerTraffic
  readonly #socket: Socket
  readonly #waiting = new Map<number, Settle>()
  readonly #unsent: Array<() => void> = []
  #reader = new FrameReader()
  readonly #nonce = createNonce()
  #serverNonce: string | undefined
  #proved = false
  #nextId = 1
  closed = false

  constructor (address: string, settings: PeerClientSettings, traffic: PeerTraffic, onClose: () => void) {
    this.#settings = settings
    this.#traffic = traffic
    this.#socket = openSocket(address, settings.certificates)
    this.#socket.setNoDelay(true)
    const connecting = setTimeout(() => this.#closeUnproved(), settings.connectTimeoutMs)
    this.#socket.setTimeout(settings.idleMs ?? IDLE_MS)
    this.#socket.on('timeout', () => this.#closeIdle())
    this.#socket.on('data', (chunk: Buffer) => this.#receive(chunk))
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('close', () => {
      clearTimeout(connecting)
      this.closed = true
      onClose()
      this.#failAll()
    })
  }

  call (call: PeerCall): Promise<PeerReply> {
    return new Promise((resolve) => {
      if (call.signal?.aborted === true) {
        resolve({ ok: false, failure: PeerFailure.NotSent, detail: 'the call was cancelled before it was sent' })
        return
      }
      const id = this.#nextId++
      const timer = setTimeout(() => settle(this.#abandon(id)), timeLeft(call.deadline))
      const onAbort = (): void => settle(this.#abandon(id))
      const settle = (reply: PeerReply): void => {
        clearTimeout(timer)
        call.signal?.removeEventListener('abort', onAbort)
        this.#waiting.delete(id)
        resolve(reply)
      }
      call.signal?.addEventListener('abort', onAbort)
      this.#waiting.set(id, settle)
      this.#whenProved(() => {
        if (!this.#waiting.has(id)) return
        const sent = this.#trySend({ kind: WireKind.Call, id, left: timeLeft(call.deadline), traceparent: call.traceparent, body: call.body })
        if (!sent) settle({ ok: false, failure: PeerFailure.NotSent, detail: 'the call is larger than a frame' })
      })
    })
  }

  notify (body: unknown, traceparent: string): void {
    this.#whenProved(() => this.#trySend({ kind: WireKind.Call, id: 0, left: 0, traceparent, body }))
  }

  close (): void {
    this.#socket.destroy()
  }

  #abandon (id: number): PeerReply {
    if (!this.#proved) return { ok: false, failure: PeerFailure.NotSent, detail: 'the deadline passed before the peer answered the handshake' }
    this.#send({ kind: WireKind.Abort, id })
    return { ok: false, failure: PeerFailure.NoReply, detail: 'the deadline passed' }
  }

  #whenProved (action: () => void): void {
    if (this.#proved) action()
    else this.#unsent.push(action)
  }

  #receive (chunk: Buffer): void {
    this.#traffic.bytesIn += chunk.length
    try {
      for (const value of this.#reader.push(chunk)) this.#handle(value as WireFrame)
    } catch {
      this.#socket.destroy()
    }
  }

  #handle (frame: WireFrame): void {
    this.#traffic.framesIn += 1
    if (frame.kind === WireKind.Challenge && this.#serverNonce === undefined) this.#prove(String(frame.nonce))
    else if (frame.kind === WireKind.Welcome && !this.#proved) this.#checkWelcome(frame)
    else if (frame.kind === WireKind.Reply && this.#proved) this.#reply(frame)
    else this.#socket.destroy()
  }

  #prove (serverNonce: string): void {
    const { host, secret } = this.#settings
    this.#serverNonce = serverNonce
    const proof = proofOf(secret, { side: PeerSide.Client, host, clientNonce: this.#nonce, serverNonce })
    this.#send({ kind: WireKind.Proof, host, nonce: this.#nonce, proof })
  }

  /** Nothing but the proof is sent before the server has proved the secret too. */
  #checkWelcome (welcome: WireWelcome): void {
    const host = String(welcome.host)
    const claim = { side: PeerSide.Server, host, clientNonce: this.#nonce, serverNonce: this.#serverNonce ?? '' }
    if (!isProof(this.#settings.secret, claim, String(welcome.proof)) || !isCertified(this.#socket, host)) {
      this.#socket.destroy()
      return
    }
    this.#proved = true
    for (const action of this.#unsent.splice(0)) action()
  }

  #closeUnproved (): void {
    if (!this.#proved) this.#socket.destroy()
  }

  #closeIdle (): void {
    if (this.#waiting.size === 0) this.#socket.destroy()
  }

  #reply (reply: WireReply): void {
    const settle = this.#waiting.get(reply.id)
    if (settle === undefined) return
    if (reply.ok) settle({ ok: true, body: reply.body })
    else settle({ ok: false, failure: PeerFailure.Rejected, detail: String(reply.body) })
  }

  #failAll (): void {
    const failure = this.#proved ? PeerFailure.NoReply : PeerFailure.NotSent
    for (const settle of [...this.#waiting.values()]) settle({ ok: false, failure, detail: 'the connection closed' })
  }

  /** Whether the frame could be made; one that is too large can't. */
  #trySend (frame: WireFrame): boolean {
    try {
      this.#send(frame)
      return true
    } catch {
      return false
    }
  }

  #send (frame: WireFrame): void {
    if (this.#socket.destroyed) return
    const bytes = encodeFrame(frame)
    this.#traffic.bytesOut += bytes.length
    this.#traffic.framesOut += 1
    this.#socket.write(bytes)
  }
}

function openSocket (address: string, certificates: PeerCertificates | undefined): Socket {
  const cut = address.lastIndexOf(':')
  const target = { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) }
  if (certificates === undefined) return connect(target)
  const { certificate, key, authority } = certificates
  // Which host it is, `isCertified` checks by the id once that is known.
  return connectTls({ ...target, cert: certificate, key, ca: authority, checkServerIdentity: () => undefined })
}

/**
 * Calls other processes, over one connection an address.
 *
 * @example
 * const reply = await client.call({ address: '127.0.0.1:7000', body, deadline, traceparent: '' })
 */
export class PeerClient {
  readonly traffic: PeerTraffic = { bytesIn: 0, bytesOut: 0, framesIn: 0, framesOut: 0 }
  readonly #settings: PeerClientSettings
  readonly #links = new Map<string, PeerLink>()

  constructor (settings: PeerClientSettings) {
    this.#settings = settings
  }

  /** Connections that are open now. */
  get connections (): number {
    return this.#links.size
  }

  /** Makes a call and waits for its reply until the deadline. Never rejects. */
  call (call: PeerCall): Promise<PeerReply> {
    return this.#link(call.address).call(call)
  }

  /** Sends a notice that gets no reply and may be lost. */
  notify (address: string, body: unknown, traceparent = ''): void {
    this.#link(address).notify(body, traceparent)
  }

  /** Closes every connection; open calls fail. */
  close (): void {
    for (const link of [...this.#links.values()]) link.close()
  }

  #link (address: string): PeerLink {
    const known = this.#links.get(address)
    if (known !== undefined && !known.closed) return known
    const link = new PeerLink(address, this.#settings, this.traffic, () => {
      if (this.#links.get(address) === link) this.#links.delete(address)
    })
    this.#links.set(address, link)
    return link
  }
}
