import { randomUUID } from 'node:crypto'
import { ApplyResult, LedgerPartition, LedgerRecordKind, unreachable } from '@cyclamenthread/state'
import {
  CommitStatus, ExpectationKind, ledgerHeadKey, ledgerSegmentKey, parseLedgerHead, parseLedgerSegment,
  restoreRecord, StorePurpose, storeRecord, WriteStatus
} from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import type { LedgerRecord } from '@cyclamenthread/state'
import type { CommitAnswer, Expectation, LedgerHead, ObjectStore, StoredRecord } from '@cyclamenthread/protocol'

/** Records in the open part of a head before they are sealed as a segment. */
const SEGMENT_RECORDS = 256

/** Most records that one group commit takes. */
const GROUP_RECORDS = 512

/** Pause before an unanswered write of the store is tried again, in milliseconds. */
const RETRY_MS = 100

/** Settings of the owner of one partition. */
export interface PartitionSettings {
  readonly partition: number
  /** Host and incarnation, as written into the head. */
  readonly owner: string
  readonly usageWindowMs: number
  readonly storeTimeoutMs: number
}

/** Records that wait for the next group commit. */
interface PendingCommit {
  readonly records: readonly LedgerRecord[]
  readonly deadline: number
  readonly resolve: (answer: CommitAnswer) => void
}

/** How a conditional write of the head ended. */
enum HeadWrite {
  Applied = 'applied',
  NotWritten = 'not-written',
  /** Another owner has moved the head. */
  Deposed = 'deposed',
  Unknown = 'unknown'
}

/**
 * Owns one partition of the ledger: everything it commits goes through one
 * conditional update of the partition's head, and everything that waits while
 * one is in flight goes in the next.
 *
 * Invariants: at most one write of the head is in flight; `state` holds exactly
 * the records the head and its segments hold; after a lost head nothing is
 * answered as committed any more.
 */
export class PartitionOwner {
  readonly #settings: PartitionSettings
  readonly #store: ObjectStore
  readonly #onCommit: (record: LedgerRecord) => void
  #pending: PendingCommit[] = []
  #flushing = false
  #head: LedgerHead
  #version: string
  #state: LedgerPartition
  #deposed = false
  /** Writes of the head, and records they held. */
  readonly counters = { writes: 0, records: 0 }

  private constructor (settings: PartitionSettings, store: ObjectStore, head: LedgerHead, version: string, state: LedgerPartition, onCommit: (record: LedgerRecord) => void) {
    this.#settings = settings
    this.#store = store
    this.#head = head
    this.#version = version
    this.#state = state
    this.#onCommit = onCommit
  }

  /**
   * Takes a partition over: raises the epoch by one conditional update, which
   * deposes any owner before, then loads what is committed.
   *
   * @returns undefined when the store can't be reached or another host was faster
   * @example
   * const owner = await PartitionOwner.takeOver(settings, store, onCommit)
   */
  static async takeOver (settings: PartitionSettings, store: ObjectStore, onCommit: (record: LedgerRecord) => void): Promise<PartitionOwner | undefined> {
    const call = { purpose: StorePurpose.Claim, deadline: deadlineAfter(settings.storeTimeoutMs) }
    const found = await store.read(ledgerHeadKey(settings.partition), call)
    if (!found.ok) return undefined
    const before = found.value === undefined ? undefined : parseLedgerHead(found.value.value)
    if (found.value !== undefined && before === undefined) return undefined
    const head: LedgerHead = {
      epoch: (before?.epoch ?? 0) + 1,
      owner: settings.owner,
      sequence: before?.sequence ?? 0,
      window: Math.max(before?.window ?? 0, currentWindow(settings)),
      writeId: randomUUID(),
      segments: before?.segments ?? 0,
      open: before?.open ?? []
    }
    const expectation: Expectation = found.value === undefined
      ? { kind: ExpectationKind.Absent }
      : { kind: ExpectationKind.Version, version: found.value.version }
    const written = await store.write(ledgerHeadKey(settings.partition), head, expectation, call)
    if (written.status !== WriteStatus.Applied) return undefined
    const state = await loadState(settings, store, head)
    return state === undefined ? undefined : new PartitionOwner(settings, store, head, written.version, state, onCommit)
  }

  /** What is committed. */
  get state (): LedgerPartition {
    return this.#state
  }

  /** Usage window that the next commit belongs to. */
  get window (): number {
    return this.#head.window
  }

  /** Whether another host has taken the partition over. */
  get deposed (): boolean {
    return this.#deposed
  }

