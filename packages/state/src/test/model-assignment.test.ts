import test from 'ava'
import fc from 'fast-check'
import { assignModels } from '@cyclamenthread/state'

const DOMAINS = ['leith-walk', 'grassmarket', 'castlegate']

function holders (count: number): Array<{ id: string, failureDomain: string }> {
  return Array.from({ length: count }, (_, index) => ({ id: `e${index}`, failureDomain: DOMAINS[index % DOMAINS.length] ?? '' }))
}

test('every endpoint has one model, and no model has two more than another', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 5 }), fc.integer({ min: 0, max: 40 }), (models, count) => {
    const names = Array.from({ length: models }, (_, index) => `m${index}`)
    const assigned = assignModels(names, holders(count), new Map())
    t.is(assigned.size, count)
    const shares = names.map((name) => [...assigned.values()].filter((model) => model === name).length)
    t.true(Math.max(...shares) - Math.min(...shares) <= 1)
  }))
})

test('endpoints that stay keep their model when others come', (t) => {
  const before = assignModels(['a', 'b'], holders(4), new Map())
  const after = assignModels(['a', 'b'], holders(8), before)
  for (const [id, model] of before) t.is(after.get(id), model)
})

test('a failure domain is not left without a model while another has two of it', (t) => {
  const assigned = assignModels(['a', 'b', 'c'], holders(9), new Map())
  for (const domain of DOMAINS) {
    const models = holders(9).filter((holder) => holder.failureDomain === domain).map((holder) => assigned.get(holder.id))
    t.is(new Set(models).size, 3)
  }
})
