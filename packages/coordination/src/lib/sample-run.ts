import { setMaxListeners } from 'node:events'
import { Freshness, LedgerRecordKind, Ran, RefusalReason, RequestOrigin } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { SampleAttempt } from './sample-attempt.js'
import type { BatchOrder, Entry, LedgerRecord, Refusal, RunningSample, SampleOrder } from '@cyclamenthread/state'
import type { CommitResponse, Completion, PartialCompletion } from '@cyclamenthread/protocol'
import type { BatchContext } from './batch-context.js'
import type { CompletionResult } from './completion-runner.js'
import type { PartitionOwner } from './partition-owner.js'

/** Timeout for one commit of a sample's result, in milliseconds. */
const DELIVERY_TIMEOUT_MS = 60_000

/** Timeout for exporting the KV cache of a stream that is moved, in milliseconds. */
const EXPORT_TIMEOUT_MS = 500

/**
 * Checks whether a refusal would be the same if the sample were run again. Endpoints
 * that were lost while they ran it prove nothing: in a burst of crashes this happens
 * to sound samples.
 */
function isFinal (refusal: Refusal): boolean {
  return refusal.reason === RefusalReason.BadRequest && refusal.ran === Ran.No
}

/** How the run of a sample ended. */
export enum SampleEndKind {
  /** Its result is committed. */
  Settled = 'settled',
  /** It has to be run again. */
  Unsettled = 'unsettled'
}