  /**
   * Commits records, all or none.
   *
   * @param records the records; duplicates of what is committed are answered as such and not written
   * @param deadline monotonic milliseconds after which nobody waits for the answer
   * @example
   * (await owner.commit([record], deadline)).status // CommitStatus.Committed
   */
  async commit (records: readonly LedgerRecord[], deadline: number): Promise<CommitAnswer> {
    if (this.#deposed) return { status: CommitStatus.NotOwner, results: [] }
    return await new Promise((resolve) => {
      this.#pending.push({ records, deadline, resolve })
      void this.#flush()
    })
  }

  /** Moves the head to the current usage window even if nothing is to be committed. */
  async advanceWindow (): Promise<void> {
    if (currentWindow(this.#settings) > this.#head.window) await this.commit([], deadlineAfter(this.#settings.storeTimeoutMs))
  }

  async #flush (): Promise<void> {
    if (this.#flushing) return
    this.#flushing = true
    while (this.#pending.length > 0 && !this.#deposed) await this.#commitGroup(this.#takeGroup())
    this.#flushing = false
    if (this.#deposed) this.#refuseAll()
  }

  /** Takes what may go into one commit: no two commits of a group may touch the same thing. */
  #takeGroup (): PendingCommit[] {
    const group: PendingCommit[] = []
    const rest: PendingCommit[] = []
    const touched = new Set<string>()
    let size = 0
    for (const commit of this.#pending) {
      const subjects = commit.records.map(subjectOf)
      const fits = size + commit.records.length <= GROUP_RECORDS || group.length === 0
      if (!fits || subjects.some((subject) => touched.has(subject))) {
        rest.push(commit)
        continue
      }
      for (const subject of subjects) touched.add(subject)
      size += commit.records.length
      group.push(commit)
    }
    this.#pending = rest
    return group
  }

  async #commitGroup (group: readonly PendingCommit[]): Promise<void> {
    const accepted: PendingCommit[] = []
    const records: LedgerRecord[] = []
    for (const commit of group) {
      const results = commit.records.map((record) => this.#state.check(record))
      if (results.includes(ApplyResult.Rejected)) {
        commit.resolve({ status: CommitStatus.Rejected, results })
        continue
      }
      accepted.push(commit)
      records.push(...commit.records.filter((_, index) => results[index] === ApplyResult.Applied))
    }
    const window = Math.max(this.#head.window, currentWindow(this.#settings))
    const outcome = records.length === 0 && window === this.#head.window
      ? HeadWrite.Applied
      : await this.#writeHead(records, window, group)
    this.#settle(accepted, outcome, window)
  }

  #settle (commits: readonly PendingCommit[], outcome: HeadWrite, window: number): void {
    for (const commit of commits) {
      switch (outcome) {
        case HeadWrite.Applied:
          commit.resolve({ status: CommitStatus.Committed, results: commit.records.map((record) => this.#apply(record, window)) })
          break
        case HeadWrite.NotWritten:
          commit.resolve({ status: CommitStatus.Unavailable, results: [] })
          break
        case HeadWrite.Deposed:
          commit.resolve({ status: CommitStatus.NotOwner, results: [] })
          break
        case HeadWrite.Unknown:
          commit.resolve({ status: CommitStatus.Unknown, results: [] })
          break
        default: unreachable(outcome)
      }
    }
  }

  #apply (record: LedgerRecord, window: number): ApplyResult {
    const result = this.#state.apply(record, window)
    if (result === ApplyResult.Applied) this.#onCommit(record)
    return result
  }

  async #writeHead (records: readonly LedgerRecord[], window: number, group: readonly PendingCommit[]): Promise<HeadWrite> {
    if (this.#head.open.length >= SEGMENT_RECORDS && !await this.#sealSegment()) return HeadWrite.NotWritten
    const sealed = this.#head.open.length >= SEGMENT_RECORDS
    const head: LedgerHead = {
      ...this.#head,
      sequence: this.#head.sequence + records.length,
      window,
      writeId: randomUUID(),
      segments: this.#head.segments + (sealed ? 1 : 0),
      open: [...(sealed ? [] : this.#head.open), ...records.map((record) => storeRecord(record, window))]
    }
    const outcome = await this.#replaceHead(head, Math.max(...group.map((commit) => commit.deadline)))
    if (outcome === HeadWrite.Applied) {
      this.#head = head
      this.counters.writes += 1
      this.counters.records += records.length
    }
    if (outcome === HeadWrite.Deposed || outcome === HeadWrite.Unknown) this.#deposed = true
    return outcome
  }

  /**
   * Writes the head and finds out what became of it. An unanswered write is
   * sent again unchanged: whichever of the two arrives second meets a changed
   * version, so it takes effect once, and the write id tells whose it was.
   */
  async #replaceHead (head: LedgerHead, deadline: number): Promise<HeadWrite> {
    const key = ledgerHeadKey(this.#settings.partition)
    let uncertain = false
    for (;;) {
      const call = { purpose: StorePurpose.Claim, deadline: deadlineAfter(this.#settings.storeTimeoutMs) }
      const result = await this.#store.write(key, head, { kind: ExpectationKind.Version, version: this.#version }, call)
      if (result.status === WriteStatus.Applied) {
        this.#version = result.version
        return HeadWrite.Applied
      }
      if (result.status === WriteStatus.Conflict) {
        const found = await this.#findOwnWrite(head.writeId)
        if (found !== undefined) return found
        uncertain = true
      }
      if (result.status === WriteStatus.Unknown) uncertain = true
      if (monotonicNow() > deadline) return uncertain ? HeadWrite.Unknown : HeadWrite.NotWritten
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
    }
  }

  /** After a conflict: was it our own earlier write that took effect? Undefined when the store doesn't say. */
  async #findOwnWrite (writeId: string): Promise<HeadWrite | undefined> {
    const call = { purpose: StorePurpose.Claim, deadline: deadlineAfter(this.#settings.storeTimeoutMs) }
    const found = await this.#store.read(ledgerHeadKey(this.#settings.partition), call)
    if (!found.ok || found.value === undefined) return undefined
    const current = parseLedgerHead(found.value.value)
    if (current?.writeId !== writeId) return HeadWrite.Deposed
    this.#version = found.value.version
    return HeadWrite.Applied
  }

  /** Writes the open records as an immutable segment; the head refers to it from its next write on. */
  async #sealSegment (): Promise<boolean> {
    const key = ledgerSegmentKey(this.#settings.partition, this.#head.segments)
    const call = { purpose: StorePurpose.Claim, deadline: deadlineAfter(this.#settings.storeTimeoutMs) }
    const result = await this.#store.write(key, { records: this.#head.open }, { kind: ExpectationKind.Absent }, call)
    if (result.status === WriteStatus.Applied) return true
    // An earlier try may have written it, or an owner before us with the same records: content is all that counts.
    const found = await this.#store.read(key, call)
    if (!found.ok || found.value === undefined) return false
    return JSON.stringify(parseLedgerSegment(found.value.value)) === JSON.stringify(this.#head.open)
  }

  #refuseAll (): void {
    for (const commit of this.#pending.splice(0)) commit.resolve({ status: CommitStatus.NotOwner, results: [] })
  }
}

/** Usage window of the wall clock. */
function currentWindow (settings: PartitionSettings): number {
  return Math.floor(Date.now() / settings.usageWindowMs)
}

/** What a record is about; two commits about the same thing can't share a group. */
function subjectOf (record: LedgerRecord): string {
  switch (record.kind) {
    case LedgerRecordKind.Claim:
    case LedgerRecordKind.ClaimRelease:
    case LedgerRecordKind.Answer: return `claim/${record.claimId}`
    case LedgerRecordKind.BatchOpen: return `batch/${record.order.workspace}/${record.order.batchId}`
    case LedgerRecordKind.BatchCancel:
    case LedgerRecordKind.Acknowledgement: return `batch/${record.workspace}/${record.batchId}`
    case LedgerRecordKind.Delivery: return `sample/${record.workspace}/${record.batchId}/${record.sample.sampleId}`
    case LedgerRecordKind.SampleFailure: return `sample/${record.workspace}/${record.batchId}/${record.sampleId}`
    case LedgerRecordKind.Usage: return `usage/${record.usage.requestId}`
    case LedgerRecordKind.ChainHead: return `chain/${record.chain}`
    default: return unreachable(record)
  }
}

async function loadState (settings: PartitionSettings, store: ObjectStore, head: LedgerHead): Promise<LedgerPartition | undefined> {
  const state = new LedgerPartition()
  for (let segment = 0; segment < head.segments; segment++) {
    const call = { purpose: StorePurpose.Claim, deadline: deadlineAfter(settings.storeTimeoutMs) }
    const found = await store.read(ledgerSegmentKey(settings.partition, segment), call)
    const records = found.ok ? parseLedgerSegment(found.value?.value) : undefined
    if (records === undefined) return undefined
    applyAll(state, records)
  }
  applyAll(state, head.open)
  return state
}

function applyAll (state: LedgerPartition, records: readonly StoredRecord[]): void {
  for (const stored of records) state.apply(restoreRecord(stored), stored.window)
}
