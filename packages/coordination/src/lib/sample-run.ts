import { setMaxListeners } from 'node:events'
import { Freshness, LedgerRecordKind, Ran, RefusalReason } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { SampleAttempt } from './sample-attempt.js'
import type { BatchOrder, Entry, LedgerRecord, Refusal, RunningSample, SampleOrder } from '@cyclamenthread/state'
import type { CommitAnswer, Completion, CompletionSeed } from '@cyclamenthread/protocol'
import type { BatchContext } from './batch-context.js'
import type { CompletionResult } from './completion-runner.js'
import type { PartitionOwner } from './partition-owner.js'

/** Timeout for one commit of a sample's result, in milliseconds. */
const DELIVERY_TIMEOUT_MS = 60_000

/** Timeout for exporting the KV cache of a stream that is moved, in milliseconds. */
const EXPORT_TIMEOUT_MS = 500

/** Checks whether a refusal would be the same if the sample were run again. */
function isFinal (refusal: Refusal): boolean {
  return refusal.reason === RefusalReason.Quarantined || (refusal.reason === RefusalReason.BadRequest && refusal.ran === Ran.No)
}

/**
 * Runs one sample until it is settled, has to be retried later, or is stopped.
 * Makes one attempt, and a second one if the first is late or its endpoint is
 * about to disappear.
 *
 * Invariants: all attempts stand for the same sample, so at most one of them is
 * committed, with its usage; tokens of the others count as wasted and are never
 * billed; no result that exceeds the staleness bound at the time of the write is
 * committed.
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
  /** Number of times that the sample has repeated its slot request. */
  requestCount = 0
  #attemptCount = 0
  #committing = false
  #isStartingCopy = false
  #isOver = false

  /** @param onSlotFreed called when the sample no longer needs a slot */
  constructor (context: BatchContext, owner: PartitionOwner, order: BatchOrder, sample: SampleOrder, traceparent: string, onSlotFreed: () => void) {
    this.#onSlotFreed = onSlotFreed
    this.#context = context
    this.#owner = owner
    this.#order = { batchId: order.batchId, workspace: order.workspace, entry: order.entry }
    this.#sample = sample
    this.#traceparent = traceparent
    this.#settled = new Promise((resolve) => {
      this.#resolveSettled = resolve
    })
  }

  /** Runs the sample; returns false if it has to be run again later. */
  async runToEnd (): Promise<boolean> {
    this.#startAttempt([], undefined)
    return await this.#settled
  }

  /** Whether the sample only waits for its commit and needs no slot. */
  get isCommitting (): boolean {
    return this.#committing
  }

  /** Monotonic time in milliseconds since when the sample has waited for its first slot; undefined if it doesn't wait. */
  get waitingSince (): number | undefined {
    const [startCopy] = this.#attempts
    return !this.#committing && this.#attempts.size === 1 && startCopy?.startedAt === undefined ? startCopy?.requestedAt : undefined
  }

  /** Repeats the slot request, since another cell may have a free slot. */
  reRequestSlot (): void {
    if (this.#isOver || this.waitingSince === undefined) return
    const [copy] = this.#attempts
    if (copy === undefined) return
    this.requestCount += 1
    copy.abandon()
    this.#attempts.delete(copy)
    this.#startAttempt([], copy.initialSeed)
  }

  /** Progress of the sample; undefined while it waits for a slot. */
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

  /** Checks whether an attempt runs on one of the given endpoints. */
  runsOn (endpointIds: ReadonlySet<string>): boolean {
    return [...this.#attempts].some((copy) => copy.endpoint !== undefined && endpointIds.has(copy.endpoint.id))
  }

  /** Starts a second attempt on another endpoint, which continues from the text of the first. */
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

  /** Replaces attempts on the given endpoints by attempts elsewhere that continue from their text. */
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

  /** Stops all attempts without a result. */
  stop (): void {
    this.#finish(false)
  }

  #canCopy (): boolean {
    return !this.#isOver && !this.#committing && this.#attempts.size === 1
  }

  #usedEndpoints (): string[] {
    return [...this.#attempts].flatMap((copy) => copy.endpoint?.id ?? [])
  }

  /** Exports the stream of an attempt; undefined if the weight version of a part of it is unknown. */
  async #exportSeed (copy: SampleAttempt): Promise<CompletionSeed | undefined> {
    if (copy.endpoint === undefined) return undefined
    const exported = await this.#context.endpoints.exportKv(copy.endpoint, copy.requestId, deadlineAfter(EXPORT_TIMEOUT_MS))
    return exported === undefined ? copy.seed() : copy.seed(exported)
  }

  #startAttempt (excluded: readonly string[], seed: CompletionSeed | undefined): void {
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

  /** Checked for each version that a stream reports, so that an undeliverable stream is aborted early. */
  #isStaleVersion (entry: Entry, version: number): boolean {
    return this.#checkFreshness(entry, [{ version, tokens: 0 }]) === Freshness.Stale
  }

  #checkFreshness (entry: Entry, versions: Completion['versions']): Freshness {
    const { staleness, catalogue } = this.#context
    staleness.see(entry.name, catalogue.current()?.releasedVersion(entry.pool) ?? 0)
    return staleness.judge(entry.name, versions, entry.stalenessBound)
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
    const isFresh = record.kind !== LedgerRecordKind.Delivery || entry.stalenessBound === undefined
      ? undefined
      : () => this.#checkFreshness(entry, record.sample.versions) === Freshness.Fresh
    const answer = await this.#commit(record, isFresh)
    this.#committing = false
    if (answer.status === CommitStatus.Committed) this.#countCommit(copy, record)
    const isSettled = answer.status === CommitStatus.Committed || answer.status === CommitStatus.Rejected
    if (isSettled) this.#finish(true, copy)
    else this.#discardAttempt(copy)
  }

  /**
   * Commits a result. While the store is down, the commit is retried instead of
   * running the sample again. The result is not journaled: by the time a journal
   * is committed it may exceed its staleness bound, and undelivered samples are
   * not billed, so a lost result only costs another run.
   */
  async #commit (record: LedgerRecord, isFresh?: () => boolean): Promise<CommitAnswer> {
    const backoff = new Backoff(Math.random)
    for (;;) {
      const answer = await this.#owner.commit([record], deadlineAfter(DELIVERY_TIMEOUT_MS), isFresh)
      const isUnsettled = answer.status === CommitStatus.Unavailable || answer.status === CommitStatus.Unknown
      if (!isUnsettled || this.#isOver || this.#owner.deposed || isFresh?.() === false) return answer
      await this.#context.clock.sleep(backoff.next())
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
      this.#context.plan.learn(this.#order.entry, this.#sample.group, record.usage.answerTokens, monotonicNow() - copy.startedAt)
    }
  }

  #firstAttempt (): SampleAttempt | undefined {
    return this.#attempts.values().next().value
  }

  /** Discards an attempt without a usable result; after the last one, the sample has to be run again. */
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
      // Tokens from which the winner continued are not wasted.
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
