import { batchKey } from '@cyclamenthread/state'
import { SpanKind, withSpan, getTraceparent } from '@cyclamenthread/transport'
import { SampleEndKind, SampleRun } from './sample-run.js'
import type { BatchState, SampleOrder } from '@cyclamenthread/state'
import type { BatchContext } from './batch-context.js'
import type { PartitionOwner } from './partition-owner.js'

/**
 * Samples that run or request a slot, as a multiple of the pool's slots: enough
 * to fill each slot as soon as it becomes free, few enough that the remaining
 * samples can still be routed to whichever cell is free by then.
 */
const CONCURRENCY_FACTOR = 1.25

/**
 * Wait in the queue of a cell after which a sample requests a slot again, in
 * milliseconds. Doubles with each request, so that every sample eventually
 * keeps its place for long enough to be served.
 */
const RE_REQUEST_AFTER_MS = 200

/** Samples that may request slots even if no slot of the pool is known. */
const MIN_CONCURRENCY = 16

/** Samples that may repeat their request in one pass without a known free slot: other workspaces may use the unaccounted slots. */
const MAX_SPECULATIVE_REQUESTS = 4

/** Delay before failed samples are run again, in milliseconds. */
const RETRY_DELAY_MS = 200

/** A sample that has to be run again. */
interface AwaitingSample {
  readonly sample: SampleOrder
  /** Monotonic milliseconds. */
  readonly retryAt: number
}

/**
 * Runs the unsettled samples of one batch until each is settled.
 *
 * Invariant: a sample is in exactly one state: queued, running, awaiting its
 * retry, or settled.
 */
export class BatchRun {
  readonly partition: number
  /** Key made of the workspace and the batch id. */
  readonly key: string
  readonly pool: string
  readonly #context: BatchContext
  readonly #owner: PartitionOwner
  readonly #batch: BatchState
  readonly #groups: ReadonlySet<string>
  readonly #queue: SampleOrder[]
  readonly #running = new Map<string, SampleRun>()
  readonly #onCapacityFreed: () => void
  #awaitingRetry: AwaitingSample[] = []
  #retryScheduled = false
  #stopped = false
  #batchTraceparent = ''

  /** @param onCapacityFreed called when the run may start more samples or has finished */
  constructor (context: BatchContext, partition: number, owner: PartitionOwner, batch: BatchState, onCapacityFreed: () => void) {
    const { workspace, batchId, entry, samples } = batch.order
    this.partition = partition
    this.key = batchKey(workspace, batchId)
    this.pool = context.catalogue.current()?.entry(entry)?.pool ?? ''
    this.#context = context
    this.#owner = owner
    this.#batch = batch
    this.#onCapacityFreed = onCapacityFreed
    this.#groups = new Set(samples.map((sample) => sample.group))
    const open = samples.filter((sample) => !batch.settled.has(sample.sampleId))
    this.#queue = context.policy.longestFirst ? context.plan.sortSamples(entry, open) : open
  }