/** The end of the run of a sample. */
export type SampleEnd =
  | { readonly kind: SampleEndKind.Settled }
  | {
    readonly kind: SampleEndKind.Unsettled
    /** Monotonic milliseconds before which it isn't run again. */
    readonly retryAt: number
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
  readonly #end: Promise<SampleEnd>
  #resolveEnd: (end: SampleEnd) => void = () => {}
  /** Number of times that the sample has repeated its slot request. */
  requestCount = 0
  #attemptCount = 0
  /** Monotonic milliseconds before which the sample isn't run again if it isn't settled. */
  #retryAt = -Infinity
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
    this.#end = new Promise((resolve) => {
      this.#resolveEnd = resolve
    })
  }

  /** Runs the sample until it is settled or has to be run again later. */
  async runToEnd (): Promise<SampleEnd> {
    this.#startAttempt([], undefined)
    return await this.#end
  }

  /** Whether the sample only waits for its commit and needs no slot. */
  get isCommitting (): boolean {
    return this.#committing
  }

  /** Monotonic time in milliseconds since when the sample has waited for its first slot; undefined if it doesn't wait. */
  get waitingSince (): number | undefined {
    const [attempt] = this.#attempts
    return !this.#committing && this.#attempts.size === 1 && attempt?.startedAt === undefined ? attempt?.requestedAt : undefined
  }

  /** Repeats the slot request, since another cell may have a free slot. */
  reRequestSlot (): void {
    if (this.#isOver || this.waitingSince === undefined) return
    const [attempt] = this.#attempts
    if (attempt === undefined) return
    this.requestCount += 1
    attempt.abandon()
    this.#attempts.delete(attempt)
    this.#startAttempt([], attempt.initialSeed)
  }

  /** Progress of the sample; undefined while it waits for a slot. */
  get progress (): RunningSample | undefined {
    const started = [...this.#attempts].filter((attempt) => attempt.startedAt !== undefined)
    if (started.length === 0) return undefined
    return {
      sampleId: this.#sample.sampleId,
      entry: this.#order.entry,
      expectedTokens: this.#context.plan.expectedTokens(this.#order.entry, this.#sample),
      startedAt: Math.min(...started.map((attempt) => attempt.startedAt ?? Infinity)),
      tokens: Math.max(...started.map((attempt) => attempt.tokens)),
      copies: this.#attempts.size
    }
  }

  /** Checks whether an attempt runs on one of the given endpoints. */
  runsOn (endpointIds: ReadonlySet<string>): boolean {
    return [...this.#attempts].some((attempt) => attempt.endpoint !== undefined && endpointIds.has(attempt.endpoint.id))
  }

  /** Starts a second attempt on another endpoint, which continues from the text of the first. */
  async startCopy (): Promise<void> {
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
    for (const attempt of [...this.#attempts]) {
      if (attempt.endpoint === undefined || !endpointIds.has(attempt.endpoint.id) || attempt.abandoned) continue
      const seed = await this.#exportSeed(attempt)
      if (this.#isOver || this.#committing || !this.#attempts.has(attempt)) return
      this.#context.counters.moved += 1
      this.#context.counters.wastedTokens += Math.max(0, attempt.tokens - (seed?.resumption.tokens ?? 0))
      const excluded = this.#usedEndpoints()
      attempt.abandon()
      this.#attempts.delete(attempt)
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
    return [...this.#attempts].flatMap((attempt) => attempt.endpoint?.id ?? [])
  }

  /** Exports the stream of an attempt; undefined if the weight version of a part of it is unknown. */
  async #exportSeed (attempt: SampleAttempt): Promise<PartialCompletion | undefined> {
    if (attempt.endpoint === undefined) return undefined
    const exported = await this.#context.endpoints.exportKv(attempt.endpoint, attempt.requestId, deadlineAfter(EXPORT_TIMEOUT_MS))
    return exported === undefined ? attempt.createSeed() : attempt.createSeed(exported)
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
    const attempt = new SampleAttempt(requestId, seed, (version) => this.#isStaleVersion(entry, version))
    setMaxListeners(0, attempt.signal)
    this.#attempts.add(attempt)
    const run = this.#context.runner.run({
      requestId,
      origin: RequestOrigin.Batch,
      workspace,
      entry,
      prompt: this.#sample.prompt,
      maxTokens: this.#sample.maxTokens,
      expectedTokens: this.#context.plan.expectedTokens(this.#order.entry, this.#sample),
      deadline: deadlineAfter(entry.timeoutMs),
      traceparent: this.#traceparent,
      signal: attempt.signal,
      excluded,
      observer: attempt,
      ...(seed === undefined ? {} : { resume: seed })
    })
    void run.then(async (result) => await this.#handleResult(attempt, entry, result))
  }

  /** Checked for each version that a stream reports, so that an undeliverable stream is aborted early. */
  #isStaleVersion (entry: Entry, version: number): boolean {
    return this.#checkFreshness(entry, [{ version, tokens: 0 }]) === Freshness.Stale
  }

  #checkFreshness (entry: Entry, versions: Completion['versions']): Freshness {
    const { staleness, catalogue } = this.#context
    staleness.recordVersion(entry.name, catalogue.current()?.releasedVersion(entry.pool) ?? 0)
    return staleness.classify(entry.name, versions, entry.stalenessBound)
  }

  async #handleResult (attempt: SampleAttempt, entry: Entry, result: CompletionResult): Promise<void> {
    if (this.#isOver || attempt.abandoned) return
    const record = result.ok ? this.#deliveryRecord(attempt, entry, result.completion) : this.#failureRecord(attempt, result.refusal)
    if (record === undefined || this.#committing) {
      this.#discardAttempt(attempt)
      return
    }
    this.#committing = true
    this.#onSlotFreed()
    const isFresh = record.kind !== LedgerRecordKind.Delivery || entry.stalenessBound === undefined
      ? undefined
      : () => this.#checkFreshness(entry, record.sample.versions) === Freshness.Fresh
    const answer = await this.#commit(record, isFresh)
    this.#committing = false
    if (answer.status === CommitStatus.Committed) this.#countCommit(attempt, record)
    const isSettled = answer.status === CommitStatus.Committed || answer.status === CommitStatus.Rejected
    if (isSettled) this.#finish(true, attempt)
    else this.#discardAttempt(attempt)
  }

  /**
   * Commits a result. While the store is down, the commit is retried instead of
   * running the sample again. The result is not journaled: by the time a journal
   * is committed it may exceed its staleness bound, and undelivered samples are
   * not billed, so a lost result only costs another run.
   */
  async #commit (record: LedgerRecord, isFresh?: () => boolean): Promise<CommitResponse> {
    const backoff = new Backoff(Math.random)
    for (;;) {
      const answer = await this.#owner.commit([record], deadlineAfter(DELIVERY_TIMEOUT_MS), isFresh)
      const isUnsettled = answer.status === CommitStatus.Unavailable || answer.status === CommitStatus.Unknown
      if (!isUnsettled || this.#isOver || this.#owner.deposed || isFresh?.() === false) return answer
      await this.#context.clock.sleep(backoff.nextDelayMs())
    }
  }

  #countCommit (attempt: SampleAttempt, record: LedgerRecord): void {
    const { counters } = this.#context
    if (record.kind !== LedgerRecordKind.Delivery) {
      counters.failed += 1
      return
    }
    counters.delivered += 1
    if (attempt !== this.#firstAttempt()) counters.copiesWon += 1
    if (attempt.startedAt !== undefined && attempt.resumedTokens === 0) {
      this.#context.plan.recordSample(this.#order.entry, this.#sample.group, record.usage.answerTokens, monotonicNow() - attempt.startedAt)
    }
  }

  #firstAttempt (): SampleAttempt | undefined {
    return this.#attempts.values().next().value
  }

  /** Discards an attempt without a usable result; after the last one, the sample has to be run again. */
  #discardAttempt (attempt: SampleAttempt): void {
    if (!this.#attempts.delete(attempt)) return
    this.#context.counters.wastedTokens += attempt.tokens - attempt.resumedTokens
    if (this.#attempts.size === 0) this.#finish(false)
  }

  #finish (settled: boolean, winner?: SampleAttempt): void {
    if (this.#isOver) return
    this.#isOver = true
    for (const attempt of this.#attempts) {
      if (attempt === winner) continue
      // Tokens from which the winner continued are not wasted.
      this.#context.counters.wastedTokens += Math.max(0, attempt.tokens - Math.max(attempt.resumedTokens, winner?.resumedTokens ?? 0))
      attempt.abandon()
    }
    this.#resolveEnd(settled ? { kind: SampleEndKind.Settled } : { kind: SampleEndKind.Unsettled, retryAt: this.#retryAt })
  }

  #failureRecord (attempt: SampleAttempt, refusal: Refusal): LedgerRecord | undefined {
    if (attempt.isStale) this.#context.counters.discardedStale += 1
    if (refusal.reason === RefusalReason.Quarantined) this.#retryAt = Math.max(this.#retryAt, this.#context.clock.now() + (refusal.retryAfterMs ?? 0))
    if (!isFinal(refusal)) return undefined
    const { workspace, batchId } = this.#order
    return { kind: LedgerRecordKind.SampleFailure, workspace, batchId, sampleId: this.#sample.sampleId, refusal }
  }

  #deliveryRecord (attempt: SampleAttempt, entry: Entry, completion: Completion): LedgerRecord | undefined {
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
      usage: { requestId: attempt.requestId, workspace, entry: entry.name, promptTokens, answerTokens, calls: 0 }
    }
  }
}
