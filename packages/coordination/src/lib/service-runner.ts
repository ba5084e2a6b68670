import { digest, LedgerRecordKind, notRun, Ran, RefusalReason, SlotEnd } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, SpanKind, traced, traceparentOf } from '@cyclamenthread/transport'
import type { ApplyResult, Entry, RecordedAnswer, Refusal, UsageItem, Workspace } from '@cyclamenthread/state'
import type { EndpointClient, ServiceReply } from '@cyclamenthread/protocol'
import type { CellRouter, Slot } from './cell-router.js'
import type { LedgerClient } from './ledger-client.js'

/** How long the recording of an answer is tried after the caller's own deadline, in milliseconds. */
const RECORDING_MS = 30_000

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

/**
 * Runs calls of plain services. An idempotent one is simply dispatched; any
 * other is claimed by a ledger commit before its first byte leaves, and its
 * answer is recorded, so that it runs at most once however often it is sent.
 */
export class ServiceRunner {
  readonly #router: CellRouter
  readonly #endpoints: EndpointClient
  readonly #ledger: LedgerClient

  constructor (router: CellRouter, endpoints: EndpointClient, ledger: LedgerClient) {
    this.#router = router
    this.#endpoints = endpoints
    this.#ledger = ledger
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
    const usage: UsageItem = usageOf(order)
    const partition = this.#ledger.partitionOf(`usage/${order.requestId}`)
    await this.#ledger.commit(partition, [{ kind: LedgerRecordKind.Usage, usage }], { deadline: deadlineAfter(RECORDING_MS), traceparent: order.traceparent })
    return { ok: true, answer: answerOf(reply), replayed: false }
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
    if (!reply.ok) return { ok: false, refusal: endpointFailure(true, reply.detail) }
    await this.#recordAnswer(order, claimId, answerOf(reply))
    return { ok: true, answer: answerOf(reply), replayed: false }
  }

  /** Claims the call; an outcome when it is not this request's to run. */
  async #claim (order: ServiceOrder, claimId: string, requestDigest: string): Promise<ServiceResult | undefined> {
    const { requestId, workspace, deadline, traceparent } = order
    const partition = this.#ledger.partitionOf(claimId)
    const commit = await this.#ledger.commit(partition, [{
      kind: LedgerRecordKind.Claim, claimId, workspace: workspace.name, requestDigest, requestId, claimedAt: Date.now()
    }], { deadline, traceparent })
    switch (commit.status) {
      case CommitStatus.Committed: return undefined
      case CommitStatus.Rejected: return await this.#earlierAnswer(order, claimId, requestDigest)
      case CommitStatus.Unknown:
        return { ok: false, refusal: await this.#releaseClaim(order, claimId, notRun(RefusalReason.StoreUnavailable, 'the claim could not be confirmed', 1000)) }
      default:
        return { ok: false, refusal: notRun(RefusalReason.StoreUnavailable, 'a call that may not be repeated needs the store', 1000) }
    }
  }

  async #earlierAnswer (order: ServiceOrder, claimId: string, requestDigest: string): Promise<ServiceResult> {
    const held = await this.#ledger.readClaim(claimId, { deadline: order.deadline, traceparent: order.traceparent })
    if (held?.status !== 'held') return { ok: false, refusal: notRun(RefusalReason.StoreUnavailable, 'the earlier claim could not be read', 1000) }
    if (held.requestDigest !== requestDigest) {
      return { ok: false, refusal: notRun(RefusalReason.KeyReused, 'this Idempotency-Key belongs to a different request') }
    }
    if (held.answer !== undefined) return { ok: true, answer: held.answer, replayed: true }
    return { ok: false, refusal: { reason: RefusalReason.InProgress, ran: Ran.Maybe, detail: 'an earlier copy of this request may be running or may have run', retryAfterMs: 1000 } }
  }

  /** Gives a claim back after nothing was dispatched. Unless that is committed, the refusal may not say "not run" for good. */
  async #releaseClaim (order: ServiceOrder, claimId: string, refusal: Refusal): Promise<Refusal> {
    const partition = this.#ledger.partitionOf(claimId)
    const commit = await this.#ledger.commit(partition, [{ kind: LedgerRecordKind.ClaimRelease, claimId, requestId: order.requestId }], {
      deadline: deadlineAfter(RECORDING_MS),
      traceparent: order.traceparent
    })
    const released = commit.status === CommitStatus.Committed || commit.status === CommitStatus.Rejected
    return released ? refusal : { ...refusal, reason: RefusalReason.OutcomeUnknown, ran: Ran.Maybe }
  }

  async #recordAnswer (order: ServiceOrder, claimId: string, answer: RecordedAnswer): Promise<ApplyResult | undefined> {
    const partition = this.#ledger.partitionOf(claimId)
    const commit = await this.#ledger.commit(partition, [{
      kind: LedgerRecordKind.Answer, claimId, requestId: order.requestId, answer, usage: usageOf(order)
    }], { deadline: deadlineAfter(RECORDING_MS), traceparent: order.traceparent })
    return commit.results[0]
  }

  async #acquire (order: ServiceOrder): ReturnType<CellRouter['acquire']> {
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
    const reply = await traced(hop, async (span) => await this.#endpoints.callService(slot.endpoint, {
      method: order.method,
      path: order.path,
      headers: [...order.headers, ['x-request-id', order.requestId], ['traceparent', traceparentOf(span)]],
      body: order.body,
      deadline: order.deadline,
      ...(signal === undefined ? {} : { signal })
    }))
    await this.#router.release(slot, reply.ok ? SlotEnd.Finished : SlotEnd.Failed, 1, order.traceparent)
    return reply
  }
}

function usageOf (order: ServiceOrder): UsageItem {
  return { requestId: order.requestId, workspace: order.workspace.name, entry: order.entry.name, promptTokens: 0, answerTokens: 0, calls: 1 }
}

function answerOf (reply: Extract<ServiceReply, { ok: true }>): RecordedAnswer {
  return { status: reply.status, headers: reply.headers, body: reply.body }
}

function endpointFailure (sent: boolean, detail: string): Refusal {
  return { reason: RefusalReason.EndpointFailed, ran: sent ? Ran.Maybe : Ran.No, detail }
}
