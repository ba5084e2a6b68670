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
