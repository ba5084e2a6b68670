import { batchKey } from '@cyclamenthread/state'
import { SpanKind, traced, traceparentOf } from '@cyclamenthread/transport'
import { SampleRun } from './sample-run.js'
import type { BatchState, SampleOrder } from '@cyclamenthread/state'
import type { BatchContext } from './batch-context.js'
import type { PartitionOwner } from './partition-owner.js'

/** Samples that ask for slots, as a multiple of the slots of the pool: enough to fill each slot as it gets free. */
const AHEAD = 1.5

/** Samples that ask for slots even when no slot of the pool is known. */
const MIN_AHEAD = 16

/** Pause before samples that could not be run are run again, in milliseconds. */
const RETRY_MS = 200

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
  readonly #onFree: () => void
  #failed: SampleOrder[] = []
  #retryTimer: NodeJS.Timeout | undefined
  #ended = false
  #traceparent = ''

  /** @param onFree called when the run can't use all that it might, or is over */
  constructor (context: BatchContext, partition: number, owner: PartitionOwner, batch: BatchState, onFree: () => void) {
    const { workspace, batchId, entry, samples } = batch.order
    this.partition = partition
    this.key = batchKey(workspace, batchId)
    this.pool = context.catalogue.current()?.entry(entry)?.pool ?? ''
    this.#context = context
    this.#owner = owner
    this.#batch = batch
    this.#onFree = onFree
    this.#groups = new Set(samples.map((sample) => sample.group))
    const open = samples.filter((sample) => !batch.settled.has(sample.sampleId))
    this.#queue = context.policy.longestFirst ? context.plan.order(entry, open) : open
  }

  /** Samples that run or ask for a slot. */
  get running (): number {
    return this.#running.size
  }

  /** Whether everything is settled or the run was ended. */
  get over (): boolean {
    return this.#ended || (this.#queue.length === 0 && this.#running.size === 0 && this.#failed.length === 0)
  }

  /** Starts the next sample, if the run may have one more. */
  startNext (): boolean {
    const limit = Math.max(MIN_AHEAD, AHEAD * this.#context.slots.totalSlots(this.pool))
    if (this.#ended || this.#running.size >= limit) return false
    const sample = this.#queue.shift()
    if (sample === undefined) return false
    void this.#run(sample)
    return true
  }

  /** At the tail, when no sample waits any more: runs late ones a second time where slots are free. */
  copyLate (now: number): void {
    if (!this.#context.policy.copies || this.#ended || this.#queue.length > 0 || this.#running.size === 0) return
    const free = this.#context.slots.freeSlots(this.pool)
    const running = [...this.#running.values()].flatMap((run) => run.progress ?? [])
    for (const late of this.#context.plan.copies(running, free, now)) this.#running.get(late.sampleId)?.copy()
  }

  /** Moves what runs on endpoints that vanish, in the order of what would be lost. */
  moveFrom (endpointIds: ReadonlySet<string>): void {
    const runs = [...this.#running.values()].filter((run) => run.runsOn(endpointIds))
    runs.sort((a, b) => (b.progress?.tokens ?? 0) - (a.progress?.tokens ?? 0))
    for (const run of runs) void run.moveFrom(endpointIds)
  }

  /** Ends the run; what it has not delivered is left to the next owner, or to nobody. */
  end (): void {
    this.#ended = true
    clearTimeout(this.#retryTimer)
    for (const run of this.#running.values()) run.end()
    for (const group of this.#groups) this.#context.plan.forget(this.#batch.order.entry, group)
  }

  async #run (sample: SampleOrder): Promise<void> {
    const hop = { name: 'batch.sample', kind: SpanKind.INTERNAL, traceparent: this.#traceparent, attributes: { batch: this.key, sample: sample.sampleId } }
    const settled = await traced(hop, async (span) => {
      // The samples of a batch share the trace of its first one.
      if (this.#traceparent === '') this.#traceparent = traceparentOf(span)
      const run = new SampleRun(this.#context, this.#owner, this.#batch.order, sample, traceparentOf(span))
      this.#running.set(sample.sampleId, run)
      return await run.settle()
    })
    this.#running.delete(sample.sampleId)
    if (!settled && !this.#ended && !this.#owner.deposed) this.#retryLater(sample)
    if (this.over) this.end()
    this.#onFree()
  }

  /** One timer for all samples that failed. */
  #retryLater (sample: SampleOrder): void {
    this.#context.counters.retried += 1
    this.#failed.push(sample)
    this.#retryTimer ??= setTimeout(() => {
      this.#retryTimer = undefined
      this.#queue.unshift(...this.#failed.splice(0))
      this.#onFree()
    }, RETRY_MS)
  }
}
