import { randomUUID } from 'node:crypto'
import { CommitStatus } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, LedgerRecord } from '@cyclamenthread/state'
import type { JournalTask } from './journal-task.js'
import type { LedgerClient } from './ledger-client.js'

/** Most records that go into one commit. */
const MAX_COMMIT_RECORDS = 64

/** Longest one commit is tried before its records wait for the next try, in milliseconds. */
const COMMIT_TIMEOUT_MS = 5_000

/** How often a drain looks whether everything is committed, in milliseconds. */
const DRAIN_POLL_MS = 50

/** Age at which a record that waits is journaled, in milliseconds. */
const JOURNAL_AGE_MS = 1_000

/** A record that waits for its commit. */
interface WaitingRecord {
  readonly id: string
  record: LedgerRecord
  /** Monotonic time in milliseconds. */
  readonly since: number
  /** Whether hosts with a data folder keep the record as well. */
  journaled: boolean
  /** Told when the record is committed, or contradicts what is. */
  readonly done: () => void
}

/** The records that wait for one partition. */
interface PartitionQueue {
  waiting: WaitingRecord[]
  running: boolean
}

/** What the queue commits through. */
export type CommitTarget = Pick<LedgerClient, 'commit'>

/** Where records are kept that can't be committed for a while. */
export type RecordJournal = Pick<JournalTask, 'append' | 'trim'>

/** What a {@link WriteBehind} works with besides the ledger; each has a default. */
export interface WriteBehindOptions {
  readonly clock?: Clock
  readonly random?: () => number
  readonly journal?: RecordJournal
  /** Length of a usage window, in milliseconds; journaled usage names the window it belongs to. */
  readonly usageWindowMs?: number
}

/**
 * Commits records that nobody waits for: usage, answers of calls that have
 * run, claims whose outcome is lost. They are kept and tried until the ledger
 * has them, however long the store is down; what waits for more than a moment
 * is journaled by hosts with a data folder as well. Every kind that comes here may be
 * committed again without a second effect.
 *
 * Invariant: a record leaves the queue only when it is committed or
 * contradicts what is committed.
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

  /** Records that wait. */
  get waiting (): number {
    let total = 0
    for (const queue of this.#queues.values()) total += queue.waiting.length
    return total
  }

  /**
   * Takes a record over.
   *
   * @returns settles when the record is committed or contradicts what is
   * @example
   * void behind.add(partition, { kind: LedgerRecordKind.Usage, usage })
   */
  async add (partition: number, record: LedgerRecord): Promise<void> {
    const queue = this.#queues.get(partition) ?? { waiting: [], running: false }
    this.#queues.set(partition, queue)
    await new Promise<void>((resolve) => {
      queue.waiting.push({ id: randomUUID(), record, since: this.#clock.now(), journaled: false, done: resolve })
      void this.#processQueue(partition, queue)
    })
  }

  /** Waits until nothing waits any more; false when the deadline came first. */
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

  /** A commit is all or none: one record that contradicts must not hold the others up. */
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

  /** Lets hosts with a data folder keep what waits for long, so that it outlives this process. */
  async #journalOldRecords (partition: number, queue: PartitionQueue): Promise<void> {
    const now = this.#clock.now()
    const old = queue.waiting.filter((item) => !item.journaled && now - item.since >= JOURNAL_AGE_MS).slice(0, MAX_COMMIT_RECORDS)
    if (this.#journal === undefined || old.length === 0) return
    for (const item of old) item.record = this.#withUsageWindow(item.record, now - item.since)
    const kept = await this.#journal.append(old.map(({ id, record }) => ({ id, partition, record })))
    if (!kept) return
    this.counters.journaled += old.length
    for (const item of old) item.journaled = true
  }

  /** A record with the window in which its usage arose: once that window has closed, the usage is a correction of it. */
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
