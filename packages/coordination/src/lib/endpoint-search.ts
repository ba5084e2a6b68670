import { chooseEndpointForCall, chooseSuspendedEndpoint, isInDomains, isInService, isOfVersion, limitInForce, SendUrgency, unreachable } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import { CallOrigin } from './plain-call.js'
import { SendPermission } from './send-permit-task.js'
import type { CallDemand, EndpointRecord, NetworkLocation } from '@cyclamenthread/state'
import type { DeploymentView } from './deployment-view.js'
import type { SendPermits } from './send-permit-task.js'

/** Assumed duration of a plain call before any was measured, in milliseconds; about the mean in the deployments' data sheets. */
export const DEFAULT_CALL_MS = 40

/** Number of slots of each endpoint that calls of an origin leave free: callers don't wait behind rewards. */
const RESERVED_SLOTS: Readonly<Record<CallOrigin, number>> = { [CallOrigin.Caller]: 0, [CallOrigin.Reward]: 2 }

/** Urgency of calls of an origin at endpoints that name a limit. */
const URGENCY: Readonly<Record<CallOrigin, SendUrgency>> = { [CallOrigin.Caller]: SendUrgency.Caller, [CallOrigin.Reward]: SendUrgency.Reward }

/** What a call needs of its endpoint. */
export interface EndpointQuery {
  readonly service: string
  readonly origin: CallOrigin
  /** The only software version that may answer; undefined if any may. */
  readonly softwareVersion: string | undefined
  /** Endpoints to which the call was already sent. */
  readonly excluded: ReadonlySet<string>
  /** Monotonic milliseconds until which the call can wait for an endpoint. */
  readonly waitUntil: number
  /** Failure domains in which the call may run; absent if in all. */
  readonly domains?: ReadonlySet<string> | undefined
}

/** The part of a query that decides which endpoints are considered. */
type PlaceQuery = Pick<EndpointQuery, 'service' | 'origin' | 'softwareVersion' | 'domains'>

/** Kinds of results of a search. */
export enum SearchEnd {
  Found = 'found',
  /** The keeper of an endpoint's limit is being asked. */
  Asking = 'asking',
  /** The limits of the endpoints allow no request until later than the call can wait. */
  Limited = 'limited',
  None = 'none'
}

/** The result of a search for an endpoint that a call may be sent to now. */
export type SearchResult =
  | {
    readonly end: SearchEnd.Found
    readonly record: EndpointRecord
    /** Time after which the call must not begin to be written there, in milliseconds by the clock that counts suspends. */
    readonly startBefore: number
  }
  | { readonly end: SearchEnd.Asking, readonly answered: Promise<void> }
  | {
    readonly end: SearchEnd.Limited
    /** Monotonic milliseconds at which a request may be allowed. */
    readonly retryAt: number
  }
  | { readonly end: SearchEnd.None }

/** Dependencies of an {@link EndpointSearch}. */
export interface EndpointSearchContext {
  readonly deployment: DeploymentView
  readonly sends: SendPermits
  readonly networkLocation: NetworkLocation
}

/** Searches endpoints for calls, within the limits that endpoints name. */
export class EndpointSearch {
  readonly #context: EndpointSearchContext

  constructor (context: EndpointSearchContext) {
    this.#context = context
  }

  /** Finds the endpoint that is expected to answer first among those that accept the call and whose limit allows it. */
  find (query: EndpointQuery): SearchResult {
    const excluded = new Set(query.excluded)
    let retryAt = Infinity
    for (;;) {
      const record = this.#choose(query, excluded) ?? this.#chooseSuspended(query, excluded)
      if (record === undefined) break
      const permit = this.#context.sends.take(record, URGENCY[query.origin], Math.max(0, query.waitUntil - monotonicNow()))
      switch (permit.kind) {
        case SendPermission.Unlimited: return { end: SearchEnd.Found, record, startBefore: Infinity }
        case SendPermission.Granted: return { end: SearchEnd.Found, record, startBefore: permit.startBefore }
        case SendPermission.Asking: return { end: SearchEnd.Asking, answered: permit.answered }
        case SendPermission.Denied:
          retryAt = Math.min(retryAt, permit.retryAt)
          excluded.add(record.entry.id)
          break
        default: return unreachable(permit)
      }
    }
    const isLimited = retryAt < Infinity && retryAt > query.waitUntil && !this.#isOtherExpected(query)
    return isLimited ? { end: SearchEnd.Limited, retryAt } : { end: SearchEnd.None }
  }

  /** Finds an endpoint for a copy of a call, but none that names a limit: the copy would take the place of another call. */
  findForCopy (query: EndpointQuery): EndpointRecord | undefined {
    const limited = this.#context.deployment.endpointTable.limitedEndpoints(monotonicNow()).map(([{ entry }]) => entry.id)
    return this.#choose(query, new Set([...query.excluded, ...limited]))
  }

  /** Whether an endpoint of a service has a slot for calls of an origin now. */
  hasRoom (service: string, origin: CallOrigin): boolean {
    return this.#choose({ service, origin, softwareVersion: undefined }, new Set()) !== undefined
  }

  #choose (query: PlaceQuery, excluded: ReadonlySet<string>): EndpointRecord | undefined {
    const { deployment, networkLocation } = this.#context
    return chooseEndpointForCall(deployment.endpointTable, demandOf(query, excluded), networkLocation, monotonicNow())
  }

  /** Callers wait and rewards don't: only the former go to suspended endpoints. */
  #chooseSuspended (query: EndpointQuery, excluded: ReadonlySet<string>): EndpointRecord | undefined {
    if (query.origin !== CallOrigin.Caller) return undefined
    return chooseSuspendedEndpoint(this.#context.deployment.endpointTable, demandOf(query, excluded), monotonicNow())
  }

  /** Whether an endpoint without a limit, to which the call can't be sent now, may accept it in time. */
  #isOtherExpected ({ service, softwareVersion, waitUntil, domains }: EndpointQuery): boolean {
    return this.#context.deployment.endpointTable.endpointsOfService(service).some((record) =>
      isOfVersion(record, softwareVersion) && isInDomains(record, domains) && isInService(record) && limitInForce(record, monotonicNow()) === undefined && record.suspendedUntil < waitUntil)
  }
}

function demandOf ({ service, origin, softwareVersion, domains }: PlaceQuery, excluded: ReadonlySet<string>): CallDemand {
  return { service, excluded, typicalMs: DEFAULT_CALL_MS, reservedSlots: RESERVED_SLOTS[origin], softwareVersion, domains }
}
