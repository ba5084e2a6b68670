import test from 'ava'
import fc from 'fast-check'
import { assignModels, computeModelQuotas } from '@cyclamenthread/state'

const DOMAINS = ['leith-walk', 'grassmarket', 'castlegate']

function holders (count: number): Array<{ id: string, failureDomain: string }> {
  return Array.from({ length: count }, (_, index) => ({ id: `e${index}`, failureDomain: DOMAINS[index % DOMAINS.length] ?? '' }))
}

test('every endpoint has one model, and the counts of models differ by at most one', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 5 }), fc.integer({ min: 0, max: 40 }), (models, count) => {
    const names = Array.from({ length: models }, (_, index) => `m${index}`)
    const assigned = assignModels(names, holders(count), new Map())
    t.is(assigned.size, count)
    const shares = names.map((name) => [...assigned.values()].filter((model) => model === name).length)
    t.true(Math.max(...shares) - Math.min(...shares) <= 1)
  }))
})

test('existing endpoints keep their model when others are added', (t) => {
  const before = assignModels(['a', 'b'], holders(4), new Map())
  const after = assignModels(['a', 'b'], holders(8), before)
  for (const [id, model] of before) t.is(after.get(id), model)
})

test('each failure domain has every model if there are enough endpoints', (t) => {
  const assigned = assignModels(['a', 'b', 'c'], holders(9), new Map())
  for (const domain of DOMAINS) {
    const models = holders(9).filter((holder) => holder.failureDomain === domain).map((holder) => assigned.get(holder.id))
    t.is(new Set(models).size, 3)
  }
})

test('quotas add up to the number of endpoints, follow the work, and give every model at least one', (t) => {
  const shares = fc.record({ holders: fc.integer({ min: 0, max: 60 }), work: fc.array(fc.integer({ min: 0, max: 100_000 }), { minLength: 1, maxLength: 6 }) })
  fc.assert(fc.property(shares, ({ holders: count, work }) => {
    const names = work.map((_, index) => `m${index}`)
    const known = new Map(names.map((name, index) => [name, work[index] ?? 0]))
    const quotas = computeModelQuotas(names, count, known)
    const sizes = names.map((name) => quotas.get(name) ?? 0)
    t.is(sizes.reduce((sum, size) => sum + size, 0), count)
    if (count >= names.length) t.true(sizes.every((size) => size >= 1))
    for (const [a, one] of sizes.entries()) {
      for (const [b, other] of sizes.entries()) {
        if ((work[a] ?? 0) > (work[b] ?? 0)) t.true(one >= other, `${JSON.stringify(work)}: ${sizes.join(' ')}`)
      }
    }
  }), { seed: 20_261_206, numRuns: 1_000 })
})

test('four trainers with unequal steps: the two with the most work get most endpoints, and no step takes longer than with equal shares', (t) => {
  // Expected tokens of a step, as in the deployments of 34 and more endpoints.
  const work = new Map([['critique', 58_000], ['palette', 155_000], ['catalogue', 155_000], ['motif', 75_000]])
  const assigned = assignModels([...work.keys()], holders(48), new Map(), work)
  const count = (model: string): number => [...assigned.values()].filter((other) => other === model).length
  t.deepEqual([...work.keys()].map(count), [7, 16, 16, 9])
  const slowest = Math.max(...[...work].map(([model, tokens]) => tokens / count(model)))
  t.true(slowest < 155_000 / 12)
})

test('a change of the work moves only as many endpoints as the quotas require', (t) => {
  const before = assignModels(['a', 'b'], holders(12), new Map(), new Map([['a', 100], ['b', 100]]))
  const after = assignModels(['a', 'b'], holders(12), before, new Map([['a', 100], ['b', 200]]))
  t.is([...before].filter(([id, model]) => after.get(id) !== model).length, 2)
})
