import test from 'ava'
import { WeightLoadLimit } from '@cyclamenthread/state'

const LOAD_MS = 900

/** Mean allowance after many loads against a weight store that gives `atOnce` at full speed. */
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

test('a weight store that gives two at once is not asked for many more', (t) => {
  t.true(meanLimit(2) >= 2 && meanLimit(2) <= 3.2)
})

test('a weight store that gives ten at once is used', (t) => {
  t.true(meanLimit(10) >= 9 && meanLimit(10) <= 15)
})

test('loads that leave part of the allowance unused say nothing about more', (t) => {
  const allowance = new WeightLoadLimit()
  for (let load = 0; load < 100; load += 1) allowance.recordLoad(LOAD_MS, 1)
  t.is(allowance.limit, 2)
})

test('a new leader before a weight store that gives ten at once: the allowance is there within four rounds of loads', (t) => {
  const allowance = new WeightLoadLimit()
  for (let round = 0; round < 4; round += 1) {
    const running = allowance.limit
    for (let load = 0; load < running; load += 1) allowance.recordLoad(LOAD_MS * Math.max(1, running / 10), running)
  }
  t.true(allowance.limit >= 9, `${allowance.limit} at once`)
})

test('a weight store that gives two at once slows one round of a new leader, no more', (t) => {
  const allowance = new WeightLoadLimit()
  const rounds: number[] = []
  for (let round = 0; round < 12; round += 1) {
    const running = allowance.limit
    rounds.push(running)
    for (let load = 0; load < running; load += 1) allowance.recordLoad(LOAD_MS * Math.max(1, running / 2), running)
  }
  t.true(Math.max(...rounds) <= 4, rounds.join(' '))
  t.true(rounds.slice(3).every((running) => running <= 3), rounds.join(' '))
})
