import { countCompleteGroups } from '@cyclamenthread/state'
import type { EndpointEntry, EndpointRecord, MoveEstimate, OpenSample, RolloutOrder, RolloutSample, SampleBoard, StepProgress } from '@cyclamenthread/state'
import type { RolloutContext } from './rollout-context.js'

/** Assumed time between two events of a stream before any was measured, in milliseconds; derived from the engines' step times. */
export const DEFAULT_PACE_MS = 38

/** Assumed time until the first event of a stream that goes on elsewhere, before any was measured, in milliseconds. */
const DEFAULT_START_DELAY_MS = 100

/** Weight of the newest time until a first event in their average. */
const START_DELAY_SMOOTHING = 0.2

/** Expected remainder of a text that is longer than expected, as a share of what there is. */
const OVERLONG_SHARE = 0.3

/** Least number of events that a running text is expected to need. */
const MIN_EVENTS_LEFT = 2

/** Sources of {@link TextEstimates}. */
export interface TextSources {
  readonly context: Pick<RolloutContext, 'deployment'>
  readonly order: RolloutOrder
  readonly board: Pick<SampleBoard, 'listed' | 'settled' | 'generated'>
  /** Groups that came again from an earlier step, for which the trainer waits in any case. */
  readonly carriedGroups: ReadonlySet<string>
  /** Returns the number of events that are held of the text of a sample. */
  readonly heldEvents: (sampleId: string) => number
  /** Returns the endpoint at which a sample runs; undefined if it runs at none. */
  readonly endpointOf: (sampleId: string) => EndpointEntry | undefined
}

/** Estimates when the texts of one rollout's samples will be whole, from the pace of the endpoints. */
export class TextEstimates {
  readonly #sources: TextSources
  #startDelayMs = DEFAULT_START_DELAY_MS

  constructor (sources: TextSources) {
    this.#sources = sources
  }

  /** Records the time from the send of a sample until its first event, in milliseconds. */
  recordStartDelay (delayMs: number): void {
    this.#startDelayMs += (delayMs - this.#startDelayMs) * START_DELAY_SMOOTHING
  }

  /** What is left of the step, by the pace of the endpoints at which its samples run. */
  progress (now: number): StepProgress {
    const { order, board, carriedGroups } = this.#sources
    const settled = new Set([...board.listed, ...board.settled])
    const open: OpenSample[] = []
    for (const sample of order.samples) {
      if (!settled.has(sample.id) && !board.generated.has(sample.id)) open.push({ id: sample.id, group: sample.group, leftMs: this.#expectedMs(sample, now) })
    }
    return { open, completeGroups: countCompleteGroups(order, settled), targetGroups: order.targetGroups, carried: carriedGroups }
  }

  /** Estimates what the move of a running sample to another endpoint would change. */
  move (sample: RolloutSample, from: EndpointRecord, to: EndpointRecord, now: number): MoveEstimate {
    const { context, order } = this.#sources
    const { paces } = context.deployment.endpointTable
    const usualMs = paces.usualMs(order.service, DEFAULT_PACE_MS, now)
    const events = this.eventsLeft(sample)
    return {
      stayMs: paces.expectedMs(from.entry, events, usualMs, now),
      elsewhereMs: paces.expectedMs(to.entry, events, usualMs, now),
      // The event that the endpoint is working on is lost, half of it on average.
      costMs: Math.max(0, this.#startDelayMs - usualMs) + usualMs / 2
    }
  }

  /** Expected number of events that the text of a sample still needs. */
  eventsLeft (sample: RolloutSample): number {
    const { context, order, heldEvents } = this.#sources
    const held = heldEvents(sample.id)
    const expected = sample.expectedTokens / (context.deployment.routeTable?.service(order.service)?.tokensPerEvent ?? 1)
    return Math.max(expected - held, held * OVERLONG_SHARE, MIN_EVENTS_LEFT)
  }

  /** Expected time until the text of a sample is whole, in milliseconds. */
  #expectedMs (sample: RolloutSample, now: number): number {
    const { context, order, endpointOf } = this.#sources
    const { paces } = context.deployment.endpointTable
    const endpoint = endpointOf(sample.id)
    const events = this.eventsLeft(sample)
    if (endpoint !== undefined) return paces.expectedMs(endpoint, events, DEFAULT_PACE_MS, now)
    return this.#startDelayMs + events * paces.usualMs(order.service, DEFAULT_PACE_MS, now)
  }
}
