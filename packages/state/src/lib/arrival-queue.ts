import type { SlotRequest } from './cell-event.js'

/**
 * A FIFO queue of requests that supports removal from any position. All operations
 * take amortised O(1). A plain `Set` is not used because reading its first item
 * costs O(removed): deleted entries stay in its table for a while.
 *
 * Invariant: `#waiting` holds the requests that are still waiting, and the item
 * at `#head` is one of them unless there are none.
 *
 * @internal
 */
export class ArrivalQueue {
  #items: SlotRequest[] = []
  #head = 0
  readonly #waiting = new Set<SlotRequest>()

  get size (): number {
    return this.#waiting.size
  }

  push (request: SlotRequest): void {
    this.#items.push(request)
    this.#waiting.add(request)
  }

  /** Returns the oldest waiting request. */
  peek (): SlotRequest | undefined {
    return this.#items[this.#head]
  }

  delete (request: SlotRequest): void {
    this.#waiting.delete(request)
    while (this.#head < this.#items.length && !this.#waiting.has(this.#items[this.#head] as SlotRequest)) this.#head += 1
    if (this.#items.length <= 2 * (this.#waiting.size + 1)) return
    this.#items = this.#items.filter((item) => this.#waiting.has(item))
    this.#head = 0
  }
}
