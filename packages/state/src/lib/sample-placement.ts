import { isInDomains, roundTripMs } from './endpoint-route.js'
import type { EndpointTable, EndpointRecord } from './endpoint-table.js'
import type { NetworkLocation } from './endpoint-route.js'
import type { RolloutOrder, RolloutSample } from './rollout.js'

/** Slowdown of an engine step for each request in the batch, relative to an empty batch; from the engines' step times. */
const LOAD_SLOWDOWN = 0.01

/** Score bonus of an endpoint that has the group's prompt cached, relative to the expected time. */
const CACHED_PROMPT_BONUS = 0.02

/** Weight of the round-trip time relative to the duration of a sample, in samples per millisecond. */
const ROUND_TRIP_WEIGHT = 1 / 4_000

/** Requirements of a sample on its endpoint. */
export interface SampleDemand {
  readonly service: string
  readonly model: string
  readonly minVersion: number
  /** The only software version whose endpoints may run the sample, because one of them began its text; undefined if all may. */
  readonly softwareVersion: string | undefined
  /** Endpoints that have the prompt of the sample's group cached. */
  readonly warm: ReadonlySet<string>
  /** Endpoints that may get no sample now; absent if there are none. */
  readonly excluded?: ReadonlySet<string>
  /** Failure domains in which the sample may run; absent if in all. */
  readonly domains?: ReadonlySet<string> | undefined
  /** Expected number of events that are left; absent if it isn't known. */
  readonly units?: number
}

/**
 * Sorts samples in the order in which they should start: the longest expected
 * samples first, and among equals those of the group with the longest expected
 * sample, since only complete groups count.
 *
 * @example
 * sortForStart(order, order.samples)[0]
 */
export function sortForStart (order: RolloutOrder, open: readonly RolloutSample[]): RolloutSample[] {
  const longest = new Map<string, number>()
  for (const sample of order.samples) longest.set(sample.group, Math.max(longest.get(sample.group) ?? 0, sample.expectedTokens))
  const position = new Map(order.samples.map((sample, index) => [sample.id, index]))
  return [...open].sort((a, b) =>
    b.expectedTokens - a.expectedTokens ||
    (longest.get(b.group) ?? 0) - (longest.get(a.group) ?? 0) ||
    (position.get(a.id) ?? 0) - (position.get(b.id) ?? 0))
}

/**
 * Chooses the endpoint on which a sample is expected to end first, among those with
 * a free slot, recent enough weights and the required software version; undefined if there is none now.
 *
 * @param typicalPaceMs typical time between two events of a stream, in milliseconds
 * @example
 * placeSample(endpoints, demand, location, 40, now)
 */
export function placeSample (endpoints: EndpointTable, demand: SampleDemand, location: NetworkLocation, typicalPaceMs: number, now: number): EndpointRecord | undefined {
  let best: EndpointRecord | undefined
  let bestScore = Infinity
  for (const record of endpoints.usableEndpoints(demand.service, now)) {
    if (demand.excluded?.has(record.entry.id) === true || !isInDomains(record, demand.domains)) continue
    if (demand.softwareVersion !== undefined && record.entry.softwareVersion !== demand.softwareVersion) continue
    const load = endpoints.currentLoad(record, now)
    if (load >= record.entry.slots) continue
    if (!endpoints.acceptsModel(record, demand.model, demand.minVersion, now)) continue
    const pace = relativePace(endpoints, record, demand, typicalPaceMs, now)
    const score = pace * (1 + LOAD_SLOWDOWN * load) + roundTripMs(location, record.entry.failureDomain) * ROUND_TRIP_WEIGHT -
      (demand.warm.has(record.entry.id) ? CACHED_PROMPT_BONUS : 0)
    if (score < bestScore) {
      best = record
      bestScore = score
    }
  }
  return best
}

/** Expected time of a sample at an endpoint relative to the usual one. */
function relativePace (endpoints: EndpointTable, record: EndpointRecord, { service, units }: SampleDemand, typicalPaceMs: number, now: number): number {
  const { paces } = endpoints
  if (units === undefined || !paces.isStated(service)) return endpoints.estimatedPace(record, typicalPaceMs, now) / typicalPaceMs
  return paces.expectedMs(record.entry, units, typicalPaceMs, now) / (units * paces.usualMs(service, typicalPaceMs, now))
}
