/** Increment of the generator's state. */
const STATE_INCREMENT = 0x6D2B79F5

/**
 * A small generator of numbers from 0 up to 1 that repeats with its seed.
 *
 * @example
 * const random = seededRandom(7)
 * random() // the same on each run
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
