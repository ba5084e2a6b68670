import { digest, LedgerRecordKind, notRun, Ran, RefusalReason, RequestOrigin, SlotEnd } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { SpanKind, withSpan, getTraceparent } from '@cyclamenthread/transport'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, Entry, RecordedAnswer, Refusal, UsageItem, Workspace } from '@cyclamenthread/state'
import type { EndpointClient, ServiceReply } from '@cyclamenthread/protocol'
import type { Slot, SlotResult, SlotSource } from './cell-router.js'
import type { LedgerClient } from './ledger-client.js'
import type { WriteBehind } from './write-behind.js'

/** Timeout for the commit of a claim, in milliseconds; short, so that a caller learns early that the store is down. */
const CLAIM_TIMEOUT_MS = 5_000

/** Time after which an uncommitted release of a claim makes the outcome unknown, in milliseconds. */
const RELEASE_TIMEOUT_MS = 5_000

/** Maximum time that an answer is delayed until it is recorded, in milliseconds. */
const MAX_RECORDING_WAIT_MS = 1_000

/** Retry delay suggested to a refused caller, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** Part of the ledger client that claims and records calls. */
export type ClaimLedger = Pick<LedgerClient, 'partitionOf' | 'commit' | 'readClaim'>

/** A call to a plain service. */
export interface ServiceOrder {
  readonly requestId: string
  readonly workspace: Workspace
  readonly entry: Entry
  readonly method: string
  readonly path: string
  /** Headers that are forwarded to an endpoint. */
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** The caller's Idempotency-Key; empty if there is none. */
  readonly idempotencyKey: string
  readonly deadline: number
  readonly traceparent: string
  readonly signal: AbortSignal
}

/** Result of a call to a plain service. */
export type ServiceResult =
  | { readonly ok: true, readonly answer: RecordedAnswer, readonly replayed: boolean }
  | { readonly ok: false, readonly refusal: Refusal }

/** Dependencies of a {@link ServiceRunner}. */
export interface ServiceContext {
  readonly router: SlotSource
  readonly endpoints: Pick<EndpointClient, 'callService'>
  readonly ledger: ClaimLedger
  readonly writeBehind: WriteBehind
  readonly clock?: Clock
}

/**
 * Runs calls to plain services. An idempotent call is dispatched directly. Any
 * other call is claimed by a ledger commit before its first byte is sent, and its
 * answer is recorded, so that it runs at most once however often it is retried.
 *
 * Invariants: no byte of a claimed call is sent before its claim is committed;
 * once a byte may have been sent, the claim is never released; `Ran.No` is
 * answered only if no byte was sent, and the claim was never written or its
 * release is committed.
 */
export class ServiceRunner {
  readonly #router: SlotSource
  readonly #endpoints: Pick<EndpointClient, 'callService'>
  readonly #ledger: ClaimLedger
  readonly #writeBehind: WriteBehind
  readonly #clock: Clock

  constructor (context: ServiceContext) {
    this.#router = context.router
    this.#endpoints = context.endpoints
    this.#ledger = context.ledger
    this.#writeBehind = context.writeBehind
    this.#clock = context.clock ?? SYSTEM_CLOCK
  }

  /** Runs a call; a refusal states correctly whether the call ran. */
  async run (order: ServiceOrder): Promise<ServiceResult> {
    const idempotent = (order.entry.idempotentMethods as readonly string[]).includes(order.method)
    if (idempotent) return await this.#runIdempotent(order)
    if (order.idempotencyKey === '') {
      return { ok: false, refusal: notRun(RefusalReason.KeyRequired, `${order.method} of ${order.entry.name} needs an Idempotency-Key header`) }
    }
    return await this.#runClaimed(order)
  }

