import { batchKey, EndpointState, LedgerRecordKind, VersionTracker, StragglerPlanner } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { DEFAULT_BATCH_POLICY } from './batch-context.js'
import { BatchRun } from './batch-run.js'
import { LedgerEventKind } from './ledger-task.js'
import { Periodic } from './periodic.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { CatalogueView } from '@cyclamenthread/state'
import type { BatchContext, BatchCounters } from './batch-context.js'
import type { LedgerEvent, LedgerTask } from './ledger-task.js'

/** Maximum number of samples of all batches on this host that run or request a slot. */
const MAX_HOST_CONCURRENCY = 4_096

/** Interval at which runs are checked for misplaced and late samples, in milliseconds. */
const REBALANCE_PERIOD_MS = 100

/** Dependencies of the task; without a policy, the service's default applies. */
export type BatchTaskDependencies = Omit<BatchContext, 'plan' | 'staleness' | 'counters' | 'clock' | 'policy'> & Partial<Pick<BatchContext, 'policy'>>

/**
 * Runs the samples of the batches in partitions that this host owns and commits
 * each result together with its usage. Samples that a lost owner had not
 * committed are run again by the next owner.
 *
 * Invariants: a sample reaches a trainer only through a commit by the owner of
 * its partition; at most `MAX_HOST_CONCURRENCY` samples run or request a slot; a
 * batch has a run here only while it has unsettled samples.
 */
export class BatchTask {
  readonly #ledger: LedgerTask
  readonly #context: BatchContext
  readonly #runs = new Map<string, BatchRun>()
  readonly #rebalancing: Periodic
  #stopped = false
  readonly counters: BatchCounters = {
    delivered: 0, failed: 0, discardedStale: 0, discardedUnnamed: 0, retried: 0, copies: 0, copiesWon: 0, moved: 0, wastedTokens: 0
  }

  constructor (ledger: LedgerTask, dependencies: BatchTaskDependencies) {
    this.#ledger = ledger
    this.#context = { policy: DEFAULT_BATCH_POLICY, ...dependencies, plan: new StragglerPlanner(), staleness: new VersionTracker(), counters: this.counters, clock: SYSTEM_CLOCK }
    this.#rebalancing = new Periodic(REBALANCE_PERIOD_MS, async () => this.#rebalance())
  }

  /** Number of batches that run on this host. */
  get runningBatches (): number {
    return this.#runs.size
  }

  /** Creates the broker service that receives notices of opened batches. */
  service (): ServiceSchema {
    return taskService('batches', {
      [PeerMessageKind.OpenBatch]: async (message) => ({ accepted: this.#startBatch(message.partition, batchKey(message.workspace, message.batchId)) })
    })
  }

  async start (): Promise<void> {
    this.#ledger.onEvent((event) => this.#handleLedgerEvent(event))
    this.#context.catalogue.onChange((view) => this.#moveOffReclaimed(view))
    for (const partition of this.#ledger.ownedPartitions()) this.#resumeBatches(partition)
    await this.#rebalancing.start()
  }

  /** Stops all runs; the next owners of the partitions run the remaining samples. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.#rebalancing.stop()
    for (const run of this.#runs.values()) run.stop()
    this.#runs.clear()
  }

  #handleLedgerEvent (event: LedgerEvent): void {
    if (event.kind === LedgerEventKind.Owned) this.#resumeBatches(event.partition)
    if (event.kind === LedgerEventKind.Lost) this.#stopPartition(event.partition)
    if (event.kind !== LedgerEventKind.Committed) return
    const { record } = event
    if (record.kind === LedgerRecordKind.BatchOpen) this.#startBatch(event.partition, batchKey(record.order.workspace, record.order.batchId))
    if (record.kind === LedgerRecordKind.BatchCancel) this.#stopRun(runKey(event.partition, batchKey(record.workspace, record.batchId)))
  }

  #resumeBatches (partition: number): void {
    for (const batch of this.#ledger.ownerOf(partition)?.state.batches() ?? []) {
      this.#startBatch(partition, batchKey(batch.order.workspace, batch.order.batchId))
    }
  }

  #stopPartition (partition: number): void {
    for (const [name, run] of [...this.#runs]) {
      if (run.partition === partition) this.#stopRun(name)
    }
  }

  #stopRun (name: string): void {
    this.#runs.get(name)?.stop()
    this.#runs.delete(name)
  }

  #startBatch (partition: number, key: string): boolean {
    const owner = this.#ledger.ownerOf(partition)
    const batch = owner?.state.batch(key)
    if (this.#stopped || owner === undefined || batch === undefined) return false
    const name = runKey(partition, key)
    if (batch.cancelled || this.#runs.has(name)) return true
    const run = new BatchRun(this.#context, partition, owner, batch, () => this.#startSamples())
    if (run.isFinished) return true
    this.#runs.set(name, run)
    this.#startSamples()
    return true
  }

  /** Starts samples of all batches round-robin, so that no batch waits for another one to finish. */
  #startSamples (): void {
    for (const [name, run] of [...this.#runs]) {
      if (run.isFinished) this.#runs.delete(name)
    }
    let capacity = MAX_HOST_CONCURRENCY - [...this.#runs.values()].reduce((sum, run) => sum + run.runningCount, 0)
    let runs = [...this.#runs.values()]
    while (capacity > 0 && runs.length > 0) {
      runs = runs.slice(0, capacity).filter((run) => run.startNextSample())
      capacity -= runs.length
    }
  }

  #rebalance (): void {
    const now = monotonicNow()
    for (const run of this.#runs.values()) run.rebalance(now)
  }

  #moveOffReclaimed (view: CatalogueView): void {
    const reclaimed = view.roster.endpoints.filter((item) => item.state === EndpointState.Reclaimed)
    if (reclaimed.length === 0) return
    const ids = new Set(reclaimed.map((item) => item.endpoint.id))
    for (const run of this.#runs.values()) run.moveOffEndpoints(ids)
  }
}

function runKey (partition: number, key: string): string {
  return `${partition}\u0000${key}`
}
