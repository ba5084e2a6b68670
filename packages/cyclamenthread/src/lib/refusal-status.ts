import { Ran, RefusalReason } from '@cyclamenthread/state'
import { httpStatusOf } from './problem.js'
import type { Refusal } from '@cyclamenthread/state'

/** Statuses that leave open whether the request ran. */
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

/** Status of a request that did not run, if the status of its reason is ambiguous. */
const UNAVAILABLE = 503

/** Statuses of the service's own API that don't guarantee that the request did not run. */
const AMBIGUOUS_STATUSES: ReadonlySet<number> = new Set([499, BAD_GATEWAY, GATEWAY_TIMEOUT])

/**
 * The HTTP status of a refusal on routes whose callers rely on 408, 421, 429 and
 * 503 to mean that the request has not run and won't.
 *
 * @example
 * refusalStatus(notRun(RefusalReason.Overloaded, 'full')) // 503
 */
export function refusalStatus (refusal: Refusal): number {
  if (refusal.ran !== Ran.No) return refusal.reason === RefusalReason.DeadlineExceeded ? GATEWAY_TIMEOUT : BAD_GATEWAY
  const status = httpStatusOf(refusal.reason)
  return AMBIGUOUS_STATUSES.has(status) ? UNAVAILABLE : status
}
