import { batchKey } from '@cyclamenthread/state'
import { SpanKind, withSpan, getTraceparent } from '@cyclamenthread/transport'
import { SampleRun } from './sample-run.js'
import type { BatchState, SampleOrder } from '@cyclamenthread/state'
import type { BatchContext } from './batch-context.js'
import type { PartitionOwner } from './partition-owner.js'

/**
 * Samples that run or ask for slots, as a multiple of the slots of the pool:
 * enough to fill each slot as it gets free, few enough that the rest can still go
 * to whichever cell is free then.
 */
const CONCURRENCY_FACTOR = 1.25

/** Wait in one cell after which a sample asks anew, in milliseconds; doubles each time, so that none is kept from its turn. */
const RE_REQUEST_AFTER_MS = 200

/** Samples that ask for slots even when no slot of the pool is known. */
const MIN_CONCURRENCY = 16

/** Samples that ask anew at one look without a slot being known to be free: others may use what is missing. */
const MAX_SPECULATIVE_REQUESTS = 4

/** Pause before samples that could not be run are run again, in milliseconds. */
const RETRY_DELAY_MS = 200

/**
 * Runs the open samples of one batch until each is settled.
 *
 * Invariant: a sample is queued, running, waiting for its retry or settled,
 * never two of these.
 */
export class BatchRun {
  readonly partition: number
  /** Workspace and batch id. */
  readonly key: string
  readonly pool: string
  readonly #context: BatchContext
  readonly #owner: PartitionOwner
  readonly #batch: BatchState
  readonly #groups: ReadonlySet<string>
  readonly #queue: SampleOrder[]
  readonly #running = new Map<string, SampleRun>()
  readonly #onCapacityFreed: () => void
  #awaitingRetry: SampleOrder[] = []
  #retryScheduled = false
  #stopped = false
  #batchTraceparent = ''

  /** @param onFree called when the run can't use all that it might, or is over */
  constructor (context: BatchContext, partition: number, owner: PartitionOwner, batch: BatchState, onFree: () => void) {
    const { workspace, batchId, entry, samples } = batch.order
    this.partition = partition
    this.key = batchKey(workspace, batchId)
    this.pool = context.catalogue.current()?.entry(entry)?.pool ?? ''
    this.#context = context
    this.#owner = owner
    this.#batch = batch
    this.#onCapacityFreed = onFree
    this.#groups = new Set(samples.map((sample) => sample.group))
    const open = samples.filter((sample) => !batch.settled.has(sample.sampleId))
    this.#queue = context.policy.longestFirst ? context.plan.sortSamples(entry, open) : open
  }

  /** Samples that run or ask for a slot; those that only wait for their commit need none. */
  get runningCount (): number {
    let count = 0
    for (const run of this.#running.values()) count += run.isCommitting ? 0 : 1
    return count
  }

  /** Whether everything is settled or the run was ended. */
  get isFinished (): boolean {
    return this.#stopped || (this.#queue.length === 0 && this.#running.size === 0 && this.#awaitingRetry.length === 0)
  }

  /** Starts the next sample, if the run may have one more. */
  startNextSample (): boolean {
    const limit = Math.max(MIN_CONCURRENCY, CONCURRENCY_FACTOR * this.#context.slots.totalSlots(this.pool))
    if (this.#stopped || this.runningCount >= limit) return false
    const sample = this.#queue.shift()
    if (sample === undefined) return false
    void this.#runSample(sample)
    return true
  }

  /** Looks at what waits in the wrong place and, at the tail, at what is late. */
  rebalance (now: number): void {
    if (this.#stopped || this.#running.size === 0) return
    this.#reRequestSlots(now)
    if (this.#context.policy.copies && this.#queue.length === 0) this.#copyLateSamples(now)
  }

  /**
   * Samples that wait ask anew while slots may be free elsewhere. The last ones
   * to ask go first: they wait at the end of their cell's queue and lose least,
   * while the long samples keep their places.
   */
  #reRequestSlots (now: number): void {
    const runs = [...this.#running.values()]
    const waiting = runs.filter((run) => now - (run.waitingSince ?? Infinity) > RE_REQUEST_AFTER_MS * 2 ** run.requestCount)
    if (waiting.length === 0) return
    waiting.sort((a, b) => (b.waitingSince ?? 0) - (a.waitingSince ?? 0))
    const unused = this.#context.slots.totalSlots(this.pool) - runs.filter((run) => run.progress !== undefined && !run.isCommitting).length
    const count = Math.max(this.#context.slots.freeSlots(this.pool), Math.min(unused, MAX_SPECULATIVE_REQUESTS))
    for (const run of waiting.slice(0, Math.max(0, count))) run.reRequestSlot()
  }

  /**
   * Runs late samples a second time, as far as the batch itself has left slots
   * free. A copy queues like any request of its workspace, so it costs no other
   * workspace its share.
   */
  #copyLateSamples (now: number): void {
    const room = this.#context.slots.totalSlots(this.pool) - this.runningCount
    const running = [...this.#running.values()].flatMap((run) => run.isCommitting ? [] : run.progress ?? [])
    for (const late of this.#context.plan.selectForCopy(running, room, now)) void this.#running.get(late.sampleId)?.copy()
  }

  /** Moves what runs on endpoints that vanish, in the order of what would be lost. */
  moveOffEndpoints (endpointIds: ReadonlySet<string>): void {
    if (!this.#context.policy.moves) return
    const runs = [...this.#running.values()].filter((run) => run.runsOn(endpointIds))
    runs.sort((a, b) => (b.progress?.tokens ?? 0) - (a.progress?.tokens ?? 0))
    for (const run of runs) void run.moveOffEndpoints(endpointIds)
  }

  /** Ends the run; what it has not delivered is left to the next owner, or to nobody. */
  stop (): void {
    this.#stopped = true
    for (const run of this.#running.values()) run.stop()
    for (const group of this.#groups) this.#context.plan.forgetGroup(this.#batch.order.entry, group)
  }

  async #runSample (sample: SampleOrder): Promise<void> {
    const hop = { name: 'batch.sample', kind: SpanKind.INTERNAL, traceparent: this.#batchTraceparent, attributes: { batch: this.key, sample: sample.sampleId } }
    const settled = await withSpan(hop, async (span) => {
      // The samples of a batch share the trace of its first one.
      if (this.#batchTraceparent === '') this.#batchTraceparent = getTraceparent(span)
      const run = new SampleRun(this.#context, this.#owner, this.#batch.order, sample, getTraceparent(span), this.#onCapacityFreed)
      this.#running.set(sample.sampleId, run)
      return await run.runToEnd()
    })
    this.#running.delete(sample.sampleId)
    if (!settled && !this.#stopped && !this.#owner.deposed) this.#scheduleRetry(sample)
    if (this.isFinished) this.stop()
    this.#onCapacityFreed()
  }

  /** One timer for all samples that failed. */
  #scheduleRetry (sample: SampleOrder): void {
    this.#context.counters.retried += 1
    this.#awaitingRetry.push(sample)
    if (this.#retryScheduled) return
    this.#retryScheduled = true
    void this.#context.clock.sleep(RETRY_DELAY_MS).then(() => {
      this.#retryScheduled = false
      this.#queue.unshift(...this.#awaitingRetry.splice(0))
      this.#onCapacityFreed()
    })
  }
}
