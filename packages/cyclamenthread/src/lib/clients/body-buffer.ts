import type { BudgetShare } from './request-budget.js'

/** Sizes of the first and the largest buffer of a body, in bytes. */
const FIRST_BUFFER_BYTES = 4 * 1_024
const MAX_BUFFER_BYTES = 1_024 * 1_024

/**
 * Collects the chunks of a body in buffers that double in size, so that its cost follows
 * from its bytes and not from the number of its chunks.
 */
export class BodyBuffer {
  readonly #share: BudgetShare
  /** Size of the whole body, in bytes, if the request states it. */
  readonly #statedBytes: number | undefined
  readonly #buffers: Buffer[] = []
  /** Bytes in use of the last buffer. */
  #lastUsed = 0
  #size = 0

  constructor (share: BudgetShare, statedBytes: number | undefined) {
    this.#share = share
    this.#statedBytes = statedBytes
  }

  /** Size of what was added, in bytes. */
  get size (): number {
    return this.#size
  }

  /** Adds a chunk; returns false, having added a part of it, if the memory for it doesn't fit the budget. */
  append (chunk: Uint8Array): boolean {
    let offset = 0
    while (offset < chunk.length) {
      const last = this.#buffers.at(-1)
      if (last === undefined || this.#lastUsed === last.length) {
        if (!this.#addBuffer()) return false
        continue
      }
      const part = chunk.subarray(offset, offset + last.length - this.#lastUsed)
      last.set(part, this.#lastUsed)
      this.#lastUsed += part.length
      this.#size += part.length
      offset += part.length
    }
    return true
  }

  /** Joins the body. The copy isn't part of the budget: there is one at a time, since the buffers are dropped with it. */
  join (): Buffer {
    const [only] = this.#buffers
    if (this.#buffers.length === 1 && only !== undefined) return only.subarray(0, this.#size)
    return Buffer.concat(this.#buffers, this.#size)
  }

  #addBuffer (): boolean {
    const doubled = Math.min(MAX_BUFFER_BYTES, Math.max(FIRST_BUFFER_BYTES, this.#size))
    const left = this.#statedBytes === undefined ? doubled : this.#statedBytes - this.#size
    const length = left > 0 ? Math.min(doubled, left) : doubled
    if (!this.#share.reserve(length)) return false
    this.#buffers.push(Buffer.allocUnsafeSlow(length))
    this.#lastUsed = 0
    return true
  }
}
