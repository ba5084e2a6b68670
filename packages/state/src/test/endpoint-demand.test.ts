import test from 'ava'
import { desiredEndpointCount } from '@cyclamenthread/state'

const PRICES = { 'leith-walk': 1, grassmarket: 1.25, castlegate: 0.8 }
const CAPACITY = { minimum: 1, maximum: 16, startMs: 4_000, prices: PRICES }
const SERVICE = { name: 'models', maxConnections: 100, models: ['a', 'b'], capacity: CAPACITY }

test('concurrent steps of two trainers: there is a slot for every sample', (t) => {
  const wave = { samples: new Map([['a', 112], ['b', 128]]), slots: 8, running: 4 }
  const wanted = desiredEndpointCount(SERVICE, 'leith-walk', wave) ?? 0
  t.true(wanted * 3 * wave.slots >= 240)
  t.is(wanted, 10)
})

test('small steps: each model keeps two endpoints per failure domain, one of which serves while the other updates its weights', (t) => {
  t.is(desiredEndpointCount(SERVICE, 'leith-walk', { samples: new Map([['a', 8], ['b', 8]]), slots: 12, running: 1 }), 4)
})

test('a new leader that knows no steps yet does not reduce the number of endpoints', (t) => {
  t.is(desiredEndpointCount(SERVICE, 'leith-walk', { samples: new Map(), slots: 8, running: 10 }), 10)
  t.is(desiredEndpointCount(SERVICE, 'leith-walk', { samples: new Map([['a', 8]]), slots: 8, running: 10 }), 10)
  t.is(desiredEndpointCount(SERVICE, 'leith-walk', { samples: new Map([['a', 8], ['b', 8]]), slots: 8, running: 10 }), 4)
})

test('the declared maximum holds, and the count is undefined where no endpoints may be ordered', (t) => {
  t.is(desiredEndpointCount(SERVICE, 'leith-walk', { samples: new Map([['a', 9_999], ['b', 1]]), slots: 8, running: 0 }), 16)
  t.is(desiredEndpointCount(SERVICE, 'elsewhere', { samples: new Map(), slots: 8, running: 0 }), undefined)
  t.is(desiredEndpointCount({ ...SERVICE, capacity: undefined }, 'leith-walk', { samples: new Map(), slots: 8, running: 0 }), undefined)
})
