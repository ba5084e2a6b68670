import type { CellEndpoint } from './cell-endpoint.js'
import type { SlotRequest } from './cell-event.js'

/** Time a prompt token takes when its prefix is not cached, in milliseconds. */
const PREFILL_MS_PER_TOKEN = 0.25

/** Time an answer token takes when nothing is known of the entry, in milliseconds. */
const DECODE_MS_PER_TOKEN = 10

/** By how much a full batch slows its requests, relative to an empty one. */
const FULL_BATCH_SLOWDOWN = 0.5

/** What the choice between endpoints goes by, besides the endpoints. */
export interface EndpointChoiceContext {
  readonly now: number
  /** Learnt time per expected token of the request's entry; undefined while too little is known. */
  readonly msPerToken: number | undefined
}

/**
 * Expected time until an endpoint with a free slot has finished a request:
 * prefill, less what a remembered prefix saves, and decode, slowed by what else
 * runs there. An endpoint that has the prefix is so preferred only while the
 * prefill saved exceeds the time lost in its fuller batch.
 *
 * @returns milliseconds
 * @example
 * expectedFinishMs(endpoint, request, { now, msPerToken: 12 })
 */
export function expectedFinishMs (endpoint: CellEndpoint, request: SlotRequest, context: EndpointChoiceContext): number {
  const cached = request.prefix !== '' && endpoint.prefixes.has(request.prefix, context.now)
  const prefill = cached ? 0 : request.promptTokens * PREFILL_MS_PER_TOKEN
  const load = (endpoint.busySlots + endpoint.unaccountedWork(context.now)) / endpoint.endpoint.slots
  const decode = request.expectedTokens * (context.msPerToken ?? DECODE_MS_PER_TOKEN)
  return prefill + decode * (1 + FULL_BATCH_SLOWDOWN * load)
}

/**
 * The endpoint that is expected to finish first among those with a free slot;
 * equal ones by the fewest busy slots, then by id.
 *
 * @example
 * chooseEndpoint(endpoints, request, { now, msPerToken: undefined })?.endpoint.id
 */
export function chooseEndpoint (endpoints: Iterable<CellEndpoint>, request: SlotRequest, context: EndpointChoiceContext): CellEndpoint | undefined {
  let best: CellEndpoint | undefined
  let bestMs = Infinity
  for (const endpoint of endpoints) {
    if (endpoint.freeSlots(context.now) <= 0 || request.excluded.includes(endpoint.endpoint.id)) continue
    const finishMs = expectedFinishMs(endpoint, request, context)
    if (best !== undefined && (finishMs > bestMs || (finishMs === bestMs && !isLessBusy(endpoint, best)))) continue
    best = endpoint
    bestMs = finishMs
  }
  return best
}

function isLessBusy (a: CellEndpoint, b: CellEndpoint): boolean {
  return a.busySlots !== b.busySlots ? a.busySlots < b.busySlots : a.endpoint.id < b.endpoint.id
}
