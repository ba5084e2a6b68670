import { countCompleteGroups } from './rollout.js'
import type { RolloutOrder } from './rollout.js'

/** Maximum time for which a finished sample of an incomplete group waits to be listed, in milliseconds; bounds the finished work that a crash of the host can cost. */
const MAX_LISTING_DELAY_MS = 1_500

/** Interval within which completed groups are listed together, in milliseconds: well below the time between two reads of a trainer. */
const GROUPING_INTERVAL_MS = 150

/** Finished samples that wait to be listed. */
export interface ListingBacklog {
  /** Ids of listed samples. */
  readonly listed: ReadonlySet<string>
  /** Ids of finished samples that are not listed yet. */
  readonly settled: ReadonlySet<string>
  /** Time since the oldest unlisted sample finished, in milliseconds. */
  readonly oldestMs: number
  /** Time since the last listing, in milliseconds. */
  readonly sinceLastMs: number
}

/**
 * Whether finished samples should be listed now. Trainers count complete groups,
 * so a completed group is listed soon, and at once if it completes the step;
 * samples of incomplete groups wait longer, to be listed together.
 *
 * @example
 * isListingDue(order, { listed, settled, oldestMs: 20, sinceLastMs: 400 })
 */
export function isListingDue (order: RolloutOrder, { listed, settled, oldestMs, sinceLastMs }: ListingBacklog): boolean {
  if (settled.size === 0) return false
  if (oldestMs >= MAX_LISTING_DELAY_MS) return true
  const all = new Set([...listed, ...settled])
  const completeCount = countCompleteGroups(order, all)
  const listedCompleteCount = countCompleteGroups(order, listed)
  if (all.size >= order.samples.length || (completeCount >= order.targetGroups && listedCompleteCount < order.targetGroups)) return true
  return completeCount > listedCompleteCount && sinceLastMs >= GROUPING_INTERVAL_MS
}
