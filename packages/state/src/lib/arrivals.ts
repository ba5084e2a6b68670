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
export class Arrivals {
  #items: SlotRequest[] = []
  #head = 0
  readonly #live = new Set<SlotRequest>()

  get size (): number {
    return this.#live.size
  }

  push (request: SlotRequest): void {
    this.#items.push(request)
    this.#live.add(request)
  }

  /** The request that came first. */
  peek (): SlotRequest | undefined {
    return this.#items[this.#head]
  }

  delete (request: SlotRequest): void {
    this.#live.delete(request)
    while (this.#head < this.#items.length && !this.#live.has(this.#items[this.#head] as SlotRequest)) this.#head += 1
    if (this.#items.length <= 2 * (this.#live.size + 1)) return
    this.#items = this.#items.filter((item) => this.#live.has(item))
    this.#head = 0
  }
}
