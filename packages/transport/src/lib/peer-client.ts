import { connect } from 'node:net'
import { timeLeft } from './deadline.js'
import { encodeFrame, FrameReader } from './frame.js'
import { proofOf, WireKind } from './peer-wire.js'
import type { Socket } from 'node:net'
import type { PeerTraffic } from './peer-server.js'
import type { WireFrame, WireReply } from './peer-wire.js'

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
  #proved = false
  #nextId = 1
  closed = false

  constructor (address: string, settings: PeerClientSettings, traffic: PeerTraffic, onClose: () => void) {
    this.#settings = settings
    this.#traffic = traffic
    const cut = address.lastIndexOf(':')
    this.#socket = connect({ host: address.slice(0, cut), port: Number(address.slice(cut + 1)) })
    this.#socket.setNoDelay(true)
    this.#socket.setTimeout(settings.connectTimeoutMs, () => {
      if (!this.#proved) this.#socket.destroy()
    })
    this.#socket.on('data', (chunk: Buffer) => this.#receive(chunk))
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('close', () => {
      this.closed = true
      onClose()
      this.#failAll()
    })
  }

  call (call: PeerCall): Promise<PeerReply> {
    return new Promise((resolve) => {
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
        if (this.#waiting.has(id)) this.#send({ kind: WireKind.Call, id, left: timeLeft(call.deadline), traceparent: call.traceparent, body: call.body })
      })
    })
  }

  notify (body: unknown, traceparent: string): void {
    this.#whenProved(() => this.#send({ kind: WireKind.Call, id: 0, left: 0, traceparent, body }))
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
    if (frame.kind === WireKind.Challenge && !this.#proved) this.#prove(frame.nonce)
    else if (frame.kind === WireKind.Reply) this.#reply(frame)
  }

  #prove (nonce: string): void {
    const { host, secret } = this.#settings
    this.#send({ kind: WireKind.Proof, host, proof: proofOf(secret, nonce, host) })
    this.#proved = true
    for (const action of this.#unsent.splice(0)) action()
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

  #send (frame: WireFrame): void {
    if (this.#socket.destroyed) return
    const bytes = encodeFrame(frame)
    this.#traffic.bytesOut += bytes.length
    this.#traffic.framesOut += 1
    this.#socket.write(bytes)
  }
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
