import type { LeaderLease } from './leader-lease.js'

/** The desired number of endpoints of a service in a failure domain. */
export interface CapacityOrder {
  readonly service: string
  readonly failureDomain: string
  readonly count: number
  /** Whether to order preemptible endpoints, which the platform may reclaim at short notice. */
  readonly cheap: boolean
}

/** Outcome of a platform call. */
export enum PlatformCallStatus {
  Done = 'done',
  /** The platform rejected the report, or has no capacity for the order. */
  Refused = 'refused',
  /** No response, or the platform was busy; the call should be retried. */
  Failed = 'failed'
}

/** Platform calls that only the current leader may make. No method throws. */
export interface PlatformPort {
  /** Reports how many requests of each workspace began in a usage window. */
  reportUsage (window: number, counts: Readonly<Record<string, number>>, lease: LeaderLease): Promise<PlatformCallStatus>
  /** Sets the desired number of endpoints. */
  orderCapacity (order: CapacityOrder, lease: LeaderLease): Promise<PlatformCallStatus>
  close (): Promise<void>
}
