import type { SlotRequest } from './cell-event.js'

/**
 * Requests in order of arrival; any of them can be removed. All operations cost
 * O(1), averaged over the life of a request. (The first item of a `Set` would
 * cost O(removed): deleted entries stay in its table for a while.)
 *
 * Invariant: `#live` holds the requests that are still waiting, and the first
 * of `#items` from `#head` on is live unless none is.
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

  /** The request that came first. */
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
