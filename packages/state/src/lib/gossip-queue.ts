/**
 * Queue of updates to disseminate by gossip. Each item is sent a bounded number of
 * times, least-sent first. With enough transmissions an item reaches every host
 * with high probability; remaining gaps are found by comparing digests.
 *
 * @example
 * const queue = new GossipQueue()
 * queue.add('host-1')
 * queue.take(6, 12) // ['host-1'], for the first twelve calls
 */
export class GossipQueue {
  readonly #sendCounts = new Map<string, number>()

  get size (): number {
    return this.#sendCounts.size
  }

  /** Adds an item, or restarts its dissemination. */
  add (item: string): void {
    this.#sendCounts.set(item, 0)
  }

  /** Stops the dissemination of an item. */
  remove (item: string): void {
    this.#sendCounts.delete(item)
  }

  /**
   * Takes the items for one message.
   *
   * @param count maximum number of items
   * @param transmissions how often each item is sent in total
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
