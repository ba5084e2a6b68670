/** What a route allows to be done with a request whose outcome is unknown. */
export enum RouteKind {
  /** May be repeated without a second effect. */
  Idempotent = 'idempotent',
  /** May run at most once for each attempt of its caller. */
  NonIdempotent = 'non-idempotent',
  /** Carries batches of samples that run after they were accepted. */
  Rollout = 'rollout'
}

/** Part of a route's requests that one service takes. */
export interface ServiceShare {
  readonly service: string
  /** Relative to the other shares of the route. */
  readonly weight: number
}

/** One declared route of callers' requests to endpoints. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly shares: readonly ServiceShare[]
  /** Longest a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer is of full use to its caller, in milliseconds. */
  readonly targetMs: number
  /** Most endpoints that one attempt of a caller may be sent to. */
  readonly maxAttempts: number
  /** Whether callers need no key. */
  readonly open: boolean
  /** Time after the submission of a batch in which its samples are due, in milliseconds. */
  readonly dueMs: number
  /** Time after the submission of a batch from which open samples may be given up, in milliseconds. */
  readonly sampleLifetimeMs: number
  /** Whether a sample may hold text of one weight version only. */
  readonly singleVersion: boolean
}

/** Bounds within which endpoints of a service may be ordered, for each failure domain. */
export interface CapacityBounds {
  readonly minimum: number
  readonly maximum: number
  /** Time an ordered endpoint takes until it serves, in milliseconds. */
  readonly startMs: number
  /** Cost of one endpoint for one second, by failure domain. */
  readonly prices: Readonly<Record<string, number>>
}

/** One declared service. */
export interface DeclaredService {
  readonly name: string
  readonly maxConnections: number
  /** Models that its endpoints hold; empty for a plain service. */
  readonly models: readonly string[]
  readonly capacity: CapacityBounds | undefined
}

/** A workspace and the keys that speak for it. */
export interface DeclaredWorkspace {
  readonly name: string
  readonly keys: readonly string[]
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** Everything operators have declared, at one version. */
export interface Declaration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly DeclaredService[]
  readonly workspaces: readonly DeclaredWorkspace[]
  readonly limits: CallerLimits
}
