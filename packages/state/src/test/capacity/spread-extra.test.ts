import test from 'ava'
import { spreadExtra } from '@cyclamenthread/state'
import type { ExtraCandidate } from '@cyclamenthread/state'

function candidate (failureDomain: string, price: number, changes: Partial<ExtraCandidate> = {}): ExtraCandidate {
  return { failureDomain, price, extra: 0, maxExtra: 10, isAble: true, ...changes }
}

const spread = (total: number, candidates: readonly ExtraCandidate[]): Record<string, number> => Object.fromEntries(spreadExtra(total, candidates))

test('a whole domain is missing: its endpoints are spread evenly, and an odd one goes to the cheapest domain', (t) => {
  t.deepEqual(spread(5, [candidate('a', 1.25), candidate('b', 0.8)]), { a: 2, b: 3 })
  t.deepEqual(spread(1, [candidate('a', 1), candidate('b', 1)]), { a: 1, b: 0 })
})

test('a domain at its maximum or unable to take endpoints leaves them to the others; what finds no room is not placed', (t) => {
  t.deepEqual(spread(6, [candidate('a', 1, { maxExtra: 1 }), candidate('b', 2), candidate('c', 0.5, { isAble: false })]), { a: 1, b: 5, c: 0 })
  t.deepEqual(spread(6, [candidate('a', 1, { maxExtra: 1 }), candidate('b', 2, { maxExtra: 2 })]), { a: 1, b: 2 })
})

test('a domain that is able again gets none of what serves elsewhere: moving it would stop endpoints that serve', (t) => {
  t.deepEqual(spread(4, [candidate('a', 1, { extra: 0 }), candidate('b', 2, { extra: 4 })]), { a: 0, b: 4 })
  t.deepEqual(spread(4, [candidate('a', 1, { extra: 2, isAble: false }), candidate('b', 2, { extra: 2 })]), { a: 2, b: 2 })
})

test('a bound that falls below what is placed moves the difference, and a total that falls is taken from the fullest and dearest', (t) => {
  t.deepEqual(spread(4, [candidate('a', 1, { extra: 2, maxExtra: 0, isAble: false }), candidate('b', 2, { extra: 2 })]), { a: 0, b: 4 })
  t.deepEqual(spread(3, [candidate('a', 1, { extra: 2 }), candidate('b', 2, { extra: 2 })]), { a: 2, b: 1 })
  t.deepEqual(spread(0, [candidate('a', 1, { extra: 2 }), candidate('b', 2, { extra: 3 })]), { a: 0, b: 0 })
})
