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
  readonly #told = new Map<string, number>()

  get size (): number {
    return this.#told.size
  }

  /** Starts, or starts again, to tell an item. */
  add (item: string): void {
    this.#told.set(item, 0)
  }

  /** Stops telling an item. */
  remove (item: string): void {
    this.#told.delete(item)
  }

  /**
   * Items for one message.
   *
   * @param count most items to take
   * @param tellings how often each is told in all
   */
  take (count: number, tellings: number): string[] {
    const items = [...this.#told].sort(([, a], [, b]) => a - b).slice(0, count)
    for (const [item, told] of items) {
      if (told + 1 >= tellings) this.#told.delete(item)
      else this.#told.set(item, told + 1)
    }
    return items.map(([item]) => item)
  }
}
