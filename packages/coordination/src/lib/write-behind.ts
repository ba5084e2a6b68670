import { CommitStatus } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, LedgerRecord } from '@cyclamenthread/state'
import type { LedgerClient } from './ledger-client.js'

/** Most records that go into one commit. */
const BATCH_RECORDS = 64

/** Longest one commit is tried before its records wait for the next try, in milliseconds. */
const COMMIT_MS = 5_000

/** How often a drain looks whether everything is committed, in milliseconds. */
const DRAIN_POLL_MS = 50

/** A record that waits for its commit. */
interface WaitingRecord {
  readonly record: LedgerRecord
  /** Told when the record is committed, or contradicts what is. */
  readonly done: () => void
}

/** The records that wait for one partition. */
interface PartitionQueue {
  waiting: WaitingRecord[]
  running: boolean
}

/** What the queue commits through. */
export type CommitPath = Pick<LedgerClient, 'commit'>

/**
 * Commits records that nobody waits for: usage, answers of calls that have
 * run, claims whose outcome is lost. They are kept and tried until the ledger
 * has them, however long the store is down. Every kind that comes here may be
 * committed again without a second effect.
 *
 * Invariant: a record leaves the queue only when it is committed or
 * contradicts what is committed.
 */
export class WriteBehind {
  readonly #ledger: CommitPath
  readonly #clock: Clock
  readonly #random: () => number
  readonly #queues = new Map<number, PartitionQueue>()
  readonly counters = { committed: 0, rejected: 0 }

  constructor (ledger: CommitPath, clock: Clock = SYSTEM_CLOCK, random: () => number = Math.random) {
    this.#ledger = ledger
    this.#clock = clock
    this.#random = random
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
      queue.waiting.push({ record, done: resolve })
      void this.#run(partition, queue)
    })
  }

  /** Waits until nothing waits any more; false when the deadline came first. */
  async drain (deadline: number): Promise<boolean> {
    while (this.waiting > 0 && this.#clock.now() < deadline) await this.#clock.sleep(DRAIN_POLL_MS)
    return this.waiting === 0
  }

  async #run (partition: number, queue: PartitionQueue): Promise<void> {
    if (queue.running) return
    queue.running = true
    const backoff = new Backoff(this.#random)
    while (queue.waiting.length > 0) {
      const batch = queue.waiting.slice(0, BATCH_RECORDS)
      const status = await this.#commit(partition, batch)
      if (status === CommitStatus.Committed) this.#finish(queue, batch)
      else if (status === CommitStatus.Rejected) await this.#commitSingly(partition, queue, batch)
      else await this.#clock.sleep(backoff.next())
    }
    queue.running = false
    this.#queues.delete(partition)
  }

  /** A commit is all or none: one record that contradicts must not hold the others up. */
  async #commitSingly (partition: number, queue: PartitionQueue, batch: readonly WaitingRecord[]): Promise<void> {
    for (const item of batch) {
      const status = await this.#commit(partition, [item])
      if (status === CommitStatus.Committed) this.#finish(queue, [item])
      if (status !== CommitStatus.Rejected) continue
      this.counters.rejected += 1
      this.#remove(queue, [item])
    }
  }

  async #commit (partition: number, batch: readonly WaitingRecord[]): Promise<CommitStatus> {
    const answer = await this.#ledger.commit(partition, batch.map((item) => item.record), { deadline: this.#clock.now() + COMMIT_MS })
    return answer.status
  }

  #finish (queue: PartitionQueue, batch: readonly WaitingRecord[]): void {
    this.counters.committed += batch.length
    this.#remove(queue, batch)
  }

  #remove (queue: PartitionQueue, batch: readonly WaitingRecord[]): void {
    queue.waiting = queue.waiting.filter((item) => !batch.includes(item))
    for (const item of batch) item.done()
  }
}
