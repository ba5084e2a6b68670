import { Ran, RefusalReason } from '@cyclamenthread/state'
import { httpStatusOf } from './problem.js'
import type { Refusal } from '@cyclamenthread/state'

/** Statuses that say nothing about whether the request ran. */
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

/** Status of a request that was not run, for a reason that has no status of its own here. */
const UNAVAILABLE = 503

/** Statuses of the product's own interface that don't promise that nothing ran. */
const AMBIGUOUS_STATUSES: ReadonlySet<number> = new Set([499, BAD_GATEWAY, GATEWAY_TIMEOUT])

/**
 * The HTTP status of a refusal on routes whose callers take 408, 421, 429 and
 * 503 as a promise that nothing has run and nothing will.
 *
 * @example
 * refusalStatus(notRun(RefusalReason.Overloaded, 'full')) // 503
 */
export function refusalStatus (refusal: Refusal): number {
  if (refusal.ran !== Ran.No) return refusal.reason === RefusalReason.DeadlineExceeded ? GATEWAY_TIMEOUT : BAD_GATEWAY
  const status = httpStatusOf(refusal.reason)
  return AMBIGUOUS_STATUSES.has(status) ? UNAVAILABLE : status
}
