import test from 'ava'
import { sumCounts, UsageTally } from '@cyclamenthread/state'

test('a request is counted in the window in which it began', (t) => {
  const tally = new UsageTally(5_000)
  tally.countRequest('office', 4_999)
  tally.countRequest('office', 5_000)
  tally.countRequest('desk', 5_001)
  t.deepEqual(tally.countsOf(0), { office: 1 })
  t.deepEqual(tally.countsOf(1), { office: 1, desk: 1 })
  t.is(tally.windowEnd(1), 10_000)
})

test('old windows are dropped', (t) => {
  const tally = new UsageTally(1_000)
  tally.countRequest('office', 0)
  tally.countRequest('office', 60_000)
  t.deepEqual(tally.countsOf(0), {})
})

test('the counts of several hosts add up', (t) => {
  t.deepEqual(sumCounts([{ a: 1, b: 2 }, {}, { b: 3 }]), { a: 1, b: 5 })
})
