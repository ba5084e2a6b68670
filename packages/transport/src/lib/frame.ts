import { Decoder, Encoder } from 'cbor-x'

/** Size of the length prefix of a frame, in bytes. */
const LENGTH_BYTES = 4

/** Maximum size of a frame, in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024

/** Size up to which received chunks are joined, in bytes. */
const SMALL_CHUNK_BYTES = 1_024

/** Thrown for an invalid or oversized frame. A connection that received one can't be used any further. */
export class FrameError extends Error {
  override readonly name = 'FrameError'
}

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

/**
 * Encodes a value as a frame: a four-byte length, then CBOR.
 *
 * @throws {FrameError} if the encoded value exceeds the maximum frame size
 * @example
 * socket.write(encodeFrame({ id: 1 }))
 */
export function encodeFrame (value: unknown): Buffer {
  const body = encoder.encode(value)
  if (body.length > MAX_FRAME_BYTES) throw new FrameError(`frame of ${body.length} bytes exceeds the maximum of ${MAX_FRAME_BYTES} bytes`)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  frame.set(body, LENGTH_BYTES)
  return frame
}

/**
 * Splits a byte stream into frames and decodes them.
 *
 * Invariant: buffers at most one incomplete frame, whose length was checked.
 */
export class FrameReader {
  readonly #maxBytes: number
  #chunks: Buffer[] = []
  #buffered = 0

  /** @param maxBytes maximum size of a frame, in bytes */
  constructor (maxBytes: number = MAX_FRAME_BYTES) {
    this.#maxBytes = maxBytes
  }

  /**
   * Adds received bytes and returns the values of all frames that are now complete.
   *
   * @throws {FrameError} if a frame is too large or isn't valid CBOR
   * @example
   * for (const value of reader.push(chunk)) handle(value)
   */
  push (chunk: Buffer): unknown[] {
    this.#addChunk(chunk)
    this.#buffered += chunk.length
    const values: unknown[] = []
    for (;;) {
      const body = this.#takeBody()
      if (body === undefined) return values
      values.push(decodeBody(body))
    }
  }

  /** Adds a chunk; small ones are joined, since each chunk costs more than its bytes. */
  #addChunk (chunk: Buffer): void {
    const last = this.#chunks.at(-1)
    if (last !== undefined && last.length + chunk.length <= SMALL_CHUNK_BYTES) this.#chunks[this.#chunks.length - 1] = Buffer.concat([last, chunk])
    else this.#chunks.push(chunk)
  }

  #takeBody (): Buffer | undefined {
    if (this.#buffered < LENGTH_BYTES) return undefined
    const length = this.#peekLength()
    if (length > this.#maxBytes) throw new FrameError(`frame of ${length} bytes exceeds the maximum of ${this.#maxBytes} bytes`)
    if (this.#buffered < LENGTH_BYTES + length) return undefined
    const all = this.#joinChunks()
    const body = all.subarray(LENGTH_BYTES, LENGTH_BYTES + length)
    const rest = all.subarray(LENGTH_BYTES + length)
    this.#chunks = rest.length > 0 ? [rest] : []
    this.#buffered = rest.length
    return body
  }

  #peekLength (): number {
    const first = this.#chunks[0]
    if (first !== undefined && first.length >= LENGTH_BYTES) return first.readUInt32BE(0)
    return this.#joinChunks().readUInt32BE(0)
  }

  /** Concatenates the buffered chunks. Called only once a frame is complete, so that a large frame is copied once. */
  #joinChunks (): Buffer {
    const [only] = this.#chunks
    if (this.#chunks.length === 1 && only !== undefined) return only
    const all = Buffer.concat(this.#chunks, this.#buffered)
    this.#chunks = [all]
    return all
  }
}

function decodeBody (body: Buffer): unknown {
  try {
    return decoder.decode(body)
  } catch (cause) {
    throw new FrameError('frame is not valid CBOR', { cause })
  }
}
