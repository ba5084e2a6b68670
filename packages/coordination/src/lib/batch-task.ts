import { setMaxListeners } from 'node:events'
import { batchKey, LedgerRecordKind, RefusalReason } from '@cyclamenthread/state'
import { CommitStatus, PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { LedgerNewsKind } from './ledger-task.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { BatchState, Entry, LedgerRecord, SampleOrder, Workspace } from '@cyclamenthread/state'
import type { Completion } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { CompletionRunner } from './completion-runner.js'
import type { LedgerNews, LedgerTask } from './ledger-task.js'
import type { PartitionOwner } from './partition-owner.js'
import type { WriteBehind } from './write-behind.js'

/** Samples of one batch that ask for slots at the same time. */
const BATCH_CONCURRENCY = 256

/** How long the delivery of a sample is tried before it is run again, in milliseconds. */
const DELIVERY_MS = 60_000

/** Pause after a sample could not be run, in milliseconds. */
const RETRY_MS = 200

/** A batch that runs on this host. */
interface RunningBatch {
  readonly abort: AbortController
}

/**
 * Runs the samples of the batches whose partitions this host owns, and commits
 * each with its usage. What a lost owner had not committed, the next one runs again.
 *
 * Invariant: a sample reaches a trainer only by a commit of its partition's owner.
 */
export class BatchTask {
  readonly #ledger: LedgerTask
  readonly #catalogue: CatalogueSource
  readonly #runner: CompletionRunner
  readonly #behind: WriteBehind
  readonly #running = new Map<string, RunningBatch>()
  /** Newest weight version seen in any stream, by entry. */
  readonly #newestVersion = new Map<string, number>()
  readonly counters = { delivered: 0, discardedStale: 0, discardedUnnamed: 0, retried: 0 }

  constructor (ledger: LedgerTask, catalogue: CatalogueSource, runner: CompletionRunner, behind: WriteBehind) {
    this.#behind = behind
    this.#ledger = ledger
    this.#catalogue = catalogue
    this.#runner = runner
  }

  /** The broker service that is told of opened batches. */
  service (): ServiceSchema {
    return taskService('batches', {
      [PeerMessageKind.OpenBatch]: async (message) => ({ accepted: this.#open(message.partition, batchKey(message.workspace, message.batchId)) })
    })
  }

  start (): void {
    this.#ledger.onNews((news) => this.#hear(news))
    for (const partition of this.#ledger.owned()) this.#resume(partition)
  }

  /** Stops running batches; their samples are run by the next owner. */
  stop (): void {
    for (const batch of this.#running.values()) batch.abort.abort()
  }

  #hear (news: LedgerNews): void {
    if (news.kind === LedgerNewsKind.Owned) this.#resume(news.partition)
    if (news.kind === LedgerNewsKind.Lost) this.#abandon(news.partition)
    if (news.kind !== LedgerNewsKind.Committed) return
    if (news.record.kind === LedgerRecordKind.BatchOpen) this.#open(news.partition, batchKey(news.record.order.workspace, news.record.order.batchId))
    if (news.record.kind === LedgerRecordKind.BatchCancel) this.#cancel(news.partition, batchKey(news.record.workspace, news.record.batchId))
  }

  #resume (partition: number): void {
    for (const batch of this.#ledger.owner(partition)?.state.batches() ?? []) {
      this.#open(partition, batchKey(batch.order.workspace, batch.order.batchId))
    }
  }

  #abandon (partition: number): void {
    for (const [name, batch] of [...this.#running]) {
      if (!name.startsWith(`${partition}\u0000`)) continue
      batch.abort.abort()
      this.#running.delete(name)
    }
  }

  #cancel (partition: number, key: string): void {
    this.#running.get(`${partition}\u0000${key}`)?.abort.abort()
  }

  #open (partition: number, key: string): boolean {
    const owner = this.#ledger.owner(partition)
    const batch = owner?.state.batch(key)
    if (owner === undefined || batch === undefined) return false
    const name = `${partition}\u0000${key}`
    const open = batch.order.samples.filter((sample) => !batch.settled.has(sample.sampleId))
    if (batch.cancelled || open.length === 0 || this.#running.has(name)) return true
    const abort = new AbortController()
    setMaxListeners(0, abort.signal)
    this.#running.set(name, { abort })
    void this.#runBatch(owner, batch, open, abort.signal).finally(() => {
      if (this.#running.get(name)?.abort === abort) this.#running.delete(name)
    })
    return true
  }

  /** Long samples first, so that none of them starts when the others have ended. */
  async #runBatch (owner: PartitionOwner, batch: BatchState, open: readonly SampleOrder[], signal: AbortSignal): Promise<void> {
    /** Samples whose delivery is written behind: the batch goes on running others meanwhile. */
    const behind: Array<Promise<void>> = []
    const queue = [...open].sort((a, b) => b.expectedTokens - a.expectedTokens)
    const worker = async (): Promise<void> => {
      for (let sample = queue.shift(); sample !== undefined; sample = queue.shift()) await this.#settle(owner, batch, sample, signal, behind)
    }
    await Promise.all(Array.from({ length: Math.min(BATCH_CONCURRENCY, open.length) }, worker))
    await Promise.all(behind)
  }

  /** Runs one sample until it is settled or the batch is no longer ours. */
  async #settle (owner: PartitionOwner, batch: BatchState, sample: SampleOrder, signal: AbortSignal, behind: Array<Promise<void>>): Promise<void> {
    for (let attempt = 0; !signal.aborted && !owner.deposed; attempt++) {
      const record = await this.#runSample(batch, sample, attempt, signal)
      if (record !== undefined) {
        const status = await this.#deliver(owner, record, behind)
        if (status === CommitStatus.Committed) this.counters.delivered += 1
        if (status === CommitStatus.Committed || status === CommitStatus.Rejected) return
      }
      this.counters.retried += 1
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
    }
  }

  /** Commits what was run. If the store can't take it now it is written behind rather than run again. */
  async #deliver (owner: PartitionOwner, record: LedgerRecord, behind: Array<Promise<void>>): Promise<CommitStatus> {
    const { status } = await owner.commit([record], deadlineAfter(DELIVERY_MS))
    if (status !== CommitStatus.Unavailable && status !== CommitStatus.Unknown) return status
    behind.push(this.#behind.add(owner.partition, record))
    return CommitStatus.Committed
  }

  /** One run of a sample; undefined when it has to be run again. */
  async #runSample (batch: BatchState, sample: SampleOrder, attempt: number, signal: AbortSignal): Promise<LedgerRecord | undefined> {
    const { workspace: workspaceName, batchId, entry: entryName } = batch.order
    const view = this.#catalogue.current()
    const entry = view?.entry(entryName)
    const workspace = view?.workspace(workspaceName)
    if (entry === undefined || workspace === undefined) return undefined
    const requestId = `${batchId}/${sample.sampleId}/${attempt}`
    const result = await this.#runner.run({
      requestId,
      workspace,
      entry,
      prompt: sample.prompt,
      maxTokens: sample.maxTokens,
      expectedTokens: sample.expectedTokens,
      deadline: deadlineAfter(entry.timeoutMs),
      traceparent: '',
      signal
    })
    if (result.ok) return this.#delivery(batch, sample, requestId, entry, workspace, result.completion)
    if (result.refusal.reason !== RefusalReason.Quarantined) return undefined
    return { kind: LedgerRecordKind.SampleFailure, workspace: workspaceName, batchId, sampleId: sample.sampleId, refusal: result.refusal }
  }

  #delivery (batch: BatchState, sample: SampleOrder, requestId: string, entry: Entry, workspace: Workspace, completion: Completion): LedgerRecord | undefined {
    const { versions } = completion
    if (versions === undefined) {
      this.counters.discardedUnnamed += 1
      return undefined
    }
    if (!this.#freshEnough(entry, versions.map((span) => span.version))) {
      this.counters.discardedStale += 1
      return undefined
    }
    return {
      kind: LedgerRecordKind.Delivery,
      workspace: workspace.name,
      batchId: batch.order.batchId,
      sample: { sampleId: sample.sampleId, group: sample.group, text: completion.text, versions, finishReason: completion.finishReason },
      usage: { requestId, workspace: workspace.name, entry: entry.name, promptTokens: completion.promptTokens, answerTokens: completion.answerTokens, calls: 0 }
    }
  }

  #freshEnough (entry: Entry, versions: readonly number[]): boolean {
    const newest = Math.max(this.#newestVersion.get(entry.name) ?? 0, ...versions)
    this.#newestVersion.set(entry.name, newest)
    return entry.stalenessBound === undefined || versions.every((version) => newest - version <= (entry.stalenessBound ?? 0))
  }
}
