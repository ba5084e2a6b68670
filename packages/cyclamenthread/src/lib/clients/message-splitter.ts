/**
 * Lines of a chunked body after which a piece ends if they are short, and their mean length, in bytes, below which they are.
 * A chunk has two lines and costs the parser some microseconds, however small it is.
 */
const MAX_SHORT_LINES = 64
const SHORT_LINE_BYTES = 64

const LINE_FEED = 10
const CARRIAGE_RETURN = 13

/** What the next bytes of a connection belong to. */
export enum MessagePart {
  Head = 'head',
  /** A body whose size its head states. */
  SizedBody = 'sized-body',
  ChunkedBody = 'chunked-body'
}

/**
 * Splits what a connection receives, so that no piece contains the ends of two messages.
 * Node's parser handles all requests of the bytes that it is given before a server can
 * pause it: 64 KB contain up to 2,600 requests, each of which has a request and a response object.
 *
 * A head and a chunked body end with an empty line, and any empty line ends a piece.
 *
 * @example
 * const end = splitter.endOfPiece(chunk, offset)
 * parse(chunk.subarray(offset, end))
 */
export class MessageSplitter {
  #part = MessagePart.Head
  /** Bytes of a sized body that haven't come. */
  #bodyLeft = 0
  #isLineEmpty = true
  /** Whether the current message has begun; empty lines may come before it. */
  #hasBegun = false
  #isDense = false

  /** Whether the last piece ended because of many short lines of a chunked body. */
  get isDense (): boolean {
    return this.#isDense
  }

  get part (): MessagePart {
    return this.#part
  }

  /** Whether a part of a head has come. */
  get isInHead (): boolean {
    return this.#part === MessagePart.Head && this.#hasBegun
  }

  /** Sets what follows a head; a sized body has at least one byte. */
  beginBody (part: MessagePart, bytes = 0): void {
    this.#part = part
    this.#bodyLeft = bytes
    this.#isLineEmpty = true
  }

  /** The next byte is the first of a message. */
  beginMessage (): void {
    this.#part = MessagePart.Head
    this.#hasBegun = false
    this.#isLineEmpty = true
  }

  /** Returns the index after the last byte of the piece that begins at an offset. */
  endOfPiece (chunk: Uint8Array, offset: number): number {
    this.#isDense = false
    if (this.#part === MessagePart.SizedBody) {
      const end = Math.min(chunk.length, offset + this.#bodyLeft)
      this.#bodyLeft -= end - offset
      return end
    }
    let lines = 0
    for (let index = offset; index < chunk.length; index += 1) {
      const byte = chunk[index]
      if (byte === LINE_FEED) {
        lines += 1
        this.#isDense = this.#part === MessagePart.ChunkedBody && lines >= MAX_SHORT_LINES && index - offset < lines * SHORT_LINE_BYTES
        if (this.#isLineEmpty || this.#isDense) {
          this.#isLineEmpty = true
          return index + 1
        }
        this.#isLineEmpty = true
      } else if (byte !== CARRIAGE_RETURN) {
        this.#isLineEmpty = false
        this.#hasBegun = true
      }
    }
    return chunk.length
  }

  /** Whether the sized body has come whole. */
  get isBodyRead (): boolean {
    return this.#part === MessagePart.SizedBody && this.#bodyLeft === 0
  }
}
