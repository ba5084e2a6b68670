import { digest, LedgerRecordKind, notRun, Ran, RefusalReason, SlotEnd } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { SpanKind, withSpan, getTraceparent } from '@cyclamenthread/transport'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, Entry, RecordedAnswer, Refusal, UsageItem, Workspace } from '@cyclamenthread/state'
import type { EndpointClient, ServiceReply } from '@cyclamenthread/protocol'
import type { Slot, SlotResult, SlotSource } from './cell-router.js'
import type { LedgerClient } from './ledger-client.js'
import type { WriteBehind } from './write-behind.js'

/** Longest a claim is tried, in milliseconds; a caller is better told early that the store is down. */
const CLAIM_TIMEOUT_MS = 5_000

/** Longest the release of a claim is tried before its outcome counts as unknown, in milliseconds. */
const RELEASE_TIMEOUT_MS = 5_000

/** Longest an answer is held back for its recording, in milliseconds. */
const MAX_RECORDING_WAIT_MS = 1_000

/** When a refused caller may try again, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** What calls are claimed and recorded through. */
export type ClaimLedger = Pick<LedgerClient, 'partitionOf' | 'commit' | 'readClaim'>

/** A call of a plain service. */
export interface ServiceOrder {
  readonly requestId: string
  readonly workspace: Workspace
  readonly entry: Entry
  readonly method: string
  readonly path: string
  /** Headers an endpoint may see. */
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** Empty for an idempotent call that came without. */
  readonly idempotencyKey: string
  readonly deadline: number
  readonly traceparent: string
  readonly signal: AbortSignal
}

/** The result of a call of a plain service. */
export type ServiceResult =
  | { readonly ok: true, readonly answer: RecordedAnswer, readonly replayed: boolean }
  | { readonly ok: false, readonly refusal: Refusal }

/** What calls of plain services run with. */
export interface ServiceContext {
  readonly router: SlotSource
  readonly endpoints: Pick<EndpointClient, 'callService'>
  readonly ledger: ClaimLedger
  readonly writeBehind: WriteBehind
  readonly clock?: Clock
}

/**
 * Runs calls of plain services. An idempotent one is simply dispatched; any
 * other is claimed by a ledger commit before its first byte leaves, and its
 * answer is recorded, so that it runs at most once however often it is sent.
 *
 * Invariants: no byte of a claimed call leaves before its claim is committed;
 * after one may have left the claim is never given back; `Ran.No` is answered
 * only when no byte left and the claim was never written or its release is
 * committed.
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

  /** Runs a call to its answer or a refusal that says truly whether it ran. */
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
    const earlier = await this.#claim(order, claimId, requestDigest)
    if (earlier !== undefined) return earlier
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

  /** Claims the call; an outcome when it is not this request's to run. */
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
        return { ok: false, refusal: notRun(RefusalReason.StoreUnavailable, 'a call that may not be repeated needs the store', RETRY_AFTER_MS) }
    }
  }

  async #earlierAnswer (order: ServiceOrder, claimId: string, requestDigest: string): Promise<ServiceResult> {
    const held = await this.#ledger.readClaim(claimId, { deadline: order.deadline, traceparent: order.traceparent })
    if (held?.status !== 'held') return { ok: false, refusal: notRun(RefusalReason.StoreUnavailable, 'the earlier claim could not be read', RETRY_AFTER_MS) }
    if (held.requestDigest !== requestDigest) {
      return { ok: false, refusal: notRun(RefusalReason.KeyReused, 'this Idempotency-Key belongs to a different request') }
    }
    if (held.answer?.forgotten === true) {
      return { ok: false, refusal: { reason: RefusalReason.OutcomeUnknown, ran: Ran.Yes, detail: 'this request has run; its answer is no longer kept' } }
    }
    if (held.answer !== undefined) return { ok: true, answer: held.answer, replayed: true }
    if (held.uncertain) {
      return { ok: false, refusal: { reason: RefusalReason.OutcomeUnknown, ran: Ran.Maybe, detail: 'an earlier copy of this request may have run; its answer was lost' } }
    }
    return { ok: false, refusal: { reason: RefusalReason.InProgress, ran: Ran.Maybe, detail: 'an earlier copy of this request may be running or may have run', retryAfterMs: RETRY_AFTER_MS } }
  }

  /**
   * Gives a claim back after nothing was dispatched. Only once that is
   * committed may the refusal say "not run": until then a copy of the claim
   * may still be written and refuse the caller's next try.
   */
  async #releaseClaim (order: ServiceOrder, claimId: string, refusal: Refusal): Promise<Refusal> {
    const partition = this.#ledger.partitionOf(claimId)
    const record = { kind: LedgerRecordKind.ClaimRelease, claimId, requestId: order.requestId } as const
    const commit = await this.#ledger.commit(partition, [record], { deadline: this.#clock.now() + RELEASE_TIMEOUT_MS, traceparent: order.traceparent })
    if (commit.status === CommitStatus.Committed) return refusal
    void this.#writeBehind.add(partition, record)
    return { ...refusal, reason: RefusalReason.OutcomeUnknown, ran: Ran.Maybe, retryAfterMs: RETRY_AFTER_MS }
  }

  /** The call has run: its answer is recorded however long that takes, but the caller doesn't wait for a store that is down. */
  async #recordAnswer (order: ServiceOrder, claimId: string, answer: RecordedAnswer): Promise<void> {
    const recorded = this.#writeBehind.add(this.#ledger.partitionOf(claimId), {
      kind: LedgerRecordKind.Answer, claimId, requestId: order.requestId, answer, usage: usageItemOf(order)
    })
    await Promise.race([recorded, this.#clock.sleep(MAX_RECORDING_WAIT_MS)])
  }

  async #acquire (order: ServiceOrder): Promise<SlotResult> {
    // It may have been cancelled while its claim was committed.
    if (order.signal.aborted) return { granted: false, refusal: notRun(RefusalReason.Cancelled, 'the request was cancelled before it ran') }
    return await this.#router.acquire({
      requestId: order.requestId,
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

  /** @param signal aborts the call; absent for one that may not be repeated, which is never cut off */
  async #call (order: ServiceOrder, slot: Slot, signal?: AbortSignal): Promise<ServiceReply> {
    const hop = { name: 'endpoint.call', kind: SpanKind.CLIENT, traceparent: order.traceparent, attributes: { endpoint: slot.endpoint.id } }
    const reply = await withSpan(hop, async (span) => await this.#endpoints.callService(slot.endpoint, {
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
