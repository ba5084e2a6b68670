import type { ColdBounds } from './cold-endpoints/endpoint-coldness.js'
import type { HomeRegions } from './homes/home-regions.js'

/** How a route handles requests, in particular those whose outcome is unknown. */
export enum RouteKind {
  /** May be repeated without additional effect. */
  Idempotent = 'idempotent',
  /** May run at most once for each attempt of the caller. */
  NonIdempotent = 'non-idempotent',
  /** Accepts batches of samples that run asynchronously. */
  Rollout = 'rollout'
}

/** Share of a route's requests that is sent to one service. */
export interface ServiceShare {
  readonly service: string
  /** Weight relative to the other shares of the route. */
  readonly weight: number
}

/** A declared route from callers' requests to services. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly shares: readonly ServiceShare[]
  /** Maximum time for which a request may wait, in milliseconds. */
  readonly timeoutMs: number
  /** Target response time, within which an answer is of full use to its caller, in milliseconds. */
  readonly targetMs: number
  /** Maximum number of endpoints to which one attempt of a caller may be sent. */
  readonly maxAttempts: number
  /** Whether callers may use the route without a key. */
  readonly open: boolean
  /** Time after the submission of a batch at which its samples are due, in milliseconds. */
  readonly dueMs: number
  /** Time after the submission of a batch from which unfinished samples may be abandoned, in milliseconds. */
  readonly sampleLifetimeMs: number
  /** Whether the text of a sample must come from a single weight version. */
  readonly singleVersion: boolean
  /** Regions in which its requests may run, be cached and be stored; absent if anywhere. */
  readonly homes?: HomeRegions
}

/** Bounds on the endpoints that may be ordered for a service in each failure domain. */
export interface CapacityBounds {
  readonly minimum: number
  readonly maximum: number
  /** Time from the order of an endpoint until it serves, in milliseconds. */
  readonly startMs: number
  /** Cost of one endpoint per second, by failure domain. */
  readonly prices: Readonly<Record<string, number>>
}

/** A declared service. */
export interface DeclaredService {
  readonly name: string
  readonly maxConnections: number
  /** Models that its endpoints may load; empty for a plain service. */
  readonly models: readonly string[]
  /** Answer tokens in one event of a stream; absent if it isn't declared. */
  readonly tokensPerEvent?: number | undefined
  readonly capacity: CapacityBounds | undefined
  /** Undefined if its endpoints are never cold. */
  readonly cold?: ColdBounds | undefined
}

/** A workspace with its API keys. */
export interface DeclaredWorkspace {
  readonly name: string
  readonly keys: readonly string[]
  /** Regions in which its requests may run, be cached and be stored; absent if anywhere. */
  readonly homes?: HomeRegions
}

/** Size and time limits for requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** The configuration declared by operators, at one version. */
export interface Declaration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly DeclaredService[]
  /** Undefined if callers need no key; empty if none of them has one. */
  readonly workspaces: readonly DeclaredWorkspace[] | undefined
  readonly limits: CallerLimits
}
