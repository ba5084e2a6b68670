import { LedgerRecordKind } from './ledger-record.js'
import { unreachable } from './invariant.js'
import type { BatchOrder, LedgerRecord, RecordedAnswer, Sample, UsageItem } from './ledger-record.js'
import type { Refusal } from './refusal.js'

/** What became of a record when it was applied. */
export enum ApplyResult {
  Applied = 'applied',
  /** The same fact was committed before; applying it again changes nothing. */
  Duplicate = 'duplicate',
  /** The record contradicts what was committed before and must not be committed. */
  Rejected = 'rejected'
}

/** A claim of a non-idempotent call and, once known, its answer. */
export interface ClaimState {
  readonly claimId: string
  readonly workspace: string
  readonly requestDigest: string
  readonly requestId: string
  readonly claimedAt: number
  answer?: RecordedAnswer
}

/** One thing a trainer reads by cursor. */
export type BatchEvent =
  | { readonly kind: 'sample', readonly cursor: number, readonly sample: Sample }
  | { readonly kind: 'failure', readonly cursor: number, readonly sampleId: string, readonly refusal: Refusal }

/** A batch and what was delivered of it. */
export interface BatchState {
  readonly order: BatchOrder
  readonly digest: string
  readonly events: BatchEvent[]
  readonly settled: Set<string>
  acknowledged: number
  cancelled: boolean
}

/** Usage of one workspace and entry within one window. */
export interface UsageTotal {
  readonly workspace: string
  readonly entry: string
  promptTokens: number
  answerTokens: number
  calls: number
  items: number
}

/**
 * The name under which a batch is kept: its id is the trainer's own, so it is
 * unique only within its workspace.
 *
 * @example
 * batchKey('desk', 'step-7') // 'desk/step-7'
 */
export function batchKey (workspace: string, batchId: string): string {
  return `${workspace}/${batchId}`
}

/**
 * What the committed records of one partition add up to.
 *
 * Invariants: a sample id is settled at most once in its batch; a claim is held
 * by at most one request; usage is counted exactly once with the record that caused it.
 */
export class LedgerPartition {
  readonly #claims = new Map<string, ClaimState>()
  readonly #batches = new Map<string, BatchState>()
  readonly #usage = new Map<number, Map<string, UsageTotal>>()

  /** The claim of that id, if one is held or answered. */
  claim (claimId: string): ClaimState | undefined {
    return this.#claims.get(claimId)
  }

  /** The batch of that key, if it was opened. */
  batch (key: string): BatchState | undefined {
    return this.#batches.get(key)
  }

