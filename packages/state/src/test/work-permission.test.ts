import test from 'ava'
import fc from 'fast-check'
import { decideWorkPermission, WorkPermission } from '@cyclamenthread/state'

/** Time within which an end must stop all samples of its rollout, in milliseconds, as the platform's pages state it. */
const CANCEL_BOUND_MS = 3_000

test('no work starts on a log copy that is older than the bound on ends while the store answers this host', (t) => {
  const times = fc.record({ now: fc.nat({ max: 60_000 }), confirmedAgo: fc.nat({ max: 20_000 }), answeredAgo: fc.nat({ max: 2_500 }), isContested: fc.boolean() })
  fc.assert(fc.property(times, ({ now, confirmedAgo, answeredAgo, isContested }) => {
    const permission = decideWorkPermission({ confirmedAt: now - confirmedAgo, storeAnsweredAt: now - answeredAgo, isContested }, now)
    if (confirmedAgo >= CANCEL_BOUND_MS || isContested) t.is(permission, WorkPermission.ConfirmFirst)
  }), { seed: 20_261_204, numRuns: 2_000 })
})

test('in an outage of the store work goes on, and the log is read meanwhile', (t) => {
  t.is(decideWorkPermission({ confirmedAt: 0, storeAnsweredAt: 0, isContested: false }, 2_000), WorkPermission.ConfirmFirst)
  t.is(decideWorkPermission({ confirmedAt: 0, storeAnsweredAt: 0, isContested: false }, 2_600), WorkPermission.ConfirmMeanwhile)
  t.is(decideWorkPermission({ confirmedAt: 0, storeAnsweredAt: 0, isContested: true }, 2_600), WorkPermission.ConfirmFirst)
})
