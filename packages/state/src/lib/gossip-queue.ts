/**
 * What is new and has to be told to other hosts, each item a bounded number of
 * times, the least told first. Enough tellings reach every host with high
 * probability; what still misses one is found by comparing digests.
 *
 * @example
 * const queue = new GossipQueue()
 * queue.add('host-1')
 * queue.take(6, 12) // ['host-1'], twelve times in all
 */
export class GossipQueue {
  readonly #sendCounts = new Map<string, number>()

  get size (): number {
    return this.#sendCounts.size
  }

  /** Starts, or starts again, to tell an item. */
  add (item: string): void {
    this.#sendCounts.set(item, 0)
  }

  /** Stops telling an item. */
  remove (item: string): void {
    this.#sendCounts.delete(item)
  }

  /**
   * Items for one message.
   *
   * @param count most items to take
   * @param transmissions how often each is told in all
   */
  take (count: number, transmissions: number): string[] {
    const items = [...this.#sendCounts].sort(([, a], [, b]) => a - b).slice(0, count)
    for (const [item, sent] of items) {
      if (sent + 1 >= transmissions) this.#sendCounts.delete(item)
      else this.#sendCounts.set(item, sent + 1)
    }
    return items.map(([item]) => item)
  }
}
