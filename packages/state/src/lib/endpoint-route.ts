import type { EndpointTable, EndpointRecord } from './endpoint-table.js'

/** Where this process stands relative to endpoints. */
export interface NetworkLocation {
  readonly failureDomain: string
  readonly region: string
  /** Region of each failure domain. */
  readonly regions: Readonly<Record<string, string>>
}

/** Round trip to another failure domain of the region, in milliseconds; from the deployments' sheets. */
const DOMAIN_ROUND_TRIP_MS = 2

/** Round trip to another region, in milliseconds; from the deployments' sheets. */
const REGION_ROUND_TRIP_MS = 24

/**
 * Expected round trip to a failure domain, in milliseconds.
 *
 * @example
 * tripMs(vantage, 'castlegate') // 24
 */
export function roundTripMs (location: NetworkLocation, failureDomain: string): number {
  if (failureDomain === location.failureDomain) return 0
  return location.regions[failureDomain] === location.region ? DOMAIN_ROUND_TRIP_MS : REGION_ROUND_TRIP_MS
}

/** What a plain call needs of its endpoint. */
export interface CallDemand {
  readonly service: string
  /** Endpoints that this call was already sent to. */
  readonly excluded: ReadonlySet<string>
  /** Usual time of a call of this service, in milliseconds. */
  readonly typicalMs: number
}

/**
 * The endpoint that is expected to answer a call first: the time it usually
 * takes, stretched by the work that is there already, and the way to it.
 *
 * @example
 * chooseForCall(board, { service: 'desk', excluded: new Set(), usualMs: 30 }, vantage, now)
 */
export function chooseEndpointForCall (endpoints: EndpointTable, demand: CallDemand, location: NetworkLocation, now: number): EndpointRecord | undefined {
  let best: EndpointRecord | undefined
  let bestMs = Infinity
  for (const record of endpoints.usableEndpoints(demand.service, now)) {
    if (demand.excluded.has(record.entry.id)) continue
    const queueFactor = Math.max(1, (endpoints.currentLoad(record, now) + 1) / Math.max(1, record.entry.slots - 1))
    const expectedMs = endpoints.estimatedPace(record, demand.typicalMs, now) * queueFactor + roundTripMs(location, record.entry.failureDomain)
    if (expectedMs < bestMs) {
      best = record
      bestMs = expectedMs
    }
  }
  return best
}
