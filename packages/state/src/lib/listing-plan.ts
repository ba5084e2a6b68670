import { countCompleteGroups } from './rollout.js'
import type { RolloutOrder } from './rollout.js'

/** Longest that a finished sample waits to be listed while its group is not whole, in milliseconds: what a host's death may cost. */
const MAX_LISTING_DELAY_MS = 1_500

/** Time within which groups that become whole are listed together, in milliseconds: well below the pause between a trainer's reads. */
const GROUPING_INTERVAL_MS = 150

/** What waits to be listed, and for how long. */
export interface ListingBacklog {
  /** Ids that are listed. */
  readonly listed: ReadonlySet<string>
  /** Ids of finished samples that are not listed yet. */
  readonly settled: ReadonlySet<string>
  /** Time since the oldest of them finished, in milliseconds. */
  readonly oldestMs: number
  /** Time since the last listing, in milliseconds. */
  readonly sinceLastMs: number
}

/**
 * Whether finished samples should be listed now. A trainer counts whole groups,
 * so one that has become whole is listed soon, and at once when it decides the
 * step; samples of groups that are still open only wait for company.
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
