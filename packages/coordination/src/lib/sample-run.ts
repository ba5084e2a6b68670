import { setMaxListeners } from 'node:events'
import { Freshness, LedgerRecordKind, Ran, RefusalReason } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { SampleCopy } from './sample-copy.js'
import type { BatchOrder, Entry, LedgerRecord, Refusal, RunningSample, SampleOrder } from '@cyclamenthread/state'
import type { CommitAnswer, Completion, CompletionSeed } from '@cyclamenthread/protocol'
import type { BatchContext } from './batch-context.js'
import type { CompletionResult } from './completion-runner.js'
import type { PartitionOwner } from './partition-owner.js'

/** How long the delivery of a sample is tried before it is run again, in milliseconds. */
const DELIVERY_MS = 60_000

/** Longest wait for the KV cache of a stream that is moved, in milliseconds. */
const EXPORT_MS = 500

/** A refusal of which running the sample again would change nothing. */
function isFinal (refusal: Refusal): boolean {
  return refusal.reason === RefusalReason.Quarantined || (refusal.reason === RefusalReason.BadRequest && refusal.ran === Ran.No)
}

/**
 * Runs one sample until it is settled, has failed for now, or is ended: one
 * copy, and a second one when the first is late or its endpoint vanishes.
 *
 * Invariants: copies are the same request, so at most one of them is ever
 * committed, with its usage; what the others produced counts as waste and is
 * never billed; nothing is committed that is older than the staleness bound
 * when the commit is written.
 */
export class SampleRun {
  readonly #context: BatchContext
  readonly #owner: PartitionOwner
  readonly #order: Pick<BatchOrder, 'batchId' | 'workspace' | 'entry'>
  readonly #sample: SampleOrder
  readonly #traceparent: string
  readonly #onFree: () => void
  readonly #copies = new Set<SampleCopy>()
  readonly #settled: Promise<boolean>
  #finish: (settled: boolean) => void = () => {}
  /** How often the sample has asked anew. */
  asks = 0
  #attempts = 0
  #committing = false
  #copying = false
  #over = false

