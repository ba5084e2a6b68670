import test from 'ava'
import { RequestLimitRecord } from '@cyclamenthread/state'

// Guards against a limit that stays in force, or is forgotten, because answers overtook each other.
test('only an answer to a request that was sent after a limit was last named lifts or raises it', (t) => {
  const limit = new RequestLimitRecord()
  t.true(limit.apply({ requestsPerSecond: 1.5, sentAt: 0, receivedAt: 20 }))
  t.false(limit.apply({ requestsPerSecond: undefined, sentAt: 10, receivedAt: 30 }))
  t.false(limit.apply({ requestsPerSecond: 9, sentAt: 10, receivedAt: 30 }))
  t.is(limit.current?.requestsPerSecond, 1.5)
  t.true(limit.apply({ requestsPerSecond: 1.2, sentAt: 10, receivedAt: 30 }))
  t.true(limit.apply({ requestsPerSecond: 2, sentAt: 40, receivedAt: 60 }))
  t.true(limit.apply({ requestsPerSecond: undefined, sentAt: 70, receivedAt: 80 }))
  t.is(limit.current, undefined)
})

// Guards against a limit that a late answer restores after the endpoint's need has ended.
test('an answer to a request that was sent before the one whose answer lifted a limit does not restore it', (t) => {
  const limit = new RequestLimitRecord()
  limit.apply({ requestsPerSecond: 1.5, sentAt: 0, receivedAt: 20 })
  limit.apply({ requestsPerSecond: undefined, sentAt: 100, receivedAt: 120 })
  t.false(limit.apply({ requestsPerSecond: 1.5, sentAt: 50, receivedAt: 400 }))
  t.is(limit.current, undefined)
  t.true(limit.apply({ requestsPerSecond: 1.5, sentAt: 130, receivedAt: 150 }))
  t.is(limit.current?.since, 150)
})
