import { roundTripMs } from './endpoint-route.js'
import type { EndpointTable, EndpointRecord } from './endpoint-table.js'
import type { NetworkLocation } from './endpoint-route.js'
import type { RolloutOrder, RolloutSample } from './rollout.js'

/** Cost of a step of one endpoint's batch for each running request, relative to an empty one; from the engines' step times. */
const LOAD_SLOWDOWN = 0.01

/** Advantage of an endpoint that has read the group's prompt, relative to its expected time. */
const CACHED_PROMPT_BONUS = 0.02

/** Weight of the way to an endpoint against the time of a sample, in samples a millisecond. */
const ROUND_TRIP_WEIGHT = 1 / 4_000

/** What is asked for when a sample is to be placed. */
export interface SampleDemand {
  readonly service: string
  readonly model: string
  readonly minVersion: number
  /** Endpoints that have read the prompt of the sample's group. */
  readonly warm: ReadonlySet<string>
}

/**
 * Samples in the order in which they are to start: groups with the longest
 * expected sample first, since a group counts only when it is whole, and the
 * longest of a group first.
 *
 * @example
 * startOrder(order, order.samples)[0]
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
 * The endpoint on which a sample is expected to end first, among those with a
 * free slot and weights that are new enough; undefined when there is none now.
 *
 * @param typicalPaceMs usual time between two events of a stream, in milliseconds
 * @example
 * placeSample(board, demand, vantage, 40, now)
 */
export function placeSample (endpoints: EndpointTable, demand: SampleDemand, location: NetworkLocation, typicalPaceMs: number, now: number): EndpointRecord | undefined {
  let best: EndpointRecord | undefined
  let bestScore = Infinity
  for (const record of endpoints.usableEndpoints(demand.service, now)) {
    const load = endpoints.currentLoad(record, now)
    if (load >= record.entry.slots) continue
    if (!endpoints.acceptsModel(record, demand.model, demand.minVersion, now)) continue
    const pace = endpoints.estimatedPace(record, typicalPaceMs, now) / typicalPaceMs
    const score = pace * (1 + LOAD_SLOWDOWN * load) + roundTripMs(location, record.entry.failureDomain) * ROUND_TRIP_WEIGHT -
      (demand.warm.has(record.entry.id) ? CACHED_PROMPT_BONUS : 0)
    if (score < bestScore) {
      best = record
      bestScore = score
    }
  }
  return best
}
