import { createServer } from 'node:net'
import { createServer as createTlsServer } from 'node:tls'
import { deadlineAfter } from './deadline.js'
import { encodeFrame, FrameReader } from './frame.js'
import { certificateMatchesHost } from './peer-tls.js'
import { createNonce, isCallFrame, isValidProof, PeerSide, computeProof, FrameKind } from './peer-frame.js'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { PeerCertificates } from './peer-tls.js'
import type { CallFrame, PeerFrame, ProofFrame } from './peer-frame.js'

/** Maximum size of a frame from a peer that hasn't authenticated yet, in bytes. */
const MAX_HANDSHAKE_FRAME_BYTES = 4096

/** Time within which a new connection has to authenticate, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 5_000

/** Maximum number of connections that haven't authenticated yet: hosts that all connect at once take milliseconds each. */
const MAX_UNAUTHENTICATED_CONNECTIONS = 256

/** Connections that were closed to make way for others, at all servers of the process. */
let closedConnections = 0

/**
 * Number of connections to the port for other hosts that were closed before they authenticated
 * because there were too many, since the start of the process.
 *
 * @example
 * log.registerGauge('connections', 'Closed connections.', () => [['peer', closedPeerConnections()]])
 */
export function closedPeerConnections (): number {
  return closedConnections
}

/** Metadata of a call, passed to its handler. */
export interface CallContext {
  /** Authenticated id of the calling host. */
  readonly from: string
  /** Monotonic time after which the caller no longer waits for the reply, in milliseconds. */
  readonly deadline: number
  readonly traceparent: string
  /** Aborts when the caller disconnects or no longer waits for the reply. */
  readonly signal: AbortSignal
}

/** Handles one call. A rejection is sent to the caller as a failed reply. */
export type CallHandler = (body: unknown, context: CallContext) => Promise<unknown>

/** Number of bytes and frames that a server or client has received and sent. */
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
  /** Id of this host, proved to the client in the handshake. */
  readonly id: string
  readonly secret: string
  /** Enables TLS; clients then need a certificate of the same authority. */
  readonly certificates?: PeerCertificates
  readonly handler: CallHandler
}

/** An accepted connection and its pending calls. */
class ServerConnection {
  readonly #socket: Socket
  readonly #settings: PeerServerSettings
  readonly #traffic: PeerTraffic
  readonly #nonce = createNonce()
  readonly #calls = new Map<number, AbortController>()
  readonly #closed = new AbortController()
  #reader = new FrameReader(MAX_HANDSHAKE_FRAME_BYTES)
  #peerHostId: string | undefined

  readonly #onAuthenticated: () => void

  constructor (socket: Socket, settings: PeerServerSettings, traffic: PeerTraffic, onAuthenticated: () => void) {
    this.#onAuthenticated = onAuthenticated
    this.#socket = socket
    this.#settings = settings
    this.#traffic = traffic
  }

  start (): void {
    const timer = setTimeout(() => this.#socket.destroy(), HANDSHAKE_TIMEOUT_MS)
    timer.unref()
    this.#socket.setNoDelay(true)
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('data', (chunk: Buffer) => {
      this.#receiveChunk(chunk)
      if (this.#peerHostId !== undefined) clearTimeout(timer)
    })
    this.#socket.on('close', () => {
      clearTimeout(timer)
      this.#closed.abort()
      for (const call of this.#calls.values()) call.abort()
    })
    this.#send({ kind: FrameKind.Challenge, nonce: this.#nonce })
  }

  #receiveChunk (chunk: Buffer): void {
    this.#traffic.bytesIn += chunk.length
    try {
      for (const value of this.#reader.push(chunk)) this.#handleFrame(value as PeerFrame)
    } catch {
      // The peer violated the protocol; nothing from the invalid frame on was processed.
      this.#socket.destroy()
    }
  }

  #handleFrame (frame: PeerFrame): void {
    this.#traffic.framesIn += 1
    if (this.#peerHostId === undefined) {
      this.#verifyProof(frame)
      return
    }
    if (isCallFrame(frame)) void this.#handleCall(frame)
    else if (frame.kind === FrameKind.Abort) this.#calls.get(frame.id)?.abort()
    else this.#socket.destroy()
  }

