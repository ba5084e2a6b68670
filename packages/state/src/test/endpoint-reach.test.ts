import test from 'ava'
import fc from 'fast-check'
import { EndpointReach } from '@cyclamenthread/state'

const SEED = 20261204
const RUNS = 1_000

// Guards against a host that passes its calls on because one endpoint of many is gone, or while others answer.
test(`a host is not cut off after a sign of any endpoint just now, or while only one gives none (seed ${SEED}, ${RUNS} runs)`, (t) => {
  const events = fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 400 }), endpoint: fc.integer({ min: 0, max: 3 }) }), { maxLength: 60 })
  fc.assert(fc.property(events, (list) => {
    const reach = new EndpointReach()
    const silent = new Set<number>()
    let now = 0
    let reachedAt = -Infinity
    return list.every(({ afterMs, endpoint }) => {
      now += afterMs
      if (endpoint === 0) {
        reach.recordReached(now)
        silent.clear()
        reachedAt = now
      } else {
        reach.recordUnreached(`e${endpoint}`)
        silent.add(endpoint)
      }
      return !reach.isCutOff(now) || (silent.size > 1 && now - reachedAt >= 300)
    })
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('a host is cut off once several endpoints in turn have given no sign for a while, until one does', (t) => {
  const reach = new EndpointReach()
  reach.recordReached(0)
  reach.recordUnreached('a')
  reach.recordUnreached('a')
  t.false(reach.isDoubtful)
  reach.recordUnreached('b')
  t.true(reach.isDoubtful)
  t.false(reach.isCutOff(900))
  t.true(reach.isCutOff(1_000))
  reach.recordUnreached('c')
  t.false(reach.isCutOff(299))
  t.true(reach.isCutOff(300))
  reach.recordReached(1_100)
  t.false(reach.isCutOff(60_000))
})
