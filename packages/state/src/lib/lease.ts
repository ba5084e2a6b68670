/** A lease as stored. It contains no time of its writer's clock. */
export interface LeaseRecord {
  readonly holder: string
  /** Incremented with each change of holder; used as fencing token. */
  readonly epoch: number
  /** Incremented with each write of the holder, so that observers see that it is alive. */
  readonly renewal: number
  /** Whether the holder has released the lease and no longer acts on it. */
  readonly released?: boolean | undefined
  /** Hosts that may have acted on the lease less than its duration ago, without the holder's own. */
  readonly formerHosts?: readonly string[] | undefined
}

/** A lease as read by an observer, with the time of its own monotonic clock. */
export interface LeaseObservation {
  readonly record: LeaseRecord
  readonly version: string
  readonly firstSeenAt: number
  /** When the observer first read a record with this epoch. */
  readonly epochSeenAt: number
}

/** Why a candidate may take a lease. */
export enum TakeoverGround {
  /** The store has no record of it. */
  Missing = 'missing',
  /** It is the candidate's own, which lapsed; an unchanged record shows that nobody took it since. */
  Lapsed = 'lapsed',
  /** Its holder has released it. */
  Released = 'released',
  /** Its record has not changed for longer than the lease. */
  Expired = 'expired',
  /** It is held by a previous process of the candidate's own host. */
  Predecessor = 'predecessor'
}

/** Share of the lease by which an observer waits longer: two hosts whose clock rates differ by less can't both believe that they hold it. */
const CLOCK_DRIFT_MARGIN = 0.05

/**
 * Computes how long an observer waits until it may assume that a lease has ended
 * that began, or was renewed, no later than the wait did.
 *
 * @param leaseMs duration of the lease in milliseconds
 * @returns duration in milliseconds, by a clock that stands still while the machine is suspended
 * @example
 * leaseWaitMs(10_000) // 10500
 */
export function leaseWaitMs (leaseMs: number): number {
  return leaseMs * (1 + CLOCK_DRIFT_MARGIN)
}

/**
 * Whether an observer may take over a lease: if it was released, or if its record
 * has not changed for longer than the lease by the observer's own clock.
 *
 * @param observation the record and when the observer first read this version
 * @param leaseMs duration of the lease in milliseconds
 * @param now observer's monotonic time in milliseconds
 * @example
 * mayTakeOver(observation, 10_000, performance.now())
 */
export function mayTakeOver (observation: LeaseObservation, leaseMs: number, now: number): boolean {
  return observation.record.released === true || now - observation.firstSeenAt > leaseWaitMs(leaseMs)
}

/**
 * Whether a lease is held by a previous incarnation of the observer's own host.
 * Only one process runs on a host at a time, so that incarnation has ended and no
 * longer acts on the lease.
 *
 * @param own the observer's name as a holder, in the form `<host>/<incarnation>`
 * @example
 * isPredecessor(record, 'h1/4f2c') // true for a record of 'h1/9a01'
 */
export function isPredecessor (record: LeaseRecord, own: string): boolean {
  return record.holder !== own && own.includes('/') && hostOf(record.holder) === hostOf(own)
}

function hostOf (holder: string): string {
  const end = holder.lastIndexOf('/')
  return end === -1 ? holder : holder.slice(0, end)
}

/**
 * The hosts that a holder names in its record when it takes over a lease: those
 * that acted on the lease before it, and not long ago.
 *
 * @param record the record that is replaced
 * @param own name of the new holder, in the form `<host>/<incarnation>`
 * @example
 * formerHostsAfter({ holder: 'h1/4f2c', epoch: 2, renewal: 0, formerHosts: ['h3'] }, 'h2/9a01') // ['h3', 'h1']
 */
export function formerHostsAfter (record: LeaseRecord, own: string): string[] {
  const hosts = new Set([...record.formerHosts ?? [], hostOf(record.holder)])
  hosts.delete(hostOf(own))
  return [...hosts]
}

/**
 * Why an observer may take over a lease now; undefined if it may not. A host that
 * acted on the lease before the present epoch waits until those acts lie further
 * back than the lease: otherwise it and the holder would act in turn within it.
 *
 * @param own the observer's name as a holder, in the form `<host>/<incarnation>`
 * @param leaseMs duration of the lease in milliseconds
 * @param now observer's monotonic time in milliseconds
 * @example
 * takeoverGround(observation, 'h1/4f2c', 10_000, performance.now())
 */
export function takeoverGround (observation: LeaseObservation, own: string, leaseMs: number, now: number): TakeoverGround | undefined {
  const { record, epochSeenAt } = observation
  if (record.holder === own && record.released !== true) return TakeoverGround.Lapsed
  if (record.formerHosts?.includes(hostOf(own)) === true && now - epochSeenAt <= leaseWaitMs(leaseMs)) return undefined
  if (isPredecessor(record, own)) return TakeoverGround.Predecessor
  if (!mayTakeOver(observation, leaseMs, now)) return undefined
  return record.released === true ? TakeoverGround.Released : TakeoverGround.Expired
}

/**
 * Computes until when a holder may act on its lease. The time counts from before
 * the renewal was sent, so that it ends before the wait of any observer.
 *
 * @param sentAt holder's monotonic time in milliseconds before the write was sent
 * @param leaseMs duration of the lease in milliseconds
 * @returns monotonic deadline in milliseconds
 * @example
 * leaseDeadline(1000, 10_000) // 11000
 */
export function leaseDeadline (sentAt: number, leaseMs: number): number {
  return sentAt + leaseMs
}
