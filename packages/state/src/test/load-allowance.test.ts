import test from 'ava'
import { LoadAllowance } from '@cyclamenthread/state'

const LOAD_MS = 900

/** Mean allowance after many loads against a weight store that gives `atOnce` at full speed. */
function settle (atOnce: number): number {
  const allowance = new LoadAllowance()
  let sum = 0
  for (let load = 0; load < 400; load += 1) {
    const running = allowance.most
    allowance.finished(LOAD_MS * Math.max(1, running / atOnce), running)
    if (load >= 200) sum += allowance.most / 200
  }
  return sum
}

test('a weight store that gives two at once is not asked for many more', (t) => {
  t.true(settle(2) >= 2 && settle(2) <= 3.2)
})

test('a weight store that gives ten at once is used', (t) => {
  t.true(settle(10) >= 9 && settle(10) <= 15)
})

test('loads that leave part of the allowance unused say nothing about more', (t) => {
  const allowance = new LoadAllowance()
  for (let load = 0; load < 100; load += 1) allowance.finished(LOAD_MS, 1)
  t.is(allowance.most, 2)
})

test('a new leader before a weight store that gives ten at once: the allowance is there within four rounds of loads', (t) => {
  const allowance = new LoadAllowance()
  for (let round = 0; round < 4; round += 1) {
    const running = allowance.most
    for (let load = 0; load < running; load += 1) allowance.finished(LOAD_MS * Math.max(1, running / 10), running)
  }
  t.true(allowance.most >= 9, `${allowance.most} at once`)
})

test('a weight store that gives two at once slows one round of a new leader, no more', (t) => {
  const allowance = new LoadAllowance()
  const rounds: number[] = []
  for (let round = 0; round < 12; round += 1) {
    const running = allowance.most
    rounds.push(running)
    for (let load = 0; load < running; load += 1) allowance.finished(LOAD_MS * Math.max(1, running / 2), running)
  }
  t.true(Math.max(...rounds) <= 4, rounds.join(' '))
  t.true(rounds.slice(3).every((running) => running <= 3), rounds.join(' '))
})
