import { LedgerRecordKind } from './ledger-record.js'
import { unreachable } from './invariant.js'
import type { BatchOrder, LedgerRecord, UsageItem } from './ledger-record.js'
import type { BatchEvent, BatchState, ChainAnchor, ClaimState, PartitionItem, ReleasedClaim, Retention, UsageTotal } from './partition-state.js'

/** Result of applying a record. */
export enum ApplyResult {
  Applied = 'applied',
  /** An equivalent record was committed before; applying it again has no effect. */
  Duplicate = 'duplicate',
  /** The record conflicts with committed records and must not be committed. */
  Rejected = 'rejected'
}

/** Body of an answer that is no longer stored. */
const EMPTY_BODY = new Uint8Array()

/**
 * Builds the key under which a batch is stored. Trainers choose batch ids, which
 * are therefore unique only within a workspace.
 *
 * @example
 * batchKey('desk', 'step-7') // 'desk/step-7'
 */
export function batchKey (workspace: string, batchId: string): string {
  return `${workspace}/${batchId}`
}

/**
 * State machine of a ledger partition: the state that results from its committed
 * records.
 *
 * Invariants: a sample id is settled at most once in its batch; a claim is held
 * by at most one request; usage is counted exactly once, with the record that caused it.
 */
export class LedgerPartition {
  readonly #claims = new Map<string, ClaimState>()
  readonly #batches = new Map<string, BatchState>()
  readonly #usage = new Map<number, Map<string, UsageTotal>>()
  readonly #anchors = new Map<string, ChainAnchor>()
  readonly #releasedClaims = new Map<string, ReleasedClaim>()
  /** Ids whose usage (or loss of usage) was committed as a separate record, with the window. */
  readonly #countedUsage = new Map<string, number>()

  /** Looks up a claim by id, held or answered. */
  claim (claimId: string): ClaimState | undefined {
    return this.#claims.get(claimId)
  }

  /** Looks up a batch by key. */
  batch (key: string): BatchState | undefined {
    return this.#batches.get(key)
  }

