import { batchKey, EndpointState, LedgerRecordKind, VersionTracker, StragglerPlanner } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { BATCH_POLICY } from './batch-context.js'
import { BatchRun } from './batch-run.js'
import { LedgerNewsKind } from './ledger-task.js'
import { Periodic } from './periodic.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { CatalogueView } from '@cyclamenthread/state'
import type { BatchContext, BatchCounters } from './batch-context.js'
import type { LedgerNews, LedgerTask } from './ledger-task.js'

/** Samples of all batches of this host that run or ask for a slot. */
const HOST_CONCURRENCY = 4_096

/** How often the tails of the steps are looked at, in milliseconds. */
const TAIL_PERIOD_MS = 100

/** What the task is made from; the policy is the service's unless an experiment says otherwise. */
export type BatchTaskParts = Omit<BatchContext, 'plan' | 'staleness' | 'counters' | 'clock' | 'policy'> & Partial<Pick<BatchContext, 'policy'>>

/**
 * Runs the samples of the batches whose partitions this host owns, and commits
 * each with its usage. What a lost owner had not committed, the next one runs again.
 *
 * Invariants: a sample reaches a trainer only by a commit of its partition's
 * owner; at most `HOST_CONCURRENCY` samples run or ask for a slot; a batch is
 * held here only while it has open samples.
 */
export class BatchTask {
  readonly #ledger: LedgerTask
  readonly #context: BatchContext
  readonly #runs = new Map<string, BatchRun>()
  readonly #tail: Periodic
  #stopped = false
  readonly counters: BatchCounters = {
    delivered: 0, failed: 0, discardedStale: 0, discardedUnnamed: 0, retried: 0, copies: 0, copiesWon: 0, moved: 0, wastedTokens: 0
  }

  constructor (ledger: LedgerTask, parts: BatchTaskParts) {
    this.#ledger = ledger
    this.#context = { policy: BATCH_POLICY, ...parts, plan: new StragglerPlanner(), staleness: new VersionTracker(), counters: this.counters, clock: SYSTEM_CLOCK }
    this.#tail = new Periodic(TAIL_PERIOD_MS, async () => this.#look())
  }

  /** Batches that run on this host. */
  get running (): number {
    return this.#runs.size
  }

  /** The broker service that is told of opened batches. */
  service (): ServiceSchema {
    return taskService('batches', {
      [PeerMessageKind.OpenBatch]: async (message) => ({ accepted: this.#open(message.partition, batchKey(message.workspace, message.batchId)) })
    })
  }

  async start (): Promise<void> {
    this.#ledger.onNews((news) => this.#hear(news))
    this.#context.catalogue.onChange((view) => this.#moveReclaimed(view))
    for (const partition of this.#ledger.owned()) this.#resume(partition)
    await this.#tail.start()
  }

  /** Stops running batches; their samples are run by the next owner. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.#tail.stop()
    for (const run of this.#runs.values()) run.end()
    this.#runs.clear()
  }

  #hear (news: LedgerNews): void {
    if (news.kind === LedgerNewsKind.Owned) this.#resume(news.partition)
    if (news.kind === LedgerNewsKind.Lost) this.#abandon(news.partition)
    if (news.kind !== LedgerNewsKind.Committed) return
    const { record } = news
    if (record.kind === LedgerRecordKind.BatchOpen) this.#open(news.partition, batchKey(record.order.workspace, record.order.batchId))
    if (record.kind === LedgerRecordKind.BatchCancel) this.#end(nameOf(news.partition, batchKey(record.workspace, record.batchId)))
  }

  #resume (partition: number): void {
    for (const batch of this.#ledger.owner(partition)?.state.batches() ?? []) {
      this.#open(partition, batchKey(batch.order.workspace, batch.order.batchId))
    }
  }

  #abandon (partition: number): void {
    for (const [name, run] of [...this.#runs]) {
      if (run.partition === partition) this.#end(name)
    }
  }

  #end (name: string): void {
    this.#runs.get(name)?.end()
    this.#runs.delete(name)
  }

  #open (partition: number, key: string): boolean {
    const owner = this.#ledger.owner(partition)
    const batch = owner?.state.batch(key)
    if (this.#stopped || owner === undefined || batch === undefined) return false
    const name = nameOf(partition, key)
    if (batch.cancelled || this.#runs.has(name)) return true
    const run = new BatchRun(this.#context, partition, owner, batch, () => this.#pump())
    if (run.over) return true
    this.#runs.set(name, run)
    this.#pump()
    return true
  }

  /** Starts samples of all batches in turn, so that none waits for another to end. */
  #pump (): void {
    for (const [name, run] of [...this.#runs]) {
      if (run.over) this.#runs.delete(name)
    }
    let room = HOST_CONCURRENCY - [...this.#runs.values()].reduce((sum, run) => sum + run.running, 0)
    let runs = [...this.#runs.values()]
    while (room > 0 && runs.length > 0) {
      runs = runs.slice(0, room).filter((run) => run.startNext())
      room -= runs.length
    }
  }

  #look (): void {
    const now = monotonicNow()
    for (const run of this.#runs.values()) run.look(now)
  }

  #moveReclaimed (view: CatalogueView): void {
    const reclaimed = view.roster.endpoints.filter((item) => item.state === EndpointState.Reclaimed)
    if (reclaimed.length === 0) return
    const ids = new Set(reclaimed.map((item) => item.endpoint.id))
    for (const run of this.#runs.values()) run.moveFrom(ids)
  }
}

function nameOf (partition: number, key: string): string {
  return `${partition}\u0000${key}`
}
