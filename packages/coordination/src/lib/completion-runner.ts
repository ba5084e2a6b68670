import { digest, notRun, Ran, RefusalReason, RetryBudget, SlotEnd } from '@cyclamenthread/state'
import { CompletionBuilder, CompletionPartKind } from '@cyclamenthread/protocol'
import { deadlineAfter, SpanKind, timeLeft, withSpan, getTraceparent } from '@cyclamenthread/transport'
import type { Endpoint, Entry, Refusal, RequestOrigin, Workspace } from '@cyclamenthread/state'
import type { Completion, CompletionPart, PartialCompletion, EndpointClient } from '@cyclamenthread/protocol'
import type { Slot, SlotSource } from './cell-router.js'
import type { LossSubject, QuarantineTask } from './quarantine-task.js'

/** Maximum number of endpoints that a request is attempted on. */
const MAX_ATTEMPTS = 3

/** Time within which a failed endpoint must answer a probe to count as alive, in milliseconds. */
const PROBE_TIMEOUT_MS = 500

/** Leading characters of a prompt that identify its cached prefix. */
const PREFIX_CHARACTERS = 256

/** Assumed characters per token when the token count is unknown. */
const CHARACTERS_PER_TOKEN = 4

/** A completion request of a caller or a batch. */
export interface CompletionOrder {
  readonly requestId: string
  readonly origin: RequestOrigin
  readonly workspace: Workspace
  readonly entry: Entry
  readonly prompt: string
  readonly maxTokens: number
  readonly expectedTokens: number
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  readonly traceparent: string
  readonly signal?: AbortSignal
  /** Called with each part as it arrives; after the first call the request is not retried at another endpoint. */
  readonly onPart?: (part: CompletionPart) => void
  /** Ids of endpoints that must not be used. */
  readonly excluded?: readonly string[]
  /** The part of the answer that an earlier endpoint has generated. */
  readonly resume?: PartialCompletion
  /** Observes the run; unlike `onPart`, it doesn't prevent a retry at another endpoint. */
  readonly observer?: CompletionObserver
}

/** Observes a completion that may still be retried at another endpoint. */
export interface CompletionObserver {
  /** Called when a slot was granted; the stream starts from the beginning, or from the seed. */
  onSlotGranted (endpoint: Endpoint): void
  onPart (part: CompletionPart): void
}

/** Result of a completion. */
export type CompletionResult =
  | { readonly ok: true, readonly completion: Completion, readonly endpoint: string }
  | { readonly ok: false, readonly refusal: Refusal }

/** Outcome of one attempt at one endpoint. */
type AttemptOutcome =
  | { readonly kind: 'done', readonly result: CompletionResult }
  | { readonly kind: 'failed', readonly endpoint: string, readonly sent: boolean, readonly streamed: boolean, readonly detail: string }

/**
 * Runs completions: acquires a slot, streams from the endpoint, releases the
 * slot, and retries at another endpoint after a failure. Completions are
 * idempotent, so a retry is safe as long as no part of the answer was forwarded.
 */
export class CompletionRunner {
  readonly #router: SlotSource
  readonly #endpoints: EndpointClient
  readonly #quarantine: QuarantineTask
  readonly #retries = new RetryBudget()

  constructor (router: SlotSource, endpoints: EndpointClient, quarantine: QuarantineTask) {
    this.#router = router
    this.#endpoints = endpoints
    this.#quarantine = quarantine
  }

  /** Runs a completion until it finishes, is refused, or reaches its deadline. */
  async run (order: CompletionOrder): Promise<CompletionResult> {
    const excluded = [...order.excluded ?? []]
    let ran = Ran.No
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const outcome = await this.#attempt(order, excluded)
      if (outcome.kind === 'done') return outcome.result.ok ? outcome.result : { ok: false, refusal: withEarlierAttempts(outcome.result.refusal, ran) }
      excluded.push(outcome.endpoint)
      if (outcome.sent) ran = Ran.Maybe
      if (outcome.streamed || order.signal?.aborted === true || timeLeft(order.deadline) <= 0) break
      if (!this.#retries.trySpend(order.workspace.name)) break
    }
    return { ok: false, refusal: { reason: RefusalReason.EndpointFailed, ran, detail: 'every endpoint that was tried failed the request' } }
  }

