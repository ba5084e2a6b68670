import { setMaxListeners } from 'node:events'
import { Freshness, LedgerRecordKind, Ran, RefusalReason } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { SampleAttempt } from './sample-attempt.js'
import type { BatchOrder, Entry, LedgerRecord, Refusal, RunningSample, SampleOrder } from '@cyclamenthread/state'
import type { CommitResponse, Completion, PartialCompletion } from '@cyclamenthread/protocol'
import type { BatchContext } from './batch-context.js'
import type { CompletionResult } from './completion-runner.js'
import type { PartitionOwner } from './partition-owner.js'

/** How long the delivery of a sample is tried before it is run again, in milliseconds. */
const DELIVERY_TIMEOUT_MS = 60_000

/** Longest wait for the KV cache of a stream that is moved, in milliseconds. */
const EXPORT_TIMEOUT_MS = 500

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
  readonly #onSlotFreed: () => void
  readonly #attempts = new Set<SampleAttempt>()
  readonly #settled: Promise<boolean>
  #resolveSettled: (settled: boolean) => void = () => {}
  /** How often the sample has asked anew. */
  requestCount = 0
  #attemptCount = 0
  #committing = false
  #isStartingCopy = false
  #isOver = false

  /** @param onFree called when the sample needs no slot any more */
  constructor (context: BatchContext, owner: PartitionOwner, order: BatchOrder, sample: SampleOrder, traceparent: string, onFree: () => void) {
    this.#onSlotFreed = onFree
    this.#context = context
    this.#owner = owner
    this.#order = { batchId: order.batchId, workspace: order.workspace, entry: order.entry }
    this.#sample = sample
    this.#traceparent = traceparent
    this.#settled = new Promise((resolve) => {
      this.#resolveSettled = resolve
    })
  }

  /** Runs the sample; false when it has to be run again later. */
  async runToEnd (): Promise<boolean> {
    this.#startAttempt([], undefined)
    return await this.#settled
  }

  /** Whether the sample is done but for its commit, and needs no slot. */
  get isCommitting (): boolean {
    return this.#committing
  }

  /** Monotonic milliseconds since when the sample waits for its first slot; undefined when it does not. */
  get waitingSince (): number | undefined {
    const [startCopy] = this.#attempts
    return !this.#committing && this.#attempts.size === 1 && startCopy?.startedAt === undefined ? startCopy?.requestedAt : undefined
  }

  /** Asks anew for a slot, as one may be free in another cell than the one it waits in. */
  reRequestSlot (): void {
    if (this.#isOver || this.waitingSince === undefined) return
    const [copy] = this.#attempts
    if (copy === undefined) return
    this.requestCount += 1
    copy.abandon()
    this.#attempts.delete(copy)
    this.#startAttempt([], copy.initialSeed)
  }

  /** How far the sample is; undefined while it waits for a slot. */
  get progress (): RunningSample | undefined {
    const started = [...this.#attempts].filter((copy) => copy.startedAt !== undefined)
    if (started.length === 0) return undefined
    return {
      sampleId: this.#sample.sampleId,
      entry: this.#order.entry,
      expectedTokens: this.#context.plan.expectedTokens(this.#order.entry, this.#sample),
      startedAt: Math.min(...started.map((copy) => copy.startedAt ?? Infinity)),
      tokens: Math.max(...started.map((copy) => copy.tokens)),
      copies: this.#attempts.size
    }
  }

  /** Whether a copy runs on one of these endpoints. */
  runsOn (endpointIds: ReadonlySet<string>): boolean {
    return [...this.#attempts].some((copy) => copy.endpoint !== undefined && endpointIds.has(copy.endpoint.id))
  }

  /** Runs a second copy on another endpoint, which goes on from what the first has produced. */
  async copy (): Promise<void> {
    const [first] = this.#attempts
    if (first === undefined || this.#isStartingCopy || !this.#canCopy()) return
    this.#isStartingCopy = true
    const seed = await this.#exportSeed(first)
    this.#isStartingCopy = false
    if (!this.#canCopy()) return
    this.#context.counters.copies += 1
    this.#startAttempt(this.#usedEndpoints(), seed)
  }

  /** Goes on elsewhere with what runs on endpoints that vanish. */
  async moveOffEndpoints (endpointIds: ReadonlySet<string>): Promise<void> {
    for (const copy of [...this.#attempts]) {
      if (copy.endpoint === undefined || !endpointIds.has(copy.endpoint.id) || copy.abandoned) continue
      const seed = await this.#exportSeed(copy)
      if (this.#isOver || this.#committing || !this.#attempts.has(copy)) return
      this.#context.counters.moved += 1
      this.#context.counters.wastedTokens += Math.max(0, copy.tokens - (seed?.resumption.tokens ?? 0))
      const excluded = this.#usedEndpoints()
      copy.abandon()
      this.#attempts.delete(copy)
      this.#startAttempt(excluded, seed)
    }
  }

  /** Ends all copies without a result. */
  stop (): void {
    this.#finish(false)
  }

  #canCopy (): boolean {
    return !this.#isOver && !this.#committing && this.#attempts.size === 1
  }

  #usedEndpoints (): string[] {
    return [...this.#attempts].flatMap((copy) => copy.endpoint?.id ?? [])
  }

  /** What the endpoint gives of its stream, if the versions of all of it are known here. */
  async #exportSeed (copy: SampleAttempt): Promise<PartialCompletion | undefined> {
    if (copy.endpoint === undefined) return undefined
    const exported = await this.#context.endpoints.exportKv(copy.endpoint, copy.requestId, deadlineAfter(EXPORT_TIMEOUT_MS))
    return exported === undefined ? copy.seed() : copy.seed(exported)
  }

  #startAttempt (excluded: readonly string[], seed: PartialCompletion | undefined): void {
    const view = this.#context.catalogue.current()
    const entry = view?.entry(this.#order.entry)
    const workspace = view?.workspace(this.#order.workspace)
    if (entry === undefined || workspace === undefined) {
      if (this.#attempts.size === 0) this.#finish(false)
      return
    }
    const requestId = `${this.#order.batchId}/${this.#sample.sampleId}/${this.#attemptCount}`
    this.#attemptCount += 1
    const copy = new SampleAttempt(requestId, seed, (version) => this.#isStaleVersion(entry, version))
    setMaxListeners(0, copy.signal)
    this.#attempts.add(copy)
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
    void run.then(async (result) => await this.#handleResult(copy, entry, result))
  }

  /** Checked with the first part an endpoint names, so that a stream that can't be delivered does not run to its end. */
  #isStaleVersion (entry: Entry, version: number): boolean {
    return this.#checkFreshness(entry, [{ version, tokens: 0 }]) === Freshness.Stale
  }

  #checkFreshness (entry: Entry, versions: Completion['versions']): Freshness {
    const { staleness, catalogue } = this.#context
    staleness.recordVersion(entry.name, catalogue.current()?.releasedVersion(entry.pool) ?? 0)
    return staleness.classify(entry.name, versions, entry.stalenessBound)
  }

  async #handleResult (copy: SampleAttempt, entry: Entry, result: CompletionResult): Promise<void> {
    if (this.#isOver || copy.abandoned) return
    const record = result.ok ? this.#deliveryRecord(copy, entry, result.completion) : this.#failureRecord(copy, result.refusal)
    if (record === undefined || this.#committing) {
      this.#discardAttempt(copy)
      return
    }
    this.#committing = true
    this.#onSlotFreed()
    const fresh = record.kind !== LedgerRecordKind.Delivery || entry.stalenessBound === undefined
      ? undefined
      : () => this.#checkFreshness(entry, record.sample.versions) === Freshness.Fresh
    const answer = await this.#commit(record, fresh)
    this.#committing = false
    if (answer.status === CommitStatus.Committed) this.#countCommit(copy, record)
    const done = answer.status === CommitStatus.Committed || answer.status === CommitStatus.Rejected
    if (done) this.#finish(true, copy)
    else this.#discardAttempt(copy)
  }

  /**
   * Commits what was run. While the store is down it is kept and tried again
   * rather than run again. It is not journaled: by the time a journal is
   * committed the sample may be older than its bound, and what is not
   * delivered is not billed, so that a lost one costs only another run.
   */
  async #commit (record: LedgerRecord, fresh?: () => boolean): Promise<CommitResponse> {
    const backoff = new Backoff(Math.random)
    for (;;) {
      const answer = await this.#owner.commit([record], deadlineAfter(DELIVERY_TIMEOUT_MS), fresh)
      const unsettled = answer.status === CommitStatus.Unavailable || answer.status === CommitStatus.Unknown
      if (!unsettled || this.#isOver || this.#owner.deposed || fresh?.() === false) return answer
      await this.#context.clock.sleep(backoff.nextDelayMs())
    }
  }

  #countCommit (copy: SampleAttempt, record: LedgerRecord): void {
    const { counters } = this.#context
    if (record.kind !== LedgerRecordKind.Delivery) {
      counters.failed += 1
      return
    }
    counters.delivered += 1
    if (copy !== this.#firstAttempt()) counters.copiesWon += 1
    if (copy.startedAt !== undefined && copy.resumedTokens === 0) {
      this.#context.plan.recordSample(this.#order.entry, this.#sample.group, record.usage.answerTokens, monotonicNow() - copy.startedAt)
    }
  }

  #firstAttempt (): SampleAttempt | undefined {
    return this.#attempts.values().next().value
  }

  /** Gives up a copy whose result is of no use; with the last one the sample has failed for now. */
  #discardAttempt (copy: SampleAttempt): void {
    if (!this.#attempts.delete(copy)) return
    this.#context.counters.wastedTokens += copy.tokens - copy.resumedTokens
    if (this.#attempts.size === 0) this.#finish(false)
  }

  #finish (settled: boolean, winner?: SampleAttempt): void {
    if (this.#isOver) return
    this.#isOver = true
    for (const copy of this.#attempts) {
      if (copy === winner) continue
      // What the winner went on from was not for nothing.
      this.#context.counters.wastedTokens += Math.max(0, copy.tokens - Math.max(copy.resumedTokens, winner?.resumedTokens ?? 0))
      copy.abandon()
    }
    this.#resolveSettled(settled)
  }

  #failureRecord (copy: SampleAttempt, refusal: Refusal): LedgerRecord | undefined {
    if (copy.isStale) this.#context.counters.discardedStale += 1
    if (!isFinal(refusal)) return undefined
    const { workspace, batchId } = this.#order
    return { kind: LedgerRecordKind.SampleFailure, workspace, batchId, sampleId: this.#sample.sampleId, refusal }
  }

  #deliveryRecord (copy: SampleAttempt, entry: Entry, completion: Completion): LedgerRecord | undefined {
    const { versions, text, finishReason, promptTokens, answerTokens } = completion
    const freshness = this.#checkFreshness(entry, versions)
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