  /** Returns all batches of the partition. */
  batches (): BatchState[] {
    return [...this.#batches.values()]
  }

  /** Returns the usage totals of a window, in a stable order. */
  usage (window: number): UsageTotal[] {
    const totals = [...(this.#usage.get(window)?.values() ?? [])]
    return totals.sort((a, b) => usageKey(a) < usageKey(b) ? -1 : 1)
  }

  /** Looks up the last committed hash of a decision chain. */
  anchor (chain: string): ChainAnchor | undefined {
    return this.#anchors.get(chain)
  }

  /** Drops the usage totals of all windows before the given one; by then they are stored elsewhere. */
  dropUsageBefore (before: number): void {
    for (const window of this.#usage.keys()) {
      if (window < before) this.#usage.delete(window)
    }
  }

  /** Drops state that is older than the retention, so that memory and loading time stay bounded. */
  compact (retention: Retention): void {
    for (const claim of this.#claims.values()) {
      if (claim.window < retention.claims) this.#claims.delete(claim.claimId)
      else if (claim.window < retention.answers && claim.answer !== undefined) claim.answer = { ...claim.answer, headers: [], body: EMPTY_BODY, forgotten: true }
    }
    for (const [key, batch] of this.#batches) {
      if (batch.closedWindow !== undefined && batch.closedWindow < retention.claims) this.#batches.delete(key)
    }
    for (const [key, release] of this.#releasedClaims) {
      if (release.window < retention.answers) this.#releasedClaims.delete(key)
    }
    for (const [requestId, window] of this.#countedUsage) {
      if (window < retention.answers) this.#countedUsage.delete(requestId)
    }
    for (const anchor of this.#anchors.values()) {
      if (anchor.window < retention.claims) this.#anchors.delete(anchor.chain)
    }
  }

  /** Returns the whole state as a list of items; later changes don't affect them. */
  snapshotItems (): PartitionItem[] {
    const items: PartitionItem[] = []
    for (const claim of this.#claims.values()) items.push({ kind: 'claim', claim: { ...claim } })
    for (const { settled, ...batch } of this.#batches.values()) {
      items.push({ kind: 'batch', batch: { ...batch, events: [...batch.events] }, settled: [...settled] })
    }
    for (const [window, totals] of this.#usage) {
      for (const total of totals.values()) items.push({ kind: 'usage', window, total: { ...total } })
    }
    for (const anchor of this.#anchors.values()) items.push({ kind: 'anchor', anchor })
    for (const release of this.#releasedClaims.values()) items.push({ kind: 'release', release })
    for (const [requestId, window] of this.#countedUsage) items.push({ kind: 'counted', requestId, window })
    return items
  }

  /** Restores one item of a snapshot. */
  restoreItem (item: PartitionItem): void {
    switch (item.kind) {
      case 'claim':
        this.#claims.set(item.claim.claimId, item.claim)
        return
      case 'batch':
        this.#batches.set(batchKey(item.batch.order.workspace, item.batch.order.batchId), { ...item.batch, settled: new Set(item.settled) })
        return
      case 'usage':
        this.#windowTotals(item.window).set(usageKey(item.total), item.total)
        return
      case 'anchor':
        this.#anchors.set(item.anchor.chain, item.anchor)
        return
      case 'release':
        this.#releasedClaims.set(releaseKey(item.release.claimId, item.release.requestId), item.release)
        return
      case 'counted':
        this.#countedUsage.set(item.requestId, item.window)
        return
      default: unreachable(item)
    }
  }

  /**
   * Returns the result that `apply` would have, without changing the state, so that
   * an owner can decide before it commits. Records of one commit are checked in order.
   */
  check (record: LedgerRecord): ApplyResult {
    switch (record.kind) {
      case LedgerRecordKind.Claim: return this.#checkClaim(record.claimId, record.requestId)
      case LedgerRecordKind.ClaimRelease: return this.#checkRelease(record.claimId, record.requestId)
      case LedgerRecordKind.ClaimUncertainty: return this.#checkUncertainty(record.claimId, record.requestId)
      case LedgerRecordKind.Answer: return this.#checkHolder(record.claimId, record.requestId)
      case LedgerRecordKind.BatchOpen: return this.#checkBatchOpen(record.order, record.digest)
      case LedgerRecordKind.BatchCancel: return this.#checkCancel(batchKey(record.workspace, record.batchId))
      case LedgerRecordKind.Delivery: return this.#checkSettle(batchKey(record.workspace, record.batchId), record.sample.sampleId)
      case LedgerRecordKind.SampleFailure: return this.#checkSettle(batchKey(record.workspace, record.batchId), record.sampleId)
      case LedgerRecordKind.Acknowledgement: return this.#checkAcknowledgement(batchKey(record.workspace, record.batchId), record.cursor)
      case LedgerRecordKind.Usage: return this.#countedUsage.has(record.usage.requestId) ? ApplyResult.Duplicate : ApplyResult.Applied
      case LedgerRecordKind.UsageLoss: return this.#countedUsage.has(record.lossId) ? ApplyResult.Duplicate : ApplyResult.Applied
      case LedgerRecordKind.ChainHead: return this.#checkAnchor(record.chain, record.sequence, record.hash)
      default: return unreachable(record)
    }
  }

  /**
   * Applies a committed record.
   *
   * @param record the record
   * @param window usage window to which the commit belongs
   * @example
   * partition.apply({ kind: LedgerRecordKind.Usage, usage }, 12) // ApplyResult.Applied
   */
  apply (record: LedgerRecord, window: number): ApplyResult {
    const result = this.check(record)
    if (result !== ApplyResult.Applied) return result
    this.#applyChecked(record, window)
    return result
  }

  #applyChecked (record: LedgerRecord, window: number): void {
    switch (record.kind) {
      case LedgerRecordKind.Claim: {
        const { kind, ...claim } = record
        this.#claims.set(record.claimId, { ...claim, window })
        return
      }
      case LedgerRecordKind.ClaimRelease:
        if (this.#claims.get(record.claimId)?.requestId === record.requestId) this.#claims.delete(record.claimId)
        this.#releasedClaims.set(releaseKey(record.claimId, record.requestId), { claimId: record.claimId, requestId: record.requestId, window })
        return
      case LedgerRecordKind.ClaimUncertainty: {
        const claim = this.#claims.get(record.claimId)
        if (claim !== undefined) claim.uncertain = true
        return
      }
      case LedgerRecordKind.Answer: {
        const claim = this.#claims.get(record.claimId)
        if (claim !== undefined) claim.answer = record.answer
        this.#addUsage(record.usage, window)
        return
      }
      case LedgerRecordKind.BatchOpen:
        this.#batches.set(batchKey(record.order.workspace, record.order.batchId), {
          order: record.order,
          digest: record.digest,
          total: record.order.samples.length,
          events: [],
          settled: new Set(),
          delivered: 0,
          acknowledged: 0,
          cancelled: false,
          closedWindow: undefined
        })
        return
      case LedgerRecordKind.BatchCancel: {
        const batch = this.#batches.get(batchKey(record.workspace, record.batchId))
        if (batch === undefined) return
        batch.cancelled = true
        batch.closedWindow = window
        return
      }
      case LedgerRecordKind.Delivery: {
        const batch = this.#batches.get(batchKey(record.workspace, record.batchId))
        if (batch === undefined) return
        settleSample(batch, record.sample.sampleId, window, { kind: 'sample', cursor: batch.delivered + 1, sample: record.sample })
        this.#addUsage(record.usage, window)
        return
      }
      case LedgerRecordKind.SampleFailure: {
        const batch = this.#batches.get(batchKey(record.workspace, record.batchId))
        if (batch === undefined) return
        settleSample(batch, record.sampleId, window, { kind: 'failure', cursor: batch.delivered + 1, sampleId: record.sampleId, refusal: record.refusal })
        return
      }
      case LedgerRecordKind.Acknowledgement: {
        const batch = this.#batches.get(batchKey(record.workspace, record.batchId))
        if (batch !== undefined) acknowledgeEvents(batch, record.cursor)
        return
      }
      case LedgerRecordKind.Usage:
        this.#countedUsage.set(record.usage.requestId, window)
        this.#addUsage(record.usage, window)
        return
      case LedgerRecordKind.UsageLoss:
        this.#countedUsage.set(record.lossId, window)
        return
      case LedgerRecordKind.ChainHead:
        this.#anchors.set(record.chain, { chain: record.chain, sequence: record.sequence, hash: record.hash, window })
        return
      default: unreachable(record)
    }
  }

  #checkClaim (claimId: string, requestId: string): ApplyResult {
    const held = this.#claims.get(claimId)
    if (this.#releasedClaims.has(releaseKey(claimId, requestId))) return ApplyResult.Rejected
    if (held === undefined) return ApplyResult.Applied
    return held.requestId === requestId ? ApplyResult.Duplicate : ApplyResult.Rejected
  }

  /** A request may release a claim that it doesn't hold yet: a copy of its claim that is still in flight is rejected from then on. */
  #checkRelease (claimId: string, requestId: string): ApplyResult {
    if (this.#releasedClaims.has(releaseKey(claimId, requestId))) return ApplyResult.Duplicate
    const held = this.#claims.get(claimId)
    return held?.requestId === requestId && held.answer !== undefined ? ApplyResult.Rejected : ApplyResult.Applied
  }

  #checkUncertainty (claimId: string, requestId: string): ApplyResult {
    const held = this.#checkHolder(claimId, requestId)
    return held === ApplyResult.Applied && this.#claims.get(claimId)?.uncertain === true ? ApplyResult.Duplicate : held
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
    if (batch.settled.has(sampleId) || isFinished(batch)) return ApplyResult.Duplicate
    return batch.order.samples.some((sample) => sample.sampleId === sampleId) ? ApplyResult.Applied : ApplyResult.Rejected
  }

  #checkAcknowledgement (key: string, cursor: number): ApplyResult {
    const batch = this.#batches.get(key)
    if (batch === undefined || cursor > batch.delivered) return ApplyResult.Rejected
    return cursor <= batch.acknowledged ? ApplyResult.Duplicate : ApplyResult.Applied
  }

  #checkAnchor (chain: string, sequence: number, hash: string): ApplyResult {
    const anchor = this.#anchors.get(chain)
    if (anchor === undefined || sequence > anchor.sequence) return ApplyResult.Applied
    return sequence < anchor.sequence || hash === anchor.hash ? ApplyResult.Duplicate : ApplyResult.Rejected
  }

  #addUsage (usage: UsageItem, window: number): void {
    const { workspace, entry } = usage
    const isCorrection = usage.window !== undefined && usage.window < window
    const empty = { workspace, entry, ...(isCorrection ? { correctionOf: usage.window } : {}), promptTokens: 0, answerTokens: 0, calls: 0, items: 0 }
    const totals = this.#windowTotals(window)
    const total = totals.get(usageKey(empty)) ?? empty
    totals.set(usageKey(empty), total)
    total.promptTokens += usage.promptTokens
    total.answerTokens += usage.answerTokens
    total.calls += usage.calls
    total.items += 1
  }

  #windowTotals (window: number): Map<string, UsageTotal> {
    const totals = this.#usage.get(window) ?? new Map<string, UsageTotal>()
    this.#usage.set(window, totals)
    return totals
  }
}

/** Whether all samples of a batch are settled and acknowledged, so that its samples need not be stored any more. */
function isFinished (batch: BatchState): boolean {
  return batch.delivered === batch.total && batch.acknowledged === batch.total
}

function settleSample (batch: BatchState, sampleId: string, window: number, event: BatchEvent): void {
  batch.settled.add(sampleId)
  batch.events.push(event)
  batch.delivered = event.cursor
  if (batch.delivered === batch.total) batch.closedWindow = window
}

/** Drops the events that the trainer has acknowledged, since they are never read again. */
function acknowledgeEvents (batch: BatchState, cursor: number): void {
  batch.events.splice(0, cursor - batch.acknowledged)
  batch.acknowledged = cursor
  if (!isFinished(batch)) return
  batch.settled.clear()
  batch.order = { ...batch.order, samples: [] }
}

function releaseKey (claimId: string, requestId: string): string {
  return `${claimId}/${requestId}`
}

function usageKey (total: Pick<UsageTotal, 'workspace' | 'entry' | 'correctionOf'>): string {
  return `${total.workspace}/${total.entry}/${total.correctionOf ?? ''}`
}