  #verifyProof (frame: PeerFrame): void {
    const proof = frame as ProofFrame
    const host = String(proof.host)
    const nonces = { clientNonce: String(proof.nonce), serverNonce: this.#nonce }
    const accepted = proof.kind === FrameKind.Proof &&
      isValidProof(this.#settings.secret, { side: PeerSide.Client, host, ...nonces }, String(proof.proof)) &&
      certificateMatchesHost(this.#socket, host)
    if (!accepted) {
      this.#socket.destroy()
      return
    }
    this.#peerHostId = host
    this.#reader = new FrameReader()
    this.#onAuthenticated()
    const { id, secret } = this.#settings
    this.#send({ kind: FrameKind.Welcome, host: id, proof: computeProof(secret, { side: PeerSide.Server, host: id, ...nonces }) })
  }

  async #handleCall (call: CallFrame): Promise<void> {
    const abort = new AbortController()
    if (call.id !== 0) this.#calls.set(call.id, abort)
    const context: CallContext = {
      from: this.#peerHostId ?? '',
      deadline: deadlineAfter(call.left),
      traceparent: call.traceparent,
      signal: abort.signal
    }
    const reply = await this.#settings.handler(call.body, context).then(
      (body) => ({ ok: true, body }),
      (error: unknown) => ({ ok: false, body: error instanceof Error ? error.message : String(error) })
    )
    this.#calls.delete(call.id)
    if (call.id !== 0) this.#sendReply(call.id, reply)
  }

  #sendReply (id: number, reply: { readonly ok: boolean, readonly body: unknown }): void {
    try {
      this.#send({ kind: FrameKind.Reply, id, ...reply })
    } catch {
      this.#send({ kind: FrameKind.Reply, id, ok: false, body: 'reply exceeds the maximum frame size' })
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

/**
 * Accepts connections from other processes and handles their calls. A peer that
 * hasn't proved that it knows the cluster secret receives only a challenge.
 */
export class PeerServer {
  readonly traffic: PeerTraffic = { bytesIn: 0, bytesOut: 0, framesIn: 0, framesOut: 0 }
  readonly #settings: PeerServerSettings
  readonly #server: Server
  readonly #connections = new Set<Socket>()
  /** Connections that haven't authenticated, oldest first. */
  readonly #unauthenticated = new Set<Socket>()

  constructor (settings: PeerServerSettings) {
    this.#settings = settings
    const { certificates } = settings
    this.#server = certificates === undefined
      ? createServer((socket) => this.#accept(socket))
      : createTlsServer({ cert: certificates.certificate, key: certificates.key, ca: certificates.authority, requestCert: true, rejectUnauthorized: true, handshakeTimeout: HANDSHAKE_TIMEOUT_MS }, (socket) => this.#accept(socket))
  }

  /**
   * Starts listening.
   *
   * @returns the bound port
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
    for (const socket of this.#connections) socket.destroy()
    await closed
  }

  /** Accepts a connection. Beyond the limit the oldest unproved one makes way, so that such clients can't keep hosts out. */
  #accept (socket: Socket): void {
    const [oldest] = this.#unauthenticated
    if (this.#unauthenticated.size >= MAX_UNAUTHENTICATED_CONNECTIONS && oldest !== undefined) {
      this.#unauthenticated.delete(oldest)
      oldest.destroy()
      closedConnections += 1
    }
    this.#connections.add(socket)
    this.#unauthenticated.add(socket)
    socket.on('close', () => {
      this.#connections.delete(socket)
      this.#unauthenticated.delete(socket)
    })
    new ServerConnection(socket, this.#settings, this.traffic, () => this.#unauthenticated.delete(socket)).start()
  }
}
