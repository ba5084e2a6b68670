import { createServer } from 'node:net'
import { deadlineAfter } from './deadline.js'
import { encodeFrame, FrameReader } from './frame.js'
import { createNonce, isProof, WireKind } from './peer-wire.js'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { WireCall, WireFrame, WireProof } from './peer-wire.js'

/** Largest frame accepted before the peer has proved the cluster secret, in bytes. */
const MAX_PROOF_BYTES = 4096

/** Longest a new connection may take to prove the cluster secret, in milliseconds. */
const PROOF_TIMEOUT_MS = 5_000

/** What a handler learns of a call besides its body. */
export interface CallContext {
  /** Host that called, as proved. */
  readonly from: string
  /** Monotonic milliseconds after which nobody waits for the reply. */
  readonly deadline: number
  readonly traceparent: string
  /** Aborts when the caller goes away or no longer waits. */
  readonly signal: AbortSignal
}

/** Answers one call. A rejection is sent to the caller as a failed reply. */
export type CallHandler = (body: unknown, context: CallContext) => Promise<unknown>

/** Bytes and frames that a server or client has moved. */
export interface PeerTraffic {
  bytesIn: number
  bytesOut: number
  framesIn: number
  framesOut: number
}

/** Settings of a peer server. */
export interface PeerServerSettings {
  readonly host: string
  readonly port: number
  readonly secret: string
  readonly handler: CallHandler
}

/** One accepted connection and the calls it has open. */
class PeerConnection {
  readonly #socket: Socket
  readonly #settings: PeerServerSettings
  readonly #traffic: PeerTraffic
  readonly #nonce = createNonce()
  readonly #calls = new Map<number, AbortController>()
  readonly #closed = new AbortController()
  #reader = new FrameReader(MAX_PROOF_BYTES)
  #from: string | undefined

  constructor (socket: Socket, settings: PeerServerSettings, traffic: PeerTraffic) {
    this.#socket = socket
    this.#settings = settings
    this.#traffic = traffic
  }

  start (): void {
    const timer = setTimeout(() => this.#socket.destroy(), PROOF_TIMEOUT_MS)
    timer.unref()
    this.#socket.setNoDelay(true)
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('data', (chunk: Buffer) => {
      this.#receive(chunk)
      if (this.#from !== undefined) clearTimeout(timer)
    })
    this.#socket.on('close', () => {
      clearTimeout(timer)
      this.#closed.abort()
      for (const call of this.#calls.values()) call.abort()
    })
    this.#send({ kind: WireKind.Challenge, nonce: this.#nonce })
  }

  #receive (chunk: Buffer): void {
    this.#traffic.bytesIn += chunk.length
    try {
      for (const value of this.#reader.push(chunk)) this.#handle(value as WireFrame)
    } catch {
      // A peer that does not speak the protocol is cut off; nothing it sent was acted on.
      this.#socket.destroy()
    }
  }

  #handle (frame: WireFrame): void {
    this.#traffic.framesIn += 1
    if (this.#from === undefined) {
      this.#prove(frame)
      return
    }
    if (frame.kind === WireKind.Call) void this.#call(frame)
    else if (frame.kind === WireKind.Abort) this.#calls.get(frame.id)?.abort()
  }

  #prove (frame: WireFrame): void {
    const proof = frame as WireProof
    const accepted = proof.kind === WireKind.Proof && isProof(this.#settings.secret, this.#nonce, String(proof.host), String(proof.proof))
    if (!accepted) {
      this.#socket.destroy()
      return
    }
    this.#from = proof.host
    this.#reader = new FrameReader()
  }

  async #call (call: WireCall): Promise<void> {
    const abort = new AbortController()
    if (call.id !== 0) this.#calls.set(call.id, abort)
    const context: CallContext = {
      from: this.#from ?? '',
      deadline: deadlineAfter(call.left),
      traceparent: call.traceparent,
      signal: abort.signal
    }
    const reply = await this.#settings.handler(call.body, context).then(
      (body) => ({ ok: true, body }),
      (error: unknown) => ({ ok: false, body: error instanceof Error ? error.message : String(error) })
    )
    this.#calls.delete(call.id)
    if (call.id !== 0) this.#send({ kind: WireKind.Reply, id: call.id, ...reply })
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
 * Accepts the connections of other processes and answers their calls. Only a
 * peer that proves the cluster secret gets anything but a challenge.
 */
export class PeerServer {
  readonly traffic: PeerTraffic = { bytesIn: 0, bytesOut: 0, framesIn: 0, framesOut: 0 }
  readonly #settings: PeerServerSettings
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  constructor (settings: PeerServerSettings) {
    this.#settings = settings
    this.#server = createServer((socket) => this.#accept(socket))
  }

  /**
   * Opens the port.
   *
   * @returns the port that was bound
   * @example
   * const port = await server.listen()
   */
  async listen (): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#settings.port, this.#settings.host, () => resolve())
    })
    return (this.#server.address() as AddressInfo).port
  }

  /** Closes the port and every connection. */
  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()))
    for (const socket of this.#sockets) socket.destroy()
    await closed
  }

  #accept (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    new PeerConnection(socket, this.#settings, this.traffic).start()
  }
}
