import test from 'ava'
import fc from 'fast-check'
import { rankWeightedOwners } from '@cyclamenthread/state'

const SHARDS = 4_000

test('each host comes first for shards in proportion to its weight', (t) => {
  const candidates = [{ name: 'small', weight: 0.324 }, { name: 'middle', weight: 0.675 }, { name: 'large', weight: 1.35 }]
  const total = candidates.reduce((sum, { weight }) => sum + weight, 0)
  const counts = new Map<string, number>()
  for (let shard = 0; shard < SHARDS; shard += 1) {
    const [first = ''] = rankWeightedOwners(`s${shard}`, candidates)
    counts.set(first, (counts.get(first) ?? 0) + 1)
  }
  for (const { name, weight } of candidates) t.true(Math.abs((counts.get(name) ?? 0) / SHARDS - weight / total) < 0.03, name)
})

const candidates = fc.uniqueArray(fc.record({ name: fc.string({ minLength: 1 }), weight: fc.double({ min: 0.1, max: 4, noNaN: true }) }), { selector: ({ name }) => name, minLength: 2, maxLength: 12 })

test('removing a host leaves the order of the others unchanged, and the order of the input does not matter', (t) => {
  fc.assert(fc.property(candidates, fc.string(), fc.nat(), (all, shard, index) => {
    const ranked = rankWeightedOwners(shard, all)
    t.is(ranked.length, all.length)
    const removed = all[index % all.length]?.name
    t.deepEqual(rankWeightedOwners(shard, all.filter(({ name }) => name !== removed)), ranked.filter((name) => name !== removed))
    t.deepEqual(rankWeightedOwners(shard, [...all].reverse()), ranked)
  }), { seed: 20_261_204, numRuns: 1_000 })
})
