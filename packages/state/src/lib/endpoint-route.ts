import type { EndpointBoard, EndpointRecord } from './endpoint-board.js'

/** Where this process stands relative to endpoints. */
export interface Vantage {
  readonly failureDomain: string
  readonly region: string
  /** Region of each failure domain. */
  readonly regions: Readonly<Record<string, string>>
}

/** Round trip to another failure domain of the region, in milliseconds; from the deployments' sheets. */
const DOMAIN_TRIP_MS = 2

/** Round trip to another region, in milliseconds; from the deployments' sheets. */
const REGION_TRIP_MS = 24

/**
 * Expected round trip to a failure domain, in milliseconds.
 *
 * @example
 * tripMs(vantage, 'castlegate') // 24
 */
export function tripMs (vantage: Vantage, failureDomain: string): number {
  if (failureDomain === vantage.failureDomain) return 0
  return vantage.regions[failureDomain] === vantage.region ? DOMAIN_TRIP_MS : REGION_TRIP_MS
}

/** What a plain call needs of its endpoint. */
export interface CallDemand {
  readonly service: string
  /** Endpoints that this call was already sent to. */
  readonly excluded: ReadonlySet<string>
  /** Usual time of a call of this service, in milliseconds. */
  readonly usualMs: number
}

/**
 * The endpoint that is expected to answer a call first: the time it usually
 * takes, stretched by the work that is there already, and the way to it.
 *
 * @example
 * chooseForCall(board, { service: 'desk', excluded: new Set(), usualMs: 30 }, vantage, now)
 */
export function chooseForCall (board: EndpointBoard, demand: CallDemand, vantage: Vantage, now: number): EndpointRecord | undefined {
  let best: EndpointRecord | undefined
  let bestMs = Infinity
  for (const record of board.usable(demand.service, now)) {
    if (demand.excluded.has(record.entry.id)) continue
    const queue = Math.max(1, (board.load(record, now) + 1) / Math.max(1, record.entry.slots - 1))
    const expectedMs = board.pace(record, demand.usualMs, now) * queue + tripMs(vantage, record.entry.failureDomain)
    if (expectedMs < bestMs) {
      best = record
      bestMs = expectedMs
    }
  }
  return best
}
