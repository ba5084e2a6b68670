import test from 'ava'
import fc from 'fast-check'
import { maxConcurrentSwaps, WeightUpdatePlanner } from '../lib/weight-update-planner.js'

const SEED = 20_261_205
const RUNS = 1_000
const SWAP_TIMEOUT_MS = 3_000
const RETRY_MS = 200
/** Period for which orders may catch up, as the planner's invariant states; one order more is allowed at its edge. */
const CATCH_UP_MS = 500

/** Outcome of an order to an endpoint. */
enum OrderOutcome {
  Done = 'done',
  Stalled = 'stalled',
  Refused = 'refused'
}

const scenarios = fc.record({
  endpoints: fc.integer({ min: 1, max: 12 }),
  servingShare: fc.double({ min: 0, max: 0.95, noNaN: true }),
  fetchesPerSecond: fc.double({ min: 2, max: 50, noNaN: true }),
  swapMs: fc.integer({ min: 1, max: 2_500 }),
  outcomes: fc.infiniteStream(fc.constantFrom(OrderOutcome.Done, OrderOutcome.Done, OrderOutcome.Done, OrderOutcome.Stalled, OrderOutcome.Refused)),
  pauses: fc.infiniteStream(fc.integer({ min: 1, max: 800 })),
  releases: fc.array(fc.integer({ min: 1, max: 60 }), { maxLength: 3 })
})

