/** The record of a lease, as it stands in the store. No clock of its writer is in it. */
export interface LeaseRecord {
  readonly holder: string
  /** Grows by one with each change of holder; serves as fencing number. */
  readonly epoch: number
  /** Grows with each renewal, so that an observer sees that the holder lives. */
  readonly renewal: number
  /** Whether the holder has given the lease up and acts no more. */
  readonly released?: boolean | undefined
}

/** What an observer saw of a lease and when, by its own monotonic clock. */
export interface LeaseObservation {
  readonly record: LeaseRecord
  readonly version: string
  readonly firstSeenAt: number
}

/** How much longer than the lease an observer waits: two clocks that differ in rate by less than this can't make both believe they hold it. */
const CLOCK_DRIFT_MARGIN = 0.05

/**
 * Whether an observer may take over: only when the record stood unchanged for
 * longer than the lease on the observer's own clock.
 *
 * @param observation the record and when the observer first saw it in this form
 * @param leaseMs length of the lease in milliseconds
 * @param now observer's monotonic time in milliseconds
 * @example
 * mayTakeOver(sighting, 10_000, performance.now())
 */
export function mayTakeOver (observation: LeaseObservation, leaseMs: number, now: number): boolean {
  return observation.record.released === true || now - observation.firstSeenAt > leaseMs * (1 + CLOCK_DRIFT_MARGIN)
}

/**
 * Whether a lease is held by an earlier life of the observer's own host. One
 * process runs on a host at a time, so that life is over and acts no more.
 *
 * @param own holder's name of the observer, as `<host>/<incarnation>`
 * @example
 * isPredecessor(record, 'h1/4f2c') // true for a record of 'h1/9a01'
 */
export function isPredecessor (record: LeaseRecord, own: string): boolean {
  const hostOf = (holder: string): string => holder.slice(0, holder.lastIndexOf('/') + 1)
  return record.holder !== own && hostOf(own) !== '' && hostOf(record.holder) === hostOf(own)
}

/**
 * Until when a holder may act: counted from before the renewal was sent, so
 * that it ends before any observer's wait does.
 *
 * @param sentAt holder's monotonic time in milliseconds before the write left
 * @param leaseMs length of the lease in milliseconds
 * @returns monotonic deadline in milliseconds
 * @example
 * leaseDeadline(1000, 10_000) // 11000
 */
export function leaseDeadline (sentAt: number, leaseMs: number): number {
  return sentAt + leaseMs
}
