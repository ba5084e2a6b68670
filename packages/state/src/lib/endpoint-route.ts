import { isInService } from './endpoint-table.js'
import type { EndpointTable, EndpointRecord } from './endpoint-table.js'

/** Network location of this process. */
export interface NetworkLocation {
  readonly failureDomain: string
  readonly region: string
  /** Region of each failure domain. */
  readonly regions: Readonly<Record<string, string>>
}

/** Round-trip time to another failure domain of the region, in milliseconds; from the specifications of the deployments. */
const DOMAIN_ROUND_TRIP_MS = 2

/** Round-trip time to another region, in milliseconds; from the specifications of the deployments. */
const REGION_ROUND_TRIP_MS = 24

/**
 * Expected round-trip time to a failure domain, in milliseconds.
 *
 * @example
 * roundTripMs(location, 'castlegate') // 24
 */
export function roundTripMs (location: NetworkLocation, failureDomain: string): number {
  if (failureDomain === location.failureDomain) return 0
  return location.regions[failureDomain] === location.region ? DOMAIN_ROUND_TRIP_MS : REGION_ROUND_TRIP_MS
}

/** Requirements of a plain call on its endpoint. */
export interface CallDemand {
  readonly service: string
  /** Endpoints to which this call was already sent. */
  readonly excluded: ReadonlySet<string>
  /** Typical duration of a call of this service, in milliseconds. */
  readonly typicalMs: number
  /** The only software version whose endpoints may be chosen; absent if any may. */
  readonly softwareVersion?: string | undefined
  /** Slots of each endpoint that stay free for more urgent calls; if 0, the call may also queue at a full endpoint. */
  readonly reservedSlots: number
  /** Failure domains in which the call may run; absent if in all. */
  readonly domains?: ReadonlySet<string> | undefined
}

/**
 * Whether an endpoint has a software version; without one, any will do.
 *
 * @example
 * isOfVersion(record, 's1')
 */
export function isOfVersion ({ entry }: EndpointRecord, softwareVersion: string | undefined): boolean {
  return softwareVersion === undefined || entry.softwareVersion === softwareVersion
}

/**
 * Whether an endpoint is in one of some failure domains; undefined stands for all.
 *
 * @example
 * isInDomains(record, new Set(['leith-walk']))
 */
export function isInDomains ({ entry }: EndpointRecord, domains: ReadonlySet<string> | undefined): boolean {
  return domains === undefined || domains.has(entry.failureDomain)
}

/**
 * Chooses the endpoint that is expected to answer a call first: its typical
 * duration, scaled by the work already queued there, plus the round-trip time.
 *
 * @example
 * chooseEndpointForCall(endpoints, { service: 'desk', excluded: new Set(), typicalMs: 30, reservedSlots: 0 }, location, now)
 */
export function chooseEndpointForCall (endpoints: EndpointTable, demand: CallDemand, location: NetworkLocation, now: number): EndpointRecord | undefined {
  let best: EndpointRecord | undefined
  let bestMs = Infinity
  for (const record of endpoints.usableEndpoints(demand.service, now)) {
    if (demand.excluded.has(record.entry.id) || !isOfVersion(record, demand.softwareVersion) || !isInDomains(record, demand.domains)) continue
    const load = endpoints.currentLoad(record, now)
    if (demand.reservedSlots > 0 && load >= Math.max(1, record.entry.slots - demand.reservedSlots)) continue
    const queueFactor = Math.max(1, (load + 1) / Math.max(1, record.entry.slots - 1))
    const paceMs = endpoints.paces.isStated(demand.service)
      ? endpoints.estimatedPace(record, demand.typicalMs, now) * endpoints.paces.expectedMs(record.entry, 1, demand.typicalMs, now) / endpoints.paces.usualMs(demand.service, demand.typicalMs, now)
      : endpoints.estimatedPace(record, demand.typicalMs, now)
    const expectedMs = paceMs * queueFactor + roundTripMs(location, record.entry.failureDomain)
    if (expectedMs < bestMs) {
      best = record
      bestMs = expectedMs
    }
  }
  return best
}

/**
 * Chooses an endpoint that is suspended because connections to it broke, for a call that no
 * other endpoint can take: a path that breaks some connections carries others. Each
 * endpoint gets one such call at a time, and the one with the fewest failures comes first.
 *
 * @example
 * chooseEndpointForCall(endpoints, demand, location, now) ?? chooseSuspendedEndpoint(endpoints, demand, now)
 */
export function chooseSuspendedEndpoint (endpoints: EndpointTable, demand: CallDemand, now: number): EndpointRecord | undefined {
  const [first] = endpoints.endpointsOfService(demand.service)
    .filter((record) => isInService(record) && now < record.brokenUntil && record.activeWork === 0 && now >= record.overrunUntil)
    .filter((record) => isOfVersion(record, demand.softwareVersion) && isInDomains(record, demand.domains) && !demand.excluded.has(record.entry.id))
    .sort((a, b) => a.consecutiveFailures - b.consecutiveFailures || a.suspendedUntil - b.suspendedUntil)
  return first
}