  /** @param onFree called when the sample needs no slot any more */
  constructor (context: BatchContext, owner: PartitionOwner, order: BatchOrder, sample: SampleOrder, traceparent: string, onFree: () => void) {
    this.#onFree = onFree
    this.#context = context
    this.#owner = owner
    this.#order = { batchId: order.batchId, workspace: order.workspace, entry: order.entry }
    this.#sample = sample
    this.#traceparent = traceparent
    this.#settled = new Promise((resolve) => {
      this.#finish = resolve
    })
  }

  /** Runs the sample; false when it has to be run again later. */
  async settle (): Promise<boolean> {
    this.#start([], undefined)
    return await this.#settled
  }

  /** Whether the sample is done but for its commit, and needs no slot. */
  get committing (): boolean {
    return this.#committing
  }

  /** Monotonic milliseconds since when the sample waits for its first slot; undefined when it does not. */
  get waitingSince (): number | undefined {
    const [copy] = this.#copies
    return !this.#committing && this.#copies.size === 1 && copy?.startedAt === undefined ? copy?.askedAt : undefined
  }

  /** Asks anew for a slot, as one may be free in another cell than the one it waits in. */
  askAgain (): void {
    if (this.#over || this.waitingSince === undefined) return
    const [copy] = this.#copies
    if (copy === undefined) return
    this.asks += 1
    copy.abandon()
    this.#copies.delete(copy)
    this.#start([], copy.given)
  }

  /** How far the sample is; undefined while it waits for a slot. */
  get progress (): RunningSample | undefined {
    const started = [...this.#copies].filter((copy) => copy.startedAt !== undefined)
    if (started.length === 0) return undefined
    return {
      sampleId: this.#sample.sampleId,
      entry: this.#order.entry,
      expectedTokens: this.#context.plan.expectedTokens(this.#order.entry, this.#sample),
      startedAt: Math.min(...started.map((copy) => copy.startedAt ?? Infinity)),
      tokens: Math.max(...started.map((copy) => copy.tokens)),
      copies: this.#copies.size
    }
  }

  /** Whether a copy runs on one of these endpoints. */
  runsOn (endpointIds: ReadonlySet<string>): boolean {
    return [...this.#copies].some((copy) => copy.endpoint !== undefined && endpointIds.has(copy.endpoint.id))
  }

  /** Runs a second copy on another endpoint, which goes on from what the first has produced. */
  async copy (): Promise<void> {
    const [first] = this.#copies
    if (first === undefined || this.#copying || !this.#mayCopy()) return
    this.#copying = true
    const seed = await this.#exportSeed(first)
    this.#copying = false
    if (!this.#mayCopy()) return
    this.#context.counters.copies += 1
    this.#start(this.#usedEndpoints(), seed)
  }

  /** Goes on elsewhere with what runs on endpoints that vanish. */
  async moveFrom (endpointIds: ReadonlySet<string>): Promise<void> {
    for (const copy of [...this.#copies]) {
      if (copy.endpoint === undefined || !endpointIds.has(copy.endpoint.id) || copy.abandoned) continue
      const seed = await this.#exportSeed(copy)
      if (this.#over || this.#committing || !this.#copies.has(copy)) return
      this.#context.counters.moved += 1
      this.#context.counters.wastedTokens += Math.max(0, copy.tokens - (seed?.resumption.tokens ?? 0))
      const excluded = this.#usedEndpoints()
      copy.abandon()
      this.#copies.delete(copy)
      this.#start(excluded, seed)
    }
  }

  /** Ends all copies without a result. */
  end (): void {
    this.#close(false)
  }

  #mayCopy (): boolean {
    return !this.#over && !this.#committing && this.#copies.size === 1
  }

  #usedEndpoints (): string[] {
    return [...this.#copies].flatMap((copy) => copy.endpoint?.id ?? [])
  }

  /** What the endpoint gives of its stream, if the versions of all of it are known here. */
  async #exportSeed (copy: SampleCopy): Promise<CompletionSeed | undefined> {
    if (copy.endpoint === undefined) return undefined
    const exported = await this.#context.endpoints.exportKv(copy.endpoint, copy.requestId, deadlineAfter(EXPORT_MS))
    return exported === undefined ? copy.seed() : copy.seed(exported)
  }

  #start (excluded: readonly string[], seed: CompletionSeed | undefined): void {
    const view = this.#context.catalogue.current()
    const entry = view?.entry(this.#order.entry)
    const workspace = view?.workspace(this.#order.workspace)
    if (entry === undefined || workspace === undefined) {
      if (this.#copies.size === 0) this.#close(false)
      return
    }
    const requestId = `${this.#order.batchId}/${this.#sample.sampleId}/${this.#attempts}`
    this.#attempts += 1
    const copy = new SampleCopy(requestId, seed, (version) => this.#isTooOld(entry, version))
    setMaxListeners(0, copy.signal)
    this.#copies.add(copy)
    const run = this.#context.runner.run({
      requestId,
      workspace,
      entry,
      prompt: this.#sample.prompt,
      maxTokens: this.#sample.maxTokens,
      expectedTokens: this.#context.plan.expectedTokens(this.#order.entry, this.#sample),
      deadline: deadlineAfter(entry.timeoutMs),
      traceparent: this.#traceparent,
      signal: copy.signal,
      excluded,
      observer: copy,
      ...(seed === undefined ? {} : { resume: seed })
    })
    void run.then(async (result) => await this.#end(copy, entry, result))
  }

  /** Checked with the first part an endpoint names, so that a stream that can't be delivered does not run to its end. */
  #isTooOld (entry: Entry, version: number): boolean {
    return this.#judge(entry, [{ version, tokens: 0 }]) === Freshness.Stale
  }

  #judge (entry: Entry, versions: Completion['versions']): Freshness {
    const { staleness, catalogue } = this.#context
    staleness.recordVersion(entry.name, catalogue.current()?.releasedVersion(entry.pool) ?? 0)
    return staleness.classify(entry.name, versions, entry.stalenessBound)
  }

  async #end (copy: SampleCopy, entry: Entry, result: CompletionResult): Promise<void> {
    if (this.#over || copy.abandoned) return
    const record = result.ok ? this.#delivery(copy, entry, result.completion) : this.#failure(copy, result.refusal)
    if (record === undefined || this.#committing) {
      this.#drop(copy)
      return
    }
    this.#committing = true
    this.#onFree()
    const fresh = record.kind !== LedgerRecordKind.Delivery || entry.stalenessBound === undefined
      ? undefined
      : () => this.#judge(entry, record.sample.versions) === Freshness.Fresh
    const answer = await this.#commit(record, fresh)
    this.#committing = false
    if (answer.status === CommitStatus.Committed) this.#count(copy, record)
    const done = answer.status === CommitStatus.Committed || answer.status === CommitStatus.Rejected
    if (done) this.#close(true, copy)
    else this.#drop(copy)
  }

  /**
   * Commits what was run. While the store is down it is kept and tried again
   * rather than run again. It is not journaled: by the time a journal is
   * committed the sample may be older than its bound, and what is not
   * delivered is not billed, so that a lost one costs only another run.
   */
  async #commit (record: LedgerRecord, fresh?: () => boolean): Promise<CommitAnswer> {
    const backoff = new Backoff(Math.random)
    for (;;) {
      const answer = await this.#owner.commit([record], deadlineAfter(DELIVERY_MS), fresh)
      const unsettled = answer.status === CommitStatus.Unavailable || answer.status === CommitStatus.Unknown
      if (!unsettled || this.#over || this.#owner.deposed || fresh?.() === false) return answer
      await this.#context.clock.sleep(backoff.next())
    }
  }

  #count (copy: SampleCopy, record: LedgerRecord): void {
    const { counters } = this.#context
    if (record.kind !== LedgerRecordKind.Delivery) {
      counters.failed += 1
      return
    }
    counters.delivered += 1
    if (copy !== this.#firstCopy()) counters.copiesWon += 1
    if (copy.startedAt !== undefined && copy.resumed === 0) {
      this.#context.plan.recordSample(this.#order.entry, this.#sample.group, record.usage.answerTokens, monotonicNow() - copy.startedAt)
    }
  }

  #firstCopy (): SampleCopy | undefined {
    return this.#copies.values().next().value
  }

  /** Gives up a copy whose result is of no use; with the last one the sample has failed for now. */
  #drop (copy: SampleCopy): void {
    if (!this.#copies.delete(copy)) return
    this.#context.counters.wastedTokens += copy.tokens - copy.resumed
    if (this.#copies.size === 0) this.#close(false)
  }

  #close (settled: boolean, winner?: SampleCopy): void {
    if (this.#over) return
    this.#over = true
    for (const copy of this.#copies) {
      if (copy === winner) continue
      // What the winner went on from was not for nothing.
      this.#context.counters.wastedTokens += Math.max(0, copy.tokens - Math.max(copy.resumed, winner?.resumed ?? 0))
      copy.abandon()
    }
    this.#finish(settled)
  }

  #failure (copy: SampleCopy, refusal: Refusal): LedgerRecord | undefined {
    if (copy.tooOld) this.#context.counters.discardedStale += 1
    if (!isFinal(refusal)) return undefined
    const { workspace, batchId } = this.#order
    return { kind: LedgerRecordKind.SampleFailure, workspace, batchId, sampleId: this.#sample.sampleId, refusal }
  }

  #delivery (copy: SampleCopy, entry: Entry, completion: Completion): LedgerRecord | undefined {
    const { versions, text, finishReason, promptTokens, answerTokens } = completion
    const freshness = this.#judge(entry, versions)
    if (freshness === Freshness.Unnamed) this.#context.counters.discardedUnnamed += 1
    if (freshness === Freshness.Stale) this.#context.counters.discardedStale += 1
    if (freshness !== Freshness.Fresh || versions === undefined) return undefined
    const { workspace, batchId } = this.#order
    const { sampleId, group } = this.#sample
    return {
      kind: LedgerRecordKind.Delivery,
      workspace,
      batchId,
      sample: { sampleId, group, text, versions, finishReason },
      usage: { requestId: copy.requestId, workspace, entry: entry.name, promptTokens, answerTokens, calls: 0 }
    }
  }
}
