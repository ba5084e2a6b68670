import test from 'ava'
import fc from 'fast-check'
import { createWorkPermit, decideWorkPermission, WorkPermission } from '@cyclamenthread/state'

/** Time within which an end must stop all samples of its rollout, in milliseconds, as the platform's pages state it. */
const CANCEL_BOUND_MS = 3_000

/** Silence of the store, in milliseconds, that is too short to count as an outage. */
const SHORT_SILENCE_MS = 2_500

test('no work starts on a log copy that is older than the bound on ends unless calls were sent to the store and unanswered', (t) => {
  const span = fc.record({ lastedMs: fc.nat({ max: SHORT_SILENCE_MS }), endedAgo: fc.nat({ max: 60_000 }) })
  const times = fc.record({ now: fc.nat({ max: 60_000 }), confirmedAgo: fc.nat({ max: 20_000 }), span: fc.option(span, { nil: undefined }), isContested: fc.boolean() })
  fc.assert(fc.property(times, ({ now, confirmedAgo, span, isContested }) => {
    const storeSilence = span === undefined ? undefined : { since: now - span.endedAgo - span.lastedMs, until: now - span.endedAgo }
    const permission = decideWorkPermission({ confirmedAt: now - confirmedAgo, storeSilence, isContested }, now)
    if (confirmedAgo >= CANCEL_BOUND_MS || isContested) t.is(permission, WorkPermission.ConfirmFirst)
  }), { seed: 20_261_204, numRuns: 2_000 })
})

test('no work starts on an old log copy after a silence that ended longer ago than a pause between two calls', (t) => {
  const times = fc.record({ confirmedAgo: fc.integer({ min: CANCEL_BOUND_MS, max: 20_000 }), lastedMs: fc.nat({ max: 60_000 }), endedAgo: fc.integer({ min: 1_800, max: 60_000 }) })
  fc.assert(fc.property(times, ({ confirmedAgo, lastedMs, endedAgo }) => {
    const storeSilence = { since: -endedAgo - lastedMs, until: -endedAgo }
    t.is(decideWorkPermission({ confirmedAt: -confirmedAgo, storeSilence, isContested: false }, 0), WorkPermission.ConfirmFirst)
  }), { seed: 20_261_204, numRuns: 500 })
})

test('in an outage of the store work goes on, and the log is read meanwhile', (t) => {
  const lasted = (milliseconds: number): { since: number, until: number } => ({ since: 0, until: milliseconds })
  t.is(decideWorkPermission({ confirmedAt: 0, storeSilence: lasted(2_000), isContested: false }, 2_000), WorkPermission.ConfirmFirst)
  t.is(decideWorkPermission({ confirmedAt: 0, storeSilence: lasted(2_600), isContested: false }, 2_600), WorkPermission.ConfirmMeanwhile)
  // A read that gets no answer in time takes as long as its timeout and the pause before it.
  t.is(decideWorkPermission({ confirmedAt: 0, storeSilence: lasted(2_600), isContested: false }, 4_200), WorkPermission.ConfirmMeanwhile)
  t.is(decideWorkPermission({ confirmedAt: 0, storeSilence: lasted(2_600), isContested: true }, 2_600), WorkPermission.ConfirmFirst)
})

// Guards against an item that reaches an endpoint after the end of its batch (UNASKED) because its permission had no end.
test('a permit ends before the bound on ends, counted from the log copy or, in an outage, from the last unanswered call', (t) => {
  const confirmed = { confirmedAt: 1_000, storeSilence: undefined, isContested: false }
  const { startBefore, logAgeMs } = createWorkPermit(WorkPermission.Granted, confirmed, 2_400)
  t.is(logAgeMs, 1_400)
  t.true(startBefore > 1_000 + 1_500 && startBefore < 1_000 + CANCEL_BOUND_MS - 500)
  const down = { confirmedAt: -Infinity, storeSilence: { since: 1_000, until: 4_000 }, isContested: false }
  const permit = createWorkPermit(WorkPermission.ConfirmMeanwhile, down, 4_100)
  t.is(permit.logAgeMs, undefined)
  t.true(permit.startBefore > 4_100 && permit.startBefore < 4_000 + CANCEL_BOUND_MS)
  t.is(createWorkPermit(WorkPermission.ConfirmFirst, down, 4_100).startBefore, -Infinity)
})

// Guards against an item that reaches an endpoint after the end of its batch (UNASKED): its owner had never read the log, and the store was down.
test('without any read of the log no work starts, not even in an outage of the store', (t) => {
  const down = { confirmedAt: -Infinity, storeSilence: { since: 0, until: 2_600 }, isContested: false }
  t.is(decideWorkPermission(down, 2_600), WorkPermission.ConfirmFirst)
  t.is(decideWorkPermission({ ...down, confirmedAt: -60_000 }, 2_600), WorkPermission.ConfirmMeanwhile)
})
