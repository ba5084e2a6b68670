/** Increment of the generator's state (mulberry32). */
const STATE_INCREMENT = 0x6D2B79F5

/**
 * Creates a deterministic random number generator (mulberry32) with values from
 * 0 (inclusive) to 1 (exclusive).
 *
 * @example
 * const random = seededRandom(7)
 * random() // the same in every run
 */
export function seededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + STATE_INCREMENT) >>> 0
    let mixed = state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}
