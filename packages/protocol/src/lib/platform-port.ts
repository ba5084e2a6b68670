/** The lease under which a call of the platform is made. */
export interface LeaderLease {
  readonly holder: string
  /** Fencing number. */
  readonly fence: number
  /** Monotonic milliseconds at which the lease ends; no byte leaves after it. */
  readonly deadline: number
}

/** The number of endpoints of a service that should run in a failure domain. */
export interface CapacityOrder {
  readonly service: string
  readonly failureDomain: string
  readonly count: number
  /** Whether endpoints that may be taken back at short notice are meant. */
  readonly cheap: boolean
}

/** What came of a call of the platform. */
export enum PlatformCallStatus {
  Done = 'done',
  /** None are to be had, or the figures were refused. */
  Refused = 'refused',
  /** No answer, or the platform was busy; to be sent again. */
  Failed = 'failed'
}

/** Calls of the platform that one host at a time may make. Nothing here throws. */
export interface PlatformPort {
  /** Reports the requests of each workspace that began in a window. */
  reportUsage (window: number, counts: Readonly<Record<string, number>>, lease: LeaderLease): Promise<PlatformCallStatus>
  /** Orders endpoints. */
  orderCapacity (order: CapacityOrder, lease: LeaderLease): Promise<PlatformCallStatus>
  close (): Promise<void>
}
