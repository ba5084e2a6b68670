/**
 * A binary min-heap whose items can be reordered and removed in O(log n).
 *
 * Invariant: `#positions` holds the index of every item of `#items`.
 *
 * @internal
 */
export class IndexedHeap<Item> {
  readonly #items: Item[] = []
  readonly #positions = new Map<Item, number>()
  readonly #precedes: (a: Item, b: Item) => boolean

  /** @param precedes whether the first item goes before the second; must be a strict order */
  constructor (precedes: (a: Item, b: Item) => boolean) {
    this.#precedes = precedes
  }

  /** Returns the first item, if there is one. */
  peek (): Item | undefined {
    return this.#items[0]
  }

  /** Adds an item, or restores its position after its order changed. */
  put (item: Item): void {
    let index = this.#positions.get(item)
    if (index === undefined) {
      index = this.#items.length
      this.#items.push(item)
      this.#positions.set(item, index)
    }
    this.#siftDown(this.#siftUp(index))
  }

  /** Removes an item, if present. */
  delete (item: Item): void {
    const index = this.#positions.get(item)
    if (index === undefined) return
    this.#positions.delete(item)
    const last = this.#items.pop()
    if (last === undefined || last === item) return
    this.#items[index] = last
    this.#positions.set(last, index)
    this.#siftDown(this.#siftUp(index))
  }

  #siftUp (start: number): number {
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(index, parent)) break
      this.#swap(index, parent)
      index = parent
    }
    return index
  }

  #siftDown (start: number): void {
    let index = start
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      const child = right < this.#items.length && this.#isBefore(right, left) ? right : left
      if (child >= this.#items.length || !this.#isBefore(child, index)) return
      this.#swap(index, child)
      index = child
    }
  }

  #isBefore (a: number, b: number): boolean {
    return this.#precedes(this.#items[a] as Item, this.#items[b] as Item)
  }

  #swap (a: number, b: number): void {
    const first = this.#items[a] as Item
    const second = this.#items[b] as Item
    this.#items[a] = second
    this.#items[b] = first
    this.#positions.set(second, a)
    this.#positions.set(first, b)
  }
}
