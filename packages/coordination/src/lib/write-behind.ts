import { randomUUID } from 'node:crypto'
import { CommitStatus } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, LedgerRecord } from '@cyclamenthread/state'
import type { JournalTask } from './journal-task.js'
import type { LedgerClient } from './ledger-client.js'

/** Maximum number of records in one commit. */
const MAX_COMMIT_RECORDS = 64

/** Timeout for one commit, in milliseconds; its records then wait for the next attempt. */
const COMMIT_TIMEOUT_MS = 5_000

/** Interval at which a drain checks whether all records are committed, in milliseconds. */
const DRAIN_POLL_MS = 50

/** Age at which a waiting record is journaled, in milliseconds. */
const JOURNAL_AGE_MS = 1_000

/** A record that waits to be committed. */
interface WaitingRecord {
  readonly id: string
  record: LedgerRecord
  /** Monotonic time in milliseconds. */
  readonly since: number
  /** Whether the record is also stored in the journals of hosts with a data folder. */
  journaled: boolean
  /** Called when the record is committed or rejected. */
  readonly done: () => void
}

/** The records that wait for one partition. */
interface PartitionQueue {
  waiting: WaitingRecord[]
  running: boolean
}

/** Part of the ledger client that commits records. */
export type CommitTarget = Pick<LedgerClient, 'commit'>

/** Journal for records that can't be committed for a while. */
export type RecordJournal = Pick<JournalTask, 'append' | 'trim'>

/** Optional dependencies and settings of a {@link WriteBehind}. */
export interface WriteBehindOptions {
  readonly clock?: Clock
  readonly random?: () => number
  readonly journal?: RecordJournal
  /** Length of a usage window, in milliseconds; if set, journaled usage is marked with the window that it belongs to. */
  readonly usageWindowMs?: number
}

/**
 * Commits records in the background: usage, answers of calls that have run, and
 * claims whose outcome is unknown. Commits are retried until the ledger has the
 * records, however long the store is down; records that wait for longer than
 * {@link JOURNAL_AGE_MS} are also journaled by hosts with a data folder. All kinds
 * of records that are added here can be committed repeatedly without a further
 * effect.
 *
 * Invariant: a record leaves the queue only when it has been committed or
 * rejected as contradicting committed records.
 */
export class WriteBehind {
  readonly #ledger: CommitTarget
  readonly #clock: Clock
  readonly #random: () => number
  readonly #journal: RecordJournal | undefined
  readonly #usageWindowMs: number | undefined
  readonly #queues = new Map<number, PartitionQueue>()
  readonly counters = { committed: 0, rejected: 0, journaled: 0 }

  constructor (ledger: CommitTarget, options: WriteBehindOptions = {}) {
    this.#ledger = ledger
    this.#clock = options.clock ?? SYSTEM_CLOCK
    this.#random = options.random ?? Math.random
    this.#journal = options.journal
    this.#usageWindowMs = options.usageWindowMs
  }

  /** Number of waiting records. */
  get waiting (): number {
    let total = 0
    for (const queue of this.#queues.values()) total += queue.waiting.length
    return total
  }

  /**
   * Adds a record to the queue.
   *
   * @returns resolves when the record is committed or rejected
   * @example
   * void writeBehind.add(partition, { kind: LedgerRecordKind.Usage, usage })
   */
  async add (partition: number, record: LedgerRecord): Promise<void> {
    const queue = this.#queues.get(partition) ?? { waiting: [], running: false }
    this.#queues.set(partition, queue)
    await new Promise<void>((resolve) => {
      queue.waiting.push({ id: randomUUID(), record, since: this.#clock.now(), journaled: false, done: resolve })
      void this.#processQueue(partition, queue)
    })
  }

  /** Waits until the queue is empty; returns false if the deadline passes first. */
  async drain (deadline: number): Promise<boolean> {
    while (this.waiting > 0 && this.#clock.now() < deadline) await this.#clock.sleep(DRAIN_POLL_MS)
    return this.waiting === 0
  }

  async #processQueue (partition: number, queue: PartitionQueue): Promise<void> {
    if (queue.running) return
    queue.running = true
    const backoff = new Backoff(this.#random)
    while (queue.waiting.length > 0) {
      const batch = queue.waiting.slice(0, MAX_COMMIT_RECORDS)
      const status = await this.#commit(partition, batch)
      if (status === CommitStatus.Committed) this.#completeRecords(queue, batch)
      else if (status === CommitStatus.Rejected) await this.#commitSingly(partition, queue, batch)
      else {
        await this.#journalOldRecords(partition, queue)
        await this.#clock.sleep(backoff.nextDelayMs())
      }
    }
    queue.running = false
    this.#queues.delete(partition)
  }

  /** Commits records one by one: a commit is atomic, so one rejected record would block the others. */
  async #commitSingly (partition: number, queue: PartitionQueue, batch: readonly WaitingRecord[]): Promise<void> {
    for (const item of batch) {
      const status = await this.#commit(partition, [item])
      if (status === CommitStatus.Committed) this.#completeRecords(queue, [item])
      if (status !== CommitStatus.Rejected) continue
      this.counters.rejected += 1
      this.#removeRecords(queue, [item])
    }
  }

  async #commit (partition: number, batch: readonly WaitingRecord[]): Promise<CommitStatus> {
    const answer = await this.#ledger.commit(partition, batch.map((item) => item.record), { deadline: this.#clock.now() + COMMIT_TIMEOUT_MS })
    return answer.status
  }

  #completeRecords (queue: PartitionQueue, batch: readonly WaitingRecord[]): void {
    this.counters.committed += batch.length
    this.#removeRecords(queue, batch)
  }

  /** Journals old records on hosts with a data folder, so that they survive this process. */
  async #journalOldRecords (partition: number, queue: PartitionQueue): Promise<void> {
    const now = this.#clock.now()
    const oldRecords = queue.waiting.filter((item) => !item.journaled && now - item.since >= JOURNAL_AGE_MS).slice(0, MAX_COMMIT_RECORDS)
    if (this.#journal === undefined || oldRecords.length === 0) return
    for (const item of oldRecords) item.record = this.#withUsageWindow(item.record, now - item.since)
    const isJournaled = await this.#journal.append(oldRecords.map(({ id, record }) => ({ id, partition, record })))
    if (!isJournaled) return
    this.counters.journaled += oldRecords.length
    for (const item of oldRecords) item.journaled = true
  }

  /** Adds the window in which a record's usage arose; once that window has closed, the usage counts as a correction of it. */
  #withUsageWindow (record: LedgerRecord, ageMs: number): LedgerRecord {
    if (this.#usageWindowMs === undefined || !('usage' in record) || record.usage.window !== undefined) return record
    const window = Math.floor((this.#clock.wall() - ageMs) / this.#usageWindowMs)
    return { ...record, usage: { ...record.usage, window } }
  }

  #removeRecords (queue: PartitionQueue, batch: readonly WaitingRecord[]): void {
    const journaled = batch.filter((item) => item.journaled).map((item) => item.id)
    if (journaled.length > 0) void this.#journal?.trim(journaled)
    queue.waiting = queue.waiting.filter((item) => !batch.includes(item))
    for (const item of batch) item.done()
  }
}
