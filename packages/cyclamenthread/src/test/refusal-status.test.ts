import test from 'ava'
import { Ran, RefusalReason } from '@cyclamenthread/state'
import { refusalStatus } from '../lib/refusal-status.js'

/** Statuses that promise that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503])

test('no outcome that may have run is answered with a promise that it has not', (t) => {
  for (const reason of Object.values(RefusalReason)) {
    for (const ran of [Ran.Maybe, Ran.Yes]) t.false(PROMISES.has(refusalStatus({ reason, ran, detail: '' })), `${reason} ${ran}`)
  }
})

test('an outcome that has not run is never answered as if it were unknown', (t) => {
  for (const reason of Object.values(RefusalReason)) {
    const status = refusalStatus({ reason, ran: Ran.No, detail: '' })
    t.true(status >= 400 && status !== 502 && status !== 504, `${reason} ${status}`)
  }
})