  async #runIdempotent (order: ServiceOrder): Promise<ServiceResult> {
    const acquired = await this.#acquire(order)
    if (!acquired.granted) return { ok: false, refusal: acquired.refusal }
    const reply = await this.#call(order, acquired.slot, order.signal)
    if (!reply.ok) return { ok: false, refusal: endpointFailure(reply.sent, reply.detail) }
    const partition = this.#ledger.partitionOf(`usage/${order.requestId}`)
    void this.#writeBehind.add(partition, { kind: LedgerRecordKind.Usage, usage: usageItemOf(order) })
    return { ok: true, answer: recordedAnswerOf(reply), replayed: false }
  }

  async #runClaimed (order: ServiceOrder): Promise<ServiceResult> {
    const claimId = `claim/${order.workspace.name}/${order.entry.name}/${order.idempotencyKey}`
    const requestDigest = digest(order.method, order.path, order.body)
    const earlierResult = await this.#claim(order, claimId, requestDigest)
    if (earlierResult !== undefined) return earlierResult
    const acquired = await this.#acquire(order)
    if (!acquired.granted) return { ok: false, refusal: await this.#releaseClaim(order, claimId, acquired.refusal) }
    const reply = await this.#call(order, acquired.slot)
    if (!reply.ok && !reply.sent) return { ok: false, refusal: await this.#releaseClaim(order, claimId, endpointFailure(false, reply.detail)) }
    if (!reply.ok) {
      void this.#writeBehind.add(this.#ledger.partitionOf(claimId), { kind: LedgerRecordKind.ClaimUncertainty, claimId, requestId: order.requestId })
      return { ok: false, refusal: endpointFailure(true, reply.detail) }
    }
    await this.#recordAnswer(order, claimId, recordedAnswerOf(reply))
    return { ok: true, answer: recordedAnswerOf(reply), replayed: false }
  }

  /** Claims the call; returns a result if this request must not run it. */
  async #claim (order: ServiceOrder, claimId: string, requestDigest: string): Promise<ServiceResult | undefined> {
    const { requestId, workspace, traceparent } = order
    const deadline = Math.min(order.deadline, this.#clock.now() + CLAIM_TIMEOUT_MS)
    const partition = this.#ledger.partitionOf(claimId)
    const commit = await this.#ledger.commit(partition, [{
      kind: LedgerRecordKind.Claim, claimId, workspace: workspace.name, requestDigest, requestId, claimedAt: Date.now()
    }], { deadline, traceparent })
    switch (commit.status) {
      case CommitStatus.Committed: return undefined
      case CommitStatus.Rejected: return await this.#earlierAnswer(order, claimId, requestDigest)
      case CommitStatus.Unknown:
        return { ok: false, refusal: await this.#releaseClaim(order, claimId, notRun(RefusalReason.StoreUnavailable, 'the claim could not be confirmed', RETRY_AFTER_MS)) }
      default:
        return { ok: false, refusal: notRun(RefusalReason.StoreUnavailable, 'a non-idempotent call can\'t run while the store is unavailable', RETRY_AFTER_MS) }
    }
  }

  async #earlierAnswer (order: ServiceOrder, claimId: string, requestDigest: string): Promise<ServiceResult> {
    const held = await this.#ledger.readClaim(claimId, { deadline: order.deadline, traceparent: order.traceparent })
    if (held?.status !== 'held') return { ok: false, refusal: notRun(RefusalReason.StoreUnavailable, 'the earlier claim could not be read', RETRY_AFTER_MS) }
    if (held.requestDigest !== requestDigest) {
      return { ok: false, refusal: notRun(RefusalReason.KeyReused, 'this Idempotency-Key belongs to a different request') }
    }
    if (held.answer?.forgotten === true) {
      return { ok: false, refusal: { reason: RefusalReason.OutcomeUnknown, ran: Ran.Yes, detail: 'this request has run; its answer is no longer stored' } }
    }
    if (held.answer !== undefined) return { ok: true, answer: held.answer, replayed: true }
    if (held.uncertain) {
      return { ok: false, refusal: { reason: RefusalReason.OutcomeUnknown, ran: Ran.Maybe, detail: 'an earlier copy of this request may have run; its answer was lost' } }
    }
    return { ok: false, refusal: { reason: RefusalReason.InProgress, ran: Ran.Maybe, detail: 'an earlier copy of this request may be running or may have run', retryAfterMs: RETRY_AFTER_MS } }
  }

  /**
   * Releases the claim of a call that was not dispatched. The refusal may say "not
   * run" only once the release is committed: until then a delayed copy of the
   * claim may still be written and block the caller's retry.
   */
  async #releaseClaim (order: ServiceOrder, claimId: string, refusal: Refusal): Promise<Refusal> {
    const partition = this.#ledger.partitionOf(claimId)
    const record = { kind: LedgerRecordKind.ClaimRelease, claimId, requestId: order.requestId } as const
    const commit = await this.#ledger.commit(partition, [record], { deadline: this.#clock.now() + RELEASE_TIMEOUT_MS, traceparent: order.traceparent })
    if (commit.status === CommitStatus.Committed) return refusal
    void this.#writeBehind.add(partition, record)
    return { ...refusal, reason: RefusalReason.OutcomeUnknown, ran: Ran.Maybe, retryAfterMs: RETRY_AFTER_MS }
  }

  /** Records the answer of a call that has run, however long that takes; the caller waits only for a limited time. */
  async #recordAnswer (order: ServiceOrder, claimId: string, answer: RecordedAnswer): Promise<void> {
    const recorded = this.#writeBehind.add(this.#ledger.partitionOf(claimId), {
      kind: LedgerRecordKind.Answer, claimId, requestId: order.requestId, answer, usage: usageItemOf(order)
    })
    await Promise.race([recorded, this.#clock.sleep(MAX_RECORDING_WAIT_MS)])
  }

  async #acquire (order: ServiceOrder): Promise<SlotResult> {
    // The call may have been cancelled while its claim was being committed.
    if (order.signal.aborted) return { granted: false, refusal: notRun(RefusalReason.Cancelled, 'the request was cancelled before it ran') }
    return await this.#router.acquire({
      requestId: order.requestId,
      origin: RequestOrigin.Caller,
      pool: order.entry.pool,
      workspace: order.workspace.name,
      weight: order.workspace.weight,
      class: order.entry.class,
      entry: order.entry.name,
      expectedTokens: 1,
      prefix: '',
      digest: digest(order.entry.name, order.method, order.path, order.body),
      excluded: [],
      deadline: order.deadline,
      traceparent: order.traceparent,
      signal: order.signal
    })
  }

  /** @param signal aborts the call; absent for a non-idempotent call, which is never aborted */
  async #call (order: ServiceOrder, slot: Slot, signal?: AbortSignal): Promise<ServiceReply> {
    const spanOptions = { name: 'endpoint.call', kind: SpanKind.CLIENT, traceparent: order.traceparent, attributes: { endpoint: slot.endpoint.id } }
    const reply = await withSpan(spanOptions, async (span) => await this.#endpoints.callService(slot.endpoint, {
      method: order.method,
      path: order.path,
      headers: [...order.headers, ['x-request-id', order.requestId], ['traceparent', getTraceparent(span)]],
      body: order.body,
      deadline: order.deadline,
      ...(signal === undefined ? {} : { signal })
    }))
    await this.#router.release(slot, reply.ok ? SlotEnd.Finished : SlotEnd.Failed, 1, order.traceparent)
    return reply
  }
}

function usageItemOf (order: ServiceOrder): UsageItem {
  return { requestId: order.requestId, workspace: order.workspace.name, entry: order.entry.name, promptTokens: 0, answerTokens: 0, calls: 1 }
}

function recordedAnswerOf (reply: Extract<ServiceReply, { ok: true }>): RecordedAnswer {
  return { status: reply.status, headers: reply.headers, body: reply.body }
}

function endpointFailure (sent: boolean, detail: string): Refusal {
  return { reason: RefusalReason.EndpointFailed, ran: sent ? Ran.Maybe : Ran.No, detail }
}