  /** Number of samples that run or request a slot; samples that only wait for their commit need no slot. */
  get runningCount (): number {
    let count = 0
    for (const run of this.#running.values()) count += run.isCommitting ? 0 : 1
    return count
  }

  /** Whether all samples are settled or the run was stopped. */
  get isFinished (): boolean {
    return this.#stopped || (this.#queue.length === 0 && this.#running.size === 0 && this.#awaitingRetry.length === 0)
  }

  /** Starts the next sample if the concurrency limit allows it; returns whether it did. */
  startNextSample (): boolean {
    const limit = Math.max(MIN_CONCURRENCY, CONCURRENCY_FACTOR * this.#context.slots.totalSlots(this.pool))
    if (this.#stopped || this.runningCount >= limit) return false
    const sample = this.#queue.shift()
    if (sample === undefined) return false
    void this.#runSample(sample)
    return true
  }

  /** Re-routes samples that wait in a busy cell and, once the queue is empty, copies late samples. */
  rebalance (now: number): void {
    if (this.#stopped || this.#running.size === 0) return
    this.#reRequestSlots(now)
    if (this.#context.policy.copies && this.#queue.length === 0) this.#copyLateSamples(now)
  }

  /**
   * Makes waiting samples repeat their slot request while other cells may have
   * free slots. The most recent requests are repeated first: they are at the end
   * of their cell's queue and lose the least, while long samples keep their places.
   */
  #reRequestSlots (now: number): void {
    const runs = [...this.#running.values()]
    const waiting = runs.filter((run) => now - (run.waitingSince ?? Infinity) > RE_REQUEST_AFTER_MS * 2 ** run.requestCount)
    if (waiting.length === 0) return
    waiting.sort((a, b) => (b.waitingSince ?? 0) - (a.waitingSince ?? 0))
    const unaccountedSlots = this.#context.slots.totalSlots(this.pool) - runs.filter((run) => run.progress !== undefined && !run.isCommitting).length
    const count = Math.max(this.#context.slots.freeSlots(this.pool), Math.min(unaccountedSlots, MAX_SPECULATIVE_REQUESTS))
    for (const run of waiting.slice(0, Math.max(0, count))) run.reRequestSlot()
  }

  /**
   * Runs late samples a second time in slots that the batch itself leaves unused.
   * A copy queues like any other request of its workspace, so it takes no share
   * from other workspaces.
   */
  #copyLateSamples (now: number): void {
    const spareSlots = this.#context.slots.totalSlots(this.pool) - this.runningCount
    const running = [...this.#running.values()].flatMap((run) => run.isCommitting ? [] : run.progress ?? [])
    for (const late of this.#context.plan.selectForCopy(running, spareSlots, now)) void this.#running.get(late.sampleId)?.startCopy()
  }

  /** Moves samples off endpoints that are about to disappear, those with the most generated tokens first. */
  moveOffEndpoints (endpointIds: ReadonlySet<string>): void {
    if (!this.#context.policy.moves) return
    const runs = [...this.#running.values()].filter((run) => run.runsOn(endpointIds))
    runs.sort((a, b) => (b.progress?.tokens ?? 0) - (a.progress?.tokens ?? 0))
    for (const run of runs) void run.moveOffEndpoints(endpointIds)
  }

  /** Stops the run. The next owner of the partition, if any, runs the undelivered samples. */
  stop (): void {
    this.#stopped = true
    for (const run of this.#running.values()) run.stop()
    for (const group of this.#groups) this.#context.plan.forgetGroup(this.#batch.order.entry, group)
  }

  async #runSample (sample: SampleOrder): Promise<void> {
    const spanOptions = { name: 'batch.sample', kind: SpanKind.INTERNAL, traceparent: this.#batchTraceparent, attributes: { batch: this.key, sample: sample.sampleId } }
    const end = await withSpan(spanOptions, async (span) => {
      // All samples of a batch join the trace of the first one.
      if (this.#batchTraceparent === '') this.#batchTraceparent = getTraceparent(span)
      const run = new SampleRun(this.#context, this.#owner, this.#batch.order, sample, getTraceparent(span), this.#onCapacityFreed)
      this.#running.set(sample.sampleId, run)
      return await run.runToEnd()
    })
    this.#running.delete(sample.sampleId)
    if (end.kind === SampleEndKind.Unsettled && !this.#stopped && !this.#owner.deposed) this.#scheduleRetry(sample, end.retryAt)
    if (this.isFinished) this.stop()
    this.#onCapacityFreed()
  }

  /** Queues a failed sample for a retry; all samples that await one share a timer. */
  #scheduleRetry (sample: SampleOrder, retryAt: number): void {
    this.#context.counters.retried += 1
    this.#awaitingRetry.push({ sample, retryAt })
    if (!this.#retryScheduled) this.#scheduleRequeue()
  }

  #scheduleRequeue (): void {
    this.#retryScheduled = true
    void this.#context.clock.sleep(RETRY_DELAY_MS).then(() => {
      this.#retryScheduled = false
      if (this.#stopped) return
      const now = this.#context.clock.now()
      const due = this.#awaitingRetry.filter(({ retryAt }) => retryAt <= now)
      this.#awaitingRetry = this.#awaitingRetry.filter(({ retryAt }) => retryAt > now)
      this.#queue.unshift(...due.map(({ sample }) => sample))
      if (this.#awaitingRetry.length > 0) this.#scheduleRequeue()
      if (due.length > 0) this.#onCapacityFreed()
    })
  }
}
