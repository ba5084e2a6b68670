import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/**
 * The order in which a host probes the others: each once per round, reshuffled for
 * every round, so that the time until a crashed host is probed is bounded.
 */
export class ProbeOrder {
  readonly #random: () => number
  #round: string[] = []

  /** @param random source of numbers in [0, 1) */
  constructor (random: () => number) {
    this.#random = random
  }

  /** Moves a host to the front of the current round. */
  moveToFront (hostId: string): void {
    this.#round = [hostId, ...this.#round.filter((other) => other !== hostId)]
  }

  /**
   * Returns the next host to probe, or undefined if there is none.
   *
   * @param candidates hosts that may be probed
   */
  next (candidates: readonly string[]): string | undefined {
    const allowed = new Set(candidates)
    for (;;) {
      const hostId = this.#round.shift()
      if (hostId === undefined) break
      if (allowed.has(hostId)) return hostId
    }
    this.#round = shuffled(candidates, this.#random)
    return this.#round.shift()
  }
}

/**
 * Returns a copy in random order.
 *
 * @example
 * shuffled(['a', 'b', 'c'], Math.random)
 */
export function shuffled<Item> (items: readonly Item[], random: () => number): Item[] {
  const copy = [...items]
  for (let last = copy.length - 1; last > 0; last--) {
    const other = Math.floor(random() * (last + 1))
    const swapped = copy[last] as Item
    copy[last] = copy[other] as Item
    copy[other] = swapped
  }
  return copy
}

/**
 * Returns the hosts that follow one in a ring, ordered by hashes of their ids, so that hosts of one failure domain are spread over it.
 *
 * @example
 * nextInRing('h1', ['h2', 'h3'], 1)
 */
export function nextInRing (selfId: string, others: readonly string[], count: number): string[] {
  const self = h32(selfId)
  const distance = (hostId: string): number => (h32(hostId) - self) >>> 0
  return others.map((hostId) => ({ hostId, distance: distance(hostId) }))
    .sort((a, b) => a.distance - b.distance)
    .slice(0, count)
    .map(({ hostId }) => hostId)
}
