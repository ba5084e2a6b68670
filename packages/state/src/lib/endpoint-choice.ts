import type { CellEndpoint } from './cell-endpoint.js'
import type { SlotRequest } from './cell-event.js'

/** Prefill time of a prompt token that is not cached, in milliseconds. */
const PREFILL_MS_PER_TOKEN = 0.25

/** Default decode time of an answer token, without measurements for the entry, in milliseconds. */
const DECODE_MS_PER_TOKEN = 10

/** Relative slowdown of requests in a full batch, compared with an empty one. */
const FULL_BATCH_SLOWDOWN = 0.5

/** Inputs to the choice between endpoints. */
export interface EndpointChoiceContext {
  readonly now: number
  /** Measured time per expected token of the request's entry; undefined without enough observations. */
  readonly msPerToken: number | undefined
}

/**
 * Estimates the time until an endpoint with a free slot has finished a request:
 * prefill, unless the prefix is cached, plus decode, slowed by the other requests
 * in the batch. An endpoint that has the prefix cached is therefore preferred only
 * while the saved prefill exceeds the time lost in its fuller batch.
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
 * Chooses the endpoint that is expected to finish first among those with a free
 * slot; ties are broken by the number of busy slots, then by id.
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