  async #attempt (order: CompletionOrder, excluded: readonly string[]): Promise<AttemptOutcome> {
    if (order.signal?.aborted === true) return { kind: 'done', result: { ok: false, refusal: notRun(RefusalReason.Cancelled, 'the request was cancelled before it ran') } }
    const answer = await this.#router.acquire({
      requestId: order.requestId,
      pool: order.entry.pool,
      workspace: order.workspace.name,
      weight: order.workspace.weight,
      class: order.entry.class,
      entry: order.entry.name,
      expectedTokens: order.prompt.length / CHARACTERS_PER_TOKEN + order.expectedTokens,
      prefix: digest(order.prompt.slice(0, PREFIX_CHARACTERS)),
      promptTokens: order.prompt.length / CHARACTERS_PER_TOKEN,
      ...lossSubject(order),
      excluded,
      deadline: order.deadline,
      traceparent: order.traceparent,
      ...(order.signal === undefined ? {} : { signal: order.signal })
    })
    if (!answer.granted) return { kind: 'done', result: { ok: false, refusal: answer.refusal } }
    return await this.#stream(order, answer.slot)
  }

  async #stream (order: CompletionOrder, slot: Slot): Promise<AttemptOutcome> {
    const spanOptions = { name: 'endpoint.complete', kind: SpanKind.CLIENT, traceparent: order.traceparent, attributes: { endpoint: slot.endpoint.id } }
    return await withSpan(spanOptions, async (span) => {
      const builder = new CompletionBuilder(order.resume)
      order.observer?.onSlotGranted(slot.endpoint)
      let streamed = false
      const call = { requestId: order.requestId, prompt: order.prompt, maxTokens: order.maxTokens, traceparent: getTraceparent(span), deadline: order.deadline, ...(order.resume === undefined ? {} : { resume: order.resume.resumption }) }
      for await (const part of this.#endpoints.streamCompletion(slot.endpoint, order.signal === undefined ? call : { ...call, signal: order.signal })) {
        builder.add(part)
        order.observer?.onPart(part)
        if (part.kind !== CompletionPartKind.Text || order.onPart === undefined) continue
        streamed = true
        order.onPart(part)
      }
      return await this.#finish(order, slot, builder, streamed)
    })
  }

  async #finish (order: CompletionOrder, slot: Slot, builder: CompletionBuilder, streamed: boolean): Promise<AttemptOutcome> {
    const { completion, failure } = builder
    if (completion !== undefined) {
      this.#retries.recordSuccess(order.workspace.name)
      await this.#quarantine.recordFinish(lossSubject(order))
      await this.#router.release(slot, SlotEnd.Finished, completion.promptTokens + completion.answerTokens, order.traceparent)
      return { kind: 'done', result: { ok: true, completion, endpoint: slot.endpoint.id } }
    }
    const cancelled = order.signal?.aborted === true
    const sent = failure?.sent ?? true
    const lost = !cancelled && timeLeft(order.deadline) > 0 && await this.#isLost(slot)
    // Must precede the release of the slot: another host could otherwise run the request before it is noted as suspect.
    if (lost && sent) await this.#quarantine.recordLoss(lossSubject(order), slot.endpoint.id)
    await this.#router.release(slot, slotEndOf(cancelled, lost), 0, order.traceparent)
    if (cancelled) return { kind: 'done', result: { ok: false, refusal: { reason: RefusalReason.Cancelled, ran: sent ? Ran.Maybe : Ran.No, detail: 'the caller disconnected' } } }
    return { kind: 'failed', endpoint: slot.endpoint.id, sent, streamed, detail: failure?.detail ?? 'the stream ended before the completion was finished' }
  }

  /** Checks whether an endpoint whose stream broke is unreachable altogether. */
  async #isLost (slot: Slot): Promise<boolean> {
    return await this.#endpoints.readLoad(slot.endpoint, deadlineAfter(PROBE_TIMEOUT_MS)) === undefined
  }
}

function lossSubject ({ origin, entry, prompt }: CompletionOrder): LossSubject {
  return { origin, digest: digest(entry.name, prompt) }
}

function slotEndOf (cancelled: boolean, lost: boolean): SlotEnd {
  if (cancelled) return SlotEnd.Cancelled
  return lost ? SlotEnd.EndpointLost : SlotEnd.Failed
}

/** Adds to the refusal of a later attempt whether an earlier one may have run. */
function withEarlierAttempts (refusal: Refusal, ran: Ran): Refusal {
  return refusal.ran === Ran.No ? { ...refusal, ran } : refusal
}
