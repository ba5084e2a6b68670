import test from 'ava'
import { StoreSilence } from '@cyclamenthread/state'

test('silence counts from the first call that was sent and stayed unanswered', (t) => {
  const silence = new StoreSilence()
  t.is(silence.span, undefined)
  silence.recordUnanswered({ sentAt: 1_000, deadline: 2_200, failedAt: 2_200 })
  silence.recordUnanswered({ sentAt: 2_500, deadline: 3_700, failedAt: 3_700 })
  t.deepEqual(silence.span, { since: 1_000, until: 3_700 })
})

// Guards against work that starts on an old log copy after a time in which no call was sent (UNASKED).
test('time without a call is no silence of the store', (t) => {
  const silence = new StoreSilence()
  silence.recordUnanswered({ sentAt: 1_000, deadline: 2_200, failedAt: 2_200 })
  silence.recordUnanswered({ sentAt: 9_000, deadline: 10_200, failedAt: 10_200 })
  t.deepEqual(silence.span, { since: 9_000, until: 10_200 })
})

test('an answer ends the silence, also for a call that was sent before it and fails after it', (t) => {
  const silence = new StoreSilence()
  silence.recordUnanswered({ sentAt: 1_000, deadline: 2_200, failedAt: 2_200 })
  silence.recordAnswer(2_300)
  t.is(silence.span, undefined)
  silence.recordUnanswered({ sentAt: 1_500, deadline: 2_700, failedAt: 2_700 })
  t.deepEqual(silence.span, { since: 2_300, until: 2_700 })
})

// Guards against work that starts on an old log copy while the store serves (UNASKED): calls that waited in this process had no time left for an answer.
test('a call that was sent shortly before its deadline shows no silence of the store, one that failed early does', (t) => {
  const silence = new StoreSilence()
  for (let sentAt = 1_000; sentAt < 9_000; sentAt += 100) silence.recordUnanswered({ sentAt, deadline: sentAt + 150, failedAt: sentAt + 150 })
  t.is(silence.span, undefined)
  silence.recordUnanswered({ sentAt: 9_000, deadline: 10_200, failedAt: 9_002 })
  silence.recordUnanswered({ sentAt: 9_300, deadline: 10_500, failedAt: 10_500 })
  silence.recordUnanswered({ sentAt: 10_700, deadline: 10_800, failedAt: 10_800 })
  t.deepEqual(silence.span, { since: 9_000, until: 10_500 })
})
