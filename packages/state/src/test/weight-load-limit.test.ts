import test from 'ava'
import { WeightLoadLimit } from '@cyclamenthread/state'

const LOAD_MS = 900

/** Mean limit after many loads from a weight store that serves `capacity` loads at full speed. */
function meanLimit (capacity: number): number {
  const limit = new WeightLoadLimit()
  let sum = 0
  for (let load = 0; load < 400; load += 1) {
    const running = limit.limit
    limit.recordLoad(LOAD_MS * Math.max(1, running / capacity), running)
    if (load >= 200) sum += limit.limit / 200
  }
  return sum
}

test('the limit for a weight store with a capacity of two loads stays close to two', (t) => {
  t.true(meanLimit(2) >= 2 && meanLimit(2) <= 3.2)
})

test('the limit for a weight store with a capacity of ten loads uses the capacity', (t) => {
  t.true(meanLimit(10) >= 9 && meanLimit(10) <= 15)
})

test('loads that do not use up the limit do not raise it', (t) => {
  const limit = new WeightLoadLimit()
  for (let load = 0; load < 100; load += 1) limit.recordLoad(LOAD_MS, 1)
  t.is(limit.limit, 2)
})

test('slow start reaches a capacity of ten loads within four rounds', (t) => {
  const limit = new WeightLoadLimit()
  for (let round = 0; round < 4; round += 1) {
    const running = limit.limit
    for (let load = 0; load < running; load += 1) limit.recordLoad(LOAD_MS * Math.max(1, running / 10), running)
  }
  t.true(limit.limit >= 9, `the limit is ${limit.limit}`)
})

test('slow start exceeds a capacity of two loads in one round only', (t) => {
  const limit = new WeightLoadLimit()
  const rounds: number[] = []
  for (let round = 0; round < 12; round += 1) {
    const running = limit.limit
    rounds.push(running)
    for (let load = 0; load < running; load += 1) limit.recordLoad(LOAD_MS * Math.max(1, running / 2), running)
  }
  t.true(Math.max(...rounds) <= 4, rounds.join(' '))
  t.true(rounds.slice(3).every((running) => running <= 3), rounds.join(' '))
})