  /** All batches of the partition. */
  batches (): BatchState[] {
    return [...this.#batches.values()]
  }

  /** Usage totals of one window, in a stable order. */
  usage (window: number): UsageTotal[] {
    const totals = [...(this.#usage.get(window)?.values() ?? [])]
    return totals.sort((a, b) => `${a.workspace}/${a.entry}` < `${b.workspace}/${b.entry}` ? -1 : 1)
  }

  /**
   * What `apply` would answer, without changing anything: lets an owner decide
   * before it commits. Records of one commit are checked in their order.
   */
  check (record: LedgerRecord): ApplyResult {
    switch (record.kind) {
      case LedgerRecordKind.Claim: return this.#checkClaim(record.claimId, record.requestId)
      case LedgerRecordKind.ClaimRelease: return this.#checkHolder(record.claimId, record.requestId)
      case LedgerRecordKind.Answer: return this.#checkHolder(record.claimId, record.requestId)
      case LedgerRecordKind.BatchOpen: return this.#checkBatchOpen(record.order, record.digest)
      case LedgerRecordKind.BatchCancel: return this.#checkCancel(batchKey(record.workspace, record.batchId))
      case LedgerRecordKind.Delivery: return this.#checkSettle(batchKey(record.workspace, record.batchId), record.sample.sampleId)
      case LedgerRecordKind.SampleFailure: return this.#checkSettle(batchKey(record.workspace, record.batchId), record.sampleId)
      case LedgerRecordKind.Acknowledgement: return this.#checkAcknowledgement(batchKey(record.workspace, record.batchId), record.cursor)
      case LedgerRecordKind.Usage: return ApplyResult.Applied
      case LedgerRecordKind.ChainHead: return ApplyResult.Applied
      default: return unreachable(record)
    }
  }

  /**
   * Applies a committed record.
   *
   * @param record the record
   * @param window usage window the commit belongs to
   * @example
   * partition.apply({ kind: LedgerRecordKind.Usage, usage }, 12) // ApplyResult.Applied
   */
  apply (record: LedgerRecord, window: number): ApplyResult {
    const result = this.check(record)
    if (result !== ApplyResult.Applied) return result
    this.#change(record, window)
    return result
  }

  #change (record: LedgerRecord, window: number): void {
    switch (record.kind) {
      case LedgerRecordKind.Claim: {
        const { kind, ...claim } = record
        this.#claims.set(record.claimId, claim)
        return
      }
      case LedgerRecordKind.ClaimRelease:
        this.#claims.delete(record.claimId)
        return
      case LedgerRecordKind.Answer: {
        const claim = this.#claims.get(record.claimId)
        if (claim !== undefined) claim.answer = record.answer
        this.#count(record.usage, window)
        return
      }
      case LedgerRecordKind.BatchOpen:
        this.#batches.set(batchKey(record.order.workspace, record.order.batchId), {
          order: record.order,
          digest: record.digest,
          events: [],
          settled: new Set(),
          acknowledged: 0,
          cancelled: false
        })
        return
      case LedgerRecordKind.BatchCancel: {
        const batch = this.#batches.get(batchKey(record.workspace, record.batchId))
        if (batch !== undefined) batch.cancelled = true
        return
      }
      case LedgerRecordKind.Delivery: {
        const batch = this.#batches.get(batchKey(record.workspace, record.batchId))
        if (batch === undefined) return
        batch.settled.add(record.sample.sampleId)
        batch.events.push({ kind: 'sample', cursor: batch.events.length + 1, sample: record.sample })
        this.#count(record.usage, window)
        return
      }
      case LedgerRecordKind.SampleFailure: {
        const batch = this.#batches.get(batchKey(record.workspace, record.batchId))
        if (batch === undefined) return
        batch.settled.add(record.sampleId)
        batch.events.push({ kind: 'failure', cursor: batch.events.length + 1, sampleId: record.sampleId, refusal: record.refusal })
        return
      }
      case LedgerRecordKind.Acknowledgement: {
        const batch = this.#batches.get(batchKey(record.workspace, record.batchId))
        if (batch !== undefined) batch.acknowledged = record.cursor
        return
      }
      case LedgerRecordKind.Usage:
        this.#count(record.usage, window)
        return
      case LedgerRecordKind.ChainHead: return
      default: unreachable(record)
    }
  }

  #checkClaim (claimId: string, requestId: string): ApplyResult {
    const held = this.#claims.get(claimId)
    if (held === undefined) return ApplyResult.Applied
    return held.requestId === requestId ? ApplyResult.Duplicate : ApplyResult.Rejected
  }

  #checkHolder (claimId: string, requestId: string): ApplyResult {
    const held = this.#claims.get(claimId)
    if (held === undefined || held.requestId !== requestId) return ApplyResult.Rejected
    return held.answer === undefined ? ApplyResult.Applied : ApplyResult.Duplicate
  }

  #checkBatchOpen (order: BatchOrder, digest: string): ApplyResult {
    const known = this.#batches.get(batchKey(order.workspace, order.batchId))
    if (known === undefined) return ApplyResult.Applied
    return known.digest === digest ? ApplyResult.Duplicate : ApplyResult.Rejected
  }

  #checkCancel (key: string): ApplyResult {
    const batch = this.#batches.get(key)
    if (batch === undefined) return ApplyResult.Rejected
    return batch.cancelled ? ApplyResult.Duplicate : ApplyResult.Applied
  }

  #checkSettle (key: string, sampleId: string): ApplyResult {
    const batch = this.#batches.get(key)
    if (batch === undefined || batch.cancelled) return ApplyResult.Rejected
    if (!batch.order.samples.some((sample) => sample.sampleId === sampleId)) return ApplyResult.Rejected
    return batch.settled.has(sampleId) ? ApplyResult.Duplicate : ApplyResult.Applied
  }

  #checkAcknowledgement (key: string, cursor: number): ApplyResult {
    const batch = this.#batches.get(key)
    if (batch === undefined || cursor > batch.events.length) return ApplyResult.Rejected
    return cursor <= batch.acknowledged ? ApplyResult.Duplicate : ApplyResult.Applied
  }

  #count (usage: UsageItem, window: number): void {
    const totals = this.#usage.get(window) ?? new Map<string, UsageTotal>()
    this.#usage.set(window, totals)
    const key = `${usage.workspace}/${usage.entry}`
    const total = totals.get(key) ?? { workspace: usage.workspace, entry: usage.entry, promptTokens: 0, answerTokens: 0, calls: 0, items: 0 }
    totals.set(key, total)
    total.promptTokens += usage.promptTokens
    total.answerTokens += usage.answerTokens
    total.calls += usage.calls
    total.items += 1
  }
}
