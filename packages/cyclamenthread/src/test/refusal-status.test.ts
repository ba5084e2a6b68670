import test from 'ava'
import { Ran, RefusalReason } from '@cyclamenthread/state'
import { refusalStatus } from '../lib/refusal-status.js'

/** Statuses that guarantee that a request has not run and won't. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

test('never uses a not-run status for a request that may have run', (t) => {
  for (const reason of Object.values(RefusalReason)) {
    for (const ran of [Ran.Maybe, Ran.Yes]) t.false(NOT_RUN_STATUSES.has(refusalStatus({ reason, ran, detail: '' })), `${reason} ${ran}`)
  }
})

test('never uses an ambiguous status for a request that has not run', (t) => {
  for (const reason of Object.values(RefusalReason)) {
    const status = refusalStatus({ reason, ran: Ran.No, detail: '' })
    t.true(status >= 400 && status !== 502 && status !== 504, `${reason} ${status}`)
  }
})
