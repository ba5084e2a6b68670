import test from 'ava'
import { StoreSilence } from '@cyclamenthread/state'

test('silence counts from the first call that was sent and stayed unanswered', (t) => {
  const silence = new StoreSilence()
  t.is(silence.span, undefined)
  silence.recordUnanswered(1_000, 2_200)
  silence.recordUnanswered(2_500, 3_700)
  t.deepEqual(silence.span, { since: 1_000, until: 3_700 })
})

// Guards against work that starts on an old log copy after a time in which no call was sent (UNASKED).
test('time without a call is no silence of the store', (t) => {
  const silence = new StoreSilence()
  silence.recordUnanswered(1_000, 2_200)
  silence.recordUnanswered(9_000, 10_200)
  t.deepEqual(silence.span, { since: 9_000, until: 10_200 })
})

test('an answer ends the silence, also for a call that was sent before it and fails after it', (t) => {
  const silence = new StoreSilence()
  silence.recordUnanswered(1_000, 2_200)
  silence.recordAnswer(2_300)
  t.is(silence.span, undefined)
  silence.recordUnanswered(1_500, 2_700)
  t.deepEqual(silence.span, { since: 2_300, until: 2_700 })
})
