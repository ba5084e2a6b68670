import { Decoder, Encoder } from 'cbor-x'

/** Bytes of the length that precedes each frame. */
const LENGTH_BYTES = 4

/** Largest frame that is accepted, in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024

/** A peer sent something that is not a frame. Its connection can't be used any further. */
export class FrameError extends Error {
  override readonly name = 'FrameError'
}

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

/**
 * Encodes one value as a frame: four bytes of length, then CBOR.
 *
 * @throws {FrameError} when the value is larger than a frame may be.
 * @example
 * socket.write(encodeFrame({ id: 1 }))
 */
export function encodeFrame (value: unknown): Buffer {
  const body = encoder.encode(value)
  if (body.length > MAX_FRAME_BYTES) throw new FrameError(`a frame of ${body.length} bytes exceeds ${MAX_FRAME_BYTES}`)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  frame.set(body, LENGTH_BYTES)
  return frame
}

/**
 * Cuts a byte stream into frames and decodes them.
 *
 * Invariant: holds at most one incomplete frame, whose length was checked.
 */
export class FrameReader {
  readonly #maxBytes: number
  #chunks: Buffer[] = []
  #buffered = 0

  /** @param maxBytes largest frame accepted, in bytes */
  constructor (maxBytes: number = MAX_FRAME_BYTES) {
    this.#maxBytes = maxBytes
  }

  /**
   * Takes received bytes and returns the values they complete.
   *
   * @throws {FrameError} when the bytes are no frame.
   * @example
   * for (const value of reader.push(chunk)) handle(value)
   */
  push (chunk: Buffer): unknown[] {
    this.#chunks.push(chunk)
    this.#buffered += chunk.length
    const values: unknown[] = []
    for (;;) {
      const body = this.#takeBody()
      if (body === undefined) return values
      values.push(decodeBody(body))
    }
  }

  #takeBody (): Buffer | undefined {
    if (this.#buffered < LENGTH_BYTES) return undefined
    const length = this.#peekLength()
    if (length > this.#maxBytes) throw new FrameError(`a frame of ${length} bytes exceeds ${this.#maxBytes}`)
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

  /** Joins the chunks only when a frame is complete, so that a large one is copied once. */
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
    throw new FrameError('a frame is not valid CBOR', { cause })
  }
}
