import test from 'ava'
import fc from 'fast-check'
import { WindowMaximum } from '@cyclamenthread/state'

const WINDOW_MS = 100

test('the maximum is that of the values of the last window, at any moment', (t) => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat(60), fc.integer({ min: -3, max: 3 })), { maxLength: 40 }), (steps) => {
    const recent = new WindowMaximum(WINDOW_MS)
    const recorded: Array<{ at: number, value: number }> = []
    let now = 0
    for (const [pause, value] of steps) {
      now += pause
      recent.record(value, now)
      recorded.push({ at: now, value })
      const expected = Math.max(...recorded.filter(({ at }) => now - at < WINDOW_MS).map((entry) => entry.value))
      if (recent.current(now) !== expected) return false
    }
    return recent.current(now + WINDOW_MS) === undefined
  }))
  t.pass()
})
