import { MAX_OPEN_REQUESTS, RESPONSE_TIMEOUT_MS } from './client-limits.js'
import { ClientLimit } from './client-guard.js'
import { MessagePart, MessageSplitter } from './message-splitter.js'
import type { Socket } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CallerLimits } from '@cyclamenthread/state'

/** Fraction of the idle time after which callers no longer reuse a connection. */
const REUSE_FRACTION = 0.8

/** Response to a head that did not come in time; nothing of its request has run. */
const HEAD_TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/** Pieces of a connection that are parsed in one turn of the event loop. */
const MAX_PIECES = 4

type Receiver = (chunk: Buffer) => void

/** A socket with the mark that Node's server sets while responses wait to be written. */
type PausableSocket = Socket & { readonly _paused?: boolean }

/**
 * A connection of a caller. Gives Node's parser one message at a time, and stops reading
 * while as many requests as allowed have no response that was handed to the kernel.
 */
export class CallerConnection {
  readonly #socket: Socket
  readonly #limits: () => CallerLimits
  readonly #parse: Receiver
  readonly #splitter = new MessageSplitter()
  /** Callbacks of open requests for the end of the connection. */
  readonly #open = new Set<() => void>()
  /** The request whose body is being received. */
  #receiving: IncomingMessage | undefined
  #isHeld = false
  #isResuming = false
  /** The parser has answered a message itself, and ends the connection. */
  #isEnding = false
  /** Number of requests so far. */
  #requests = 0
  /** Number of responses that are being written. */
  #writing = 0
  /** Monotonic milliseconds; undefined while no such deadline applies. */
  #headDeadline: number | undefined
  #writeDeadline: number | undefined
  #idleSince = performance.now()

  /** @param socket a connection to which an HTTP server has attached its parser */
  constructor (socket: Socket, limits: () => CallerLimits) {
    this.#socket = socket
    this.#limits = limits
    const [parse] = socket.listeners('data')
    if (parse === undefined) throw new Error('the connection has no parser')
    this.#parse = parse as Receiver
    socket.removeListener('data', this.#parse)
    socket.on('data', (chunk: Buffer) => this.#receive(chunk))
    socket.on('close', () => {
      for (const end of this.#open) end()
    })
  }

  /** Counts a request as open until the returned function is called; calls back if the connection closes before. */
  beginRequest (request: IncomingMessage, response: ServerResponse, onClose: () => void): void {
    this.#requests += 1
    this.#headDeadline = undefined
    this.#receiving = request
    const stated = Number(request.headers['content-length'] ?? 0)
    if (request.headers['transfer-encoding'] !== undefined) this.#splitter.beginBody(MessagePart.ChunkedBody)
    else if (stated > 0) this.#splitter.beginBody(MessagePart.SizedBody, stated)
    else this.#splitter.beginMessage()
    const end = (): void => {
      if (!this.#open.delete(end)) return
      onClose()
      if (this.#open.size === 0) this.#idleSince = performance.now()
      if (this.#isHeld) this.#resumeLater()
    }
    this.#open.add(end)
    response.on('close', end)
  }

  /** A response is being written; the client has to take it in time. */
  beginResponse (): void {
    this.#writing += 1
    this.#writeDeadline ??= performance.now() + RESPONSE_TIMEOUT_MS
  }

  /** A response was handed to the kernel. */
  endResponse (): void {
    this.#writing -= 1
    this.#writeDeadline = this.#writing > 0 ? performance.now() + RESPONSE_TIMEOUT_MS : undefined
  }

  /** Whether no client that keeps to the limits uses the connection any more, or its first head is late. */
  isDisplaceable (now: number): boolean {
    if (this.#open.size > 0) return false
    const { headerTimeoutMs, idleTimeoutMs } = this.#limits()
    return now - this.#idleSince >= (this.#requests > 0 ? idleTimeoutMs * REUSE_FRACTION : headerTimeoutMs)
  }

  /** Ends the connection if one of its deadlines has passed; returns which. */
  endIfLate (now: number): ClientLimit | undefined {
    // A response that waits for an earlier one of its connection isn't among the unwritten bytes.
    if (this.#writeDeadline !== undefined && now >= this.#writeDeadline && this.#socket.writableLength > 0) return this.#destroy(ClientLimit.Unread)
    if (this.#open.size > 0) return undefined
    if (this.#headDeadline !== undefined) {
      if (now < this.#headDeadline) return undefined
      if (this.#isEnding) return this.#destroy(ClientLimit.Unread)
      this.#socket.write(HEAD_TIMEOUT_RESPONSE)
      return this.#destroy(ClientLimit.SlowHead)
    }
    return now - this.#idleSince >= this.#limits().idleTimeoutMs ? this.#destroy(ClientLimit.Idle) : undefined
  }

  destroy (): void {
    this.#socket.destroy()
  }

  /** Resumes in the next turn of the event loop: the bytes that were read may contain thousands of requests or chunks, and other connections have to be served between them. */
  #resumeLater (): void {
    if (this.#isResuming) return
    this.#isResuming = true
    setImmediate(() => this.#resume())
  }

  #resume (): void {
    this.#isResuming = false
    this.#isHeld = false
    // While Node's server has paused its parser as well, it resumes the connection itself.
    if ((this.#socket as PausableSocket)._paused !== true) this.#socket.resume()
  }

  #destroy (limit: ClientLimit): ClientLimit {
    this.#socket.destroy()
    return limit
  }

  #receive (chunk: Buffer): void {
    let offset = 0
    let pieces = 0
    while (offset < chunk.length && !this.#isEnding && !this.#socket.destroyed) {
      const isBetweenMessages = this.#splitter.part === MessagePart.Head && !this.#splitter.isInHead
      if (isBetweenMessages && this.#open.size >= MAX_OPEN_REQUESTS) this.#isHeld = true
      if (!this.#isHeld && pieces === MAX_PIECES) {
        this.#isHeld = true
        this.#resumeLater()
      }
      if (this.#isHeld || (offset > 0 && this.#socket.isPaused())) {
        this.#socket.pause()
        this.#socket.unshift(chunk.subarray(offset))
        return
      }
      const end = this.#splitter.endOfPiece(chunk, offset)
      this.#parsePiece(chunk.subarray(offset, end), end < chunk.length)
      offset = end
      pieces = this.#splitter.isDense ? MAX_PIECES : pieces + 1
    }
  }

  #parsePiece (piece: Buffer, isFollowed: boolean): void {
    const requests = this.#requests
    const isHead = this.#splitter.part === MessagePart.Head
    if (isHead) this.#headDeadline ??= performance.now() + this.#limits().headerTimeoutMs
    this.#parse.call(this.#socket, piece)
    if (isHead && requests === this.#requests) {
      // A whole head without a request: the parser has answered it and closes the connection.
      if (isFollowed && this.#splitter.isInHead) this.#isEnding = true
      return
    }
    if (this.#receiving?.complete === true || this.#splitter.isBodyRead) {
      this.#receiving = undefined
      this.#splitter.beginMessage()
    }
  }
}