test(`the serving share and the store's rate hold despite failures, and all endpoints reach the newest version (seed ${SEED})`, (t) => {
  fc.assert(fc.property(scenarios, ({ endpoints, servingShare, fetchesPerSecond, swapMs, outcomes, pauses, releases }) => {
    const planner = new WeightUpdatePlanner({ servingShare, fetchesPerSecond, swapTimeoutMs: SWAP_TIMEOUT_MS, retryMs: RETRY_MS })
    const ids = Array.from({ length: endpoints }, (_, index) => `e${index}`)
    const versions = new Map(ids.map((id) => [id, 1]))
    const swapping = new Map<string, { readonly version: number, readonly at: number }>()
    const orderedAt: number[] = []
    planner.setEndpoints(ids)
    let released = 2
    let now = 0
    const last = Math.max(0, ...releases)
    for (let step = 0; step < 20_000; step++) {
      if (releases.includes(step)) released += 1
      planner.recordRelease(released)
      for (const [id, swap] of swapping) {
        if (swap.at > now) continue
        versions.set(id, swap.version)
        swapping.delete(id)
      }
      for (const id of ids) planner.recordVersion(id, versions.get(id) ?? 0, now)
      for (const order of planner.planOrders(now)) {
        orderedAt.push(now)
        const outcome = step > last + 50 ? OrderOutcome.Done : outcomes.next().value
        if (outcome === OrderOutcome.Done) swapping.set(order.endpointId, { version: order.version, at: now + swapMs })
        if (outcome === OrderOutcome.Refused) planner.recordFailure(order.endpointId, now)
      }
      if (swapping.size > maxConcurrentSwaps(endpoints, servingShare)) return false
      if (step > last && planner.behindCount === 0) break
      now += pauses.next().value ?? 1
    }
    const rateKept = orderedAt.every((at, first) => orderedAt.slice(first).every((later, count) => {
      return count + 1 <= (later - at + CATCH_UP_MS) * fetchesPerSecond / 1_000 + 1.001
    }))
    return rateKept && ids.every((id) => versions.get(id) === released)
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test(`an update without failures takes no longer than the store's rate and the serving share require (seed ${SEED})`, (t) => {
  const sizes = fc.record({ endpoints: fc.integer({ min: 1, max: 40 }), share: fc.constantFrom(0, 0.25, 0.5, 0.75), rate: fc.integer({ min: 5, max: 200 }), swapMs: fc.integer({ min: 10, max: 1_000 }) })
  fc.assert(fc.property(sizes, ({ endpoints, share, rate, swapMs }) => {
    const planner = new WeightUpdatePlanner({ servingShare: share, fetchesPerSecond: rate, swapTimeoutMs: 60_000, retryMs: RETRY_MS })
    const ids = Array.from({ length: endpoints }, (_, index) => `e${index}`)
    const doneAt = new Map<string, number>()
    planner.setEndpoints(ids)
    planner.recordRelease(2)
    let now = 0
    do {
      for (const id of ids) planner.recordVersion(id, (doneAt.get(id) ?? Infinity) <= now ? 2 : 1, now)
      for (const order of planner.planOrders(now)) doneAt.set(order.endpointId, now + swapMs)
      now += 10
    } while (planner.behindCount > 0)
    const rounds = Math.ceil(endpoints / maxConcurrentSwaps(endpoints, share))
    return now <= endpoints * 1_000 / rate + rounds * (swapMs + 20) + 20
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('an accepted update that does not complete is ordered again, after those that did not fail', (t) => {
  const planner = new WeightUpdatePlanner({ servingShare: 0.5, fetchesPerSecond: 100, swapTimeoutMs: 1_000, retryMs: 100 })
  planner.setEndpoints(['a', 'b'])
  planner.recordRelease(2)
  for (const id of ['a', 'b']) planner.recordVersion(id, 1, 0)
  t.deepEqual(planner.planOrders(0), [{ endpointId: 'a', version: 2 }])
  // A report from before the order does not count.
  planner.recordVersion('a', 2, -1)
  t.is(planner.openOrderCount, 1)
  planner.recordVersion('a', 1, 500)
  t.deepEqual(planner.planOrders(1_001), [{ endpointId: 'b', version: 2 }])
  planner.recordVersion('b', 2, 1_200)
  t.deepEqual(planner.planOrders(1_201), [{ endpointId: 'a', version: 2 }])
  t.is(planner.counters.failed, 1)
})

test('with a tolerance of one version, half of the group can serve each step at once, with half as many loads', (t) => {
  const planner = new WeightUpdatePlanner({ servingShare: 0.5, fetchesPerSecond: 100, swapTimeoutMs: 5_000, retryMs: 100, tolerance: 1 })
  const versions = new Map(['a', 'b', 'c', 'd', 'e', 'f'].map((id) => [id, 1]))
  planner.setEndpoints([...versions.keys()])
  let now = 0
  let loads = 0
  for (let released = 2; released <= 9; released += 1) {
    planner.recordRelease(released)
    const usable = [...versions.values()].filter((version) => version >= released - 1).length
    t.true(usable >= 3, `version ${released}: ${usable} of 6 serve a step that allows ${released - 1}`)
    for (let round = 0; round < 10; round += 1) {
      now += 200
      for (const [id, version] of versions) planner.recordVersion(id, version, now)
      const orders = planner.planOrders(now, 2)
      t.true(orders.length <= 2)
      loads += orders.length
      for (const order of orders) versions.set(order.endpointId, order.version)
    }
    t.true([...versions.values()].every((version) => version >= released - 1))
  }
  t.is(loads, 8 * 3)
})

test('with a release every five seconds, each step finds every endpoint usable, and no update begins while its samples start', (t) => {
  const PREPARE_MS = 400
  const LOAD_MS = 900
  const planner = new WeightUpdatePlanner({ servingShare: 0.5, fetchesPerSecond: 100, swapTimeoutMs: 5_000, retryMs: 100, tolerance: 1, prepareAfterMs: PREPARE_MS })
  const versions = new Map(Array.from({ length: 12 }, (_, index) => [`e${index}`, 1]))
  const loads = new Map<string, { readonly version: number, readonly endsAt: number }>()
  planner.setEndpoints([...versions.keys()])
  for (let released = 2; released <= 9; released += 1) {
    const releasedAt = released * 5_000
    planner.recordRelease(released, releasedAt)
    t.true([...versions.values()].every((version) => version >= released - 1), `version ${released}: an endpoint can't serve the step`)
    for (let now = releasedAt; now < releasedAt + 5_000; now += 50) {
      for (const [id, load] of loads) {
        if (load.endsAt > now) continue
        versions.set(id, load.version)
        loads.delete(id)
      }
      for (const [id, version] of versions) planner.recordVersion(id, version, now)
      const orders = planner.planOrders(now, 4)
      if (now < releasedAt + PREPARE_MS) t.is(orders.length, 0)
      for (const order of orders) loads.set(order.endpointId, { version: order.version, endsAt: now + LOAD_MS })
      t.true(loads.size <= 6)
    }
  }
})
