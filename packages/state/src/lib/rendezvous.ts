import xxhash from 'xxhash-wasm'

const { h64 } = await xxhash()

/**
 * Ranks candidates for a shard by rendezvous hashing, best first: every process
 * with the same candidates computes the same owner, and removing a candidate moves
 * only the shards it owned.
 *
 * @param shard name of the shard
 * @param candidates names to choose from, in any order
 * @example
 * rankOwners('cell/a', ['h1', 'h2'])[0] // the owner
 */
export function rankOwners (shard: string, candidates: readonly string[]): string[] {
  const scored = candidates.map((candidate) => ({ candidate, score: h64(`${shard}\u0000${candidate}`) }))
  scored.sort((a, b) => {
    if (a.score !== b.score) return a.score > b.score ? -1 : 1
    return a.candidate < b.candidate ? -1 : 1
  })
  return scored.map((item) => item.candidate)
}

/** A candidate for a shard and its share of all shards relative to the others. */
export interface WeightedCandidate {
  readonly name: string
  readonly weight: number
}

/** Number of values of a 64-bit hash. */
const HASH_RANGE = 2 ** 64

/**
 * Ranks candidates as {@link rankOwners} does, but each comes first for a part of
 * the shards in proportion to its weight. A change of one weight moves only shards
 * from or to that candidate.
 *
 * @example
 * rankWeightedOwners('rollouts/office', [{ name: 'h1', weight: 0.5 }, { name: 'h2', weight: 1.5 }])[0]
 */
export function rankWeightedOwners (shard: string, candidates: readonly WeightedCandidate[]): string[] {
  const scored = candidates.map(({ name, weight }) => ({ candidate: name, score: -weight / Math.log((Number(h64(`${shard}\u0000${name}`)) + 1) / (HASH_RANGE + 2)) }))
  scored.sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
  return scored.map((item) => item.candidate)
}

/**
 * Returns the owner of a shard, or undefined if there are no candidates.
 *
 * @example
 * findOwner('ledger/3', ['h1', 'h2', 'h3'])
 */
export function findOwner (shard: string, candidates: readonly string[]): string | undefined {
  let best: string | undefined
  let bestScore = -1n
  for (const candidate of candidates) {
    const score = h64(`${shard}\u0000${candidate}`)
    if (score > bestScore || (score === bestScore && best !== undefined && candidate < best)) {
      best = candidate
      bestScore = score
    }
  }
  return best
}

/**
 * Maps a key to one of `count` partitions.
 *
 * @example
 * partitionOf('batch/7', 16) // 0 … 15
 */
export function partitionOf (key: string, count: number): number {
  return Number(h64(key) % BigInt(count))
}
