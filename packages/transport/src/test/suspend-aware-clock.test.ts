import test from 'ava'
import { SuspendAwareClock } from '../lib/suspend-aware-clock.js'

/** Clock sources that a test moves. */
const openSources = (): { time: { steady: number, wall: number }, clock: SuspendAwareClock } => {
  const time = { steady: 5, wall: 1_000_000 }
  return { time, clock: new SuspendAwareClock({ steady: () => time.steady, wall: () => time.wall }) }
}

test('a suspend counts, and so does a wall clock that is set forward', (t) => {
  const { time, clock } = openSources()
  const start = clock.now()
  time.wall += 4_000
  t.is(clock.now() - start, 4_000)
  time.steady += 100
  time.wall += 1_100
  t.is(clock.now() - start, 5_100)
})

test('a wall clock that is set back takes no time away, and later suspends count in full', (t) => {
  const { time, clock } = openSources()
  const start = clock.now()
  time.wall -= 3_600_000
  time.steady += 10
  t.is(clock.now() - start, 10)
  time.wall += 2_000
  t.is(clock.now() - start, 2_010)
})

test('rounding and slow adjustment of the wall clock add up to nothing', (t) => {
  const { time, clock } = openSources()
  const start = clock.now()
  for (let reading = 0; reading < 1_000; reading++) {
    time.steady += 100
    time.wall += reading % 2 === 0 ? 101 : 100
    clock.now()
  }
  t.is(clock.now() - start, 100_000)
})

test('an interruption between the readings of both clocks does not count as a suspend', (t) => {
  const time = { steady: 0, wall: 0, interruptionMs: 0 }
  const pass = (): void => {
    time.steady += time.interruptionMs
    time.wall += time.interruptionMs
    time.interruptionMs = 0
  }
  const clock = new SuspendAwareClock({
    steady: () => time.steady,
    wall: () => {
      pass()
      return time.wall
    }
  })
  time.interruptionMs = 50
  t.is(clock.now(), 50)
})
