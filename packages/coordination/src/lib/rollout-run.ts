import { createWorkPermit, decideWorkPermission, homesOfRollout, hostOfWriter, isHome, ownerOf, SampleBoard, SampleEventKind, SamplePhase, WorkPermission } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, suspendAwareNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { AppendStatus } from './rollout-store.js'
import { ResultLister } from './result-lister.js'
import { RewardCaller } from './reward-caller.js'
import { SampleGenerator } from './sample-generator.js'
import { untilDeadline } from './shared-work.js'
import type { RolloutOrder, RolloutProgress, WorkPermissionEvidence } from '@cyclamenthread/state'
import type { AdoptRollout, RecoveredText } from '@cyclamenthread/protocol'
import type { RolloutContext } from './rollout-context.js'

/** Interval at which a run tries to start waiting samples and reward requests, in milliseconds. */
const SCHEDULE_PERIOD_MS = 40

/** Timeout for checking the log before work starts, in milliseconds. */
const CONFIRMATION_TIMEOUT_MS = 1_500

/** Pause after a failed check of the log, in milliseconds: a store that refuses at once must not be asked at each pass. */
const CONFIRMATION_RETRY_MS = 300

/** Options of a {@link RolloutRun}. */
export interface RolloutRunOptions {
  /** Monotonic time in milliseconds before the read of the log that the given progress contains; without it, the log is read before work starts. */
  readonly confirmedAt?: number
  /** Called with what the next owner can continue from, once another host has claimed the rollout. */
  readonly onFenced?: (handover: AdoptRollout) => void
  /** Groups that came again from an earlier step of the trainer; absent if none is known. */
  readonly carriedGroups?: ReadonlySet<string>
  /** Called at each pass while this host is outside the homes of the rollout. */
  readonly onMisplaced?: (run: RolloutRun) => void
}

/**
 * Runs the unfinished samples of one rollout and appends their results to the
 * rollout's log. The phases of a sample are those of {@link SampleBoard}.
 *
 * Invariants: results can be read only once the store has them; no work starts on a
 * log copy that may hide an end or a claim of another host; once the log shows
 * either, the run is stopped.
 */
export class RolloutRun {
  readonly order: RolloutOrder
  readonly progress: RolloutProgress
  readonly #context: RolloutContext
  readonly #board: SampleBoard
  readonly #generator: SampleGenerator
  readonly #rewards: RewardCaller
  readonly #lister: ResultLister
  readonly #watchers = new Set<() => void>()
  readonly #onFenced: ((handover: AdoptRollout) => void) | undefined
  readonly #onMisplaced: ((run: RolloutRun) => void) | undefined
  /**
   * Monotonic time from which samples may be abandoned, in milliseconds. It counts from
   * when this process learned of the rollout: the wall clocks of two hosts may differ
   * by seconds, and a sample must not be abandoned before its lifetime has passed.
   */
  readonly #expiresAt: number
  #confirmedAt: number
  #confirming = false
  #nextConfirmationAt = -Infinity
  /** Monotonic time in milliseconds of the latest report of another host that the log has an end or a claim. */
  #reportedAt = -Infinity
  /** Whether the trainer has asked for the end, which the log need not have yet. */
  #isEndRequested = false
  #timer: NodeJS.Timeout | undefined
  #stopped = false

  constructor (context: RolloutContext, order: RolloutOrder, progress: RolloutProgress, { confirmedAt = -Infinity, carriedGroups, onFenced, onMisplaced }: RolloutRunOptions = {}) {
    this.#context = context
    this.#confirmedAt = confirmedAt
    this.#expiresAt = monotonicNow() + order.expiresAt - order.acceptedAt
    this.#onFenced = onFenced
    this.#onMisplaced = onMisplaced
    this.order = order
    this.progress = progress
    this.#board = new SampleBoard(order)
    this.#generator = new SampleGenerator(context, order, this.#board, { onEnd: () => this.#schedule(), ...(carriedGroups === undefined ? {} : { carriedGroups }) })
    this.#rewards = new RewardCaller(context, order, this.#board, { expiresAt: this.#expiresAt, onEnd: () => this.#schedule() })
    this.#lister = new ResultLister({ context, order, progress, board: this.#board, generator: this.#generator, onListed: (sampleId) => this.#release(sampleId) })
    this.#lister.markListed()
    for (const [sampleId, text] of progress.texts) this.#restoreText({ sampleId, ...text })
    for (const [sampleId, failures] of progress.failures) this.#board.apply(sampleId, { kind: SampleEventKind.FailuresRecovered, failures })
  }

  /** Whether no sample is left to run or to list, or the run was stopped. */
  get isFinished (): boolean {
    return this.#stopped || this.progress.ended || this.progress.results.length === this.order.samples.length
  }

  /** Number of samples without a result. */
  get openSamples (): number {
    return this.isFinished ? 0 : this.order.samples.length - this.#board.listed.size - this.#board.settled.size
  }

  /** Starts the work; the log is read first unless it was read just now. */
  start (): void {
    this.#schedule()
  }

  /** Stops the run; samples that are not listed are left to the next owner. */
  stop (): void {
    this.#stopped = true
    clearTimeout(this.#timer)
    this.#generator.stop()
    this.#rewards.stop()
    this.#notifyWatchers()
  }

  /** Stops the run and returns the results and texts with which the next owner can continue. */
  handOver (): AdoptRollout {
    this.stop()
    const failures = this.#board.failures()
    const texts = [...this.#generator.texts].filter(([sampleId, text]) => text.pieces.length > 0 || failures.has(sampleId)).map(([sampleId, text]) => {
      const { pieces, versions, softwareVersion } = text
      const life = this.#board.lifeOf(sampleId)
      const isWhole = life?.phase === SamplePhase.Generated || life?.phase === SamplePhase.Scoring
      const unconfirmed = text.unconfirmedParts(monotonicNow())
      return { sampleId, pieces: [...pieces], versions: [...versions], complete: isWhole, rewardFailures: isWhole ? life.rewardFailures : 0, failures: failures.get(sampleId), softwareVersion, unconfirmed }
    })
    return { kind: PeerMessageKind.AdoptRollout, from: this.#context.writer, order: this.order, results: this.#board.settledResults(), texts }
  }

  /** Adopts results and texts of an earlier owner, unless this run has made more progress itself. */
  adopt (handover: Pick<AdoptRollout, 'results' | 'texts'>): void {
    for (const result of handover.results) {
      this.#board.apply(result.id, { kind: SampleEventKind.ResultAdopted, result })
      this.#release(result.id)
    }
    for (const text of handover.texts) {
      const phase = this.#board.lifeOf(text.sampleId)?.phase
      const isFurther = (this.#generator.texts.get(text.sampleId)?.pieces.length ?? 0) < text.pieces.length
      const isOpen = phase === SamplePhase.Waiting || (phase === SamplePhase.Generating && text.complete)
      if (isOpen && (isFurther || text.complete)) this.#restoreText(text)
      if (text.failures !== undefined) this.#board.apply(text.sampleId, { kind: SampleEventKind.FailuresRecovered, failures: text.failures })
    }
  }

  /** Makes a sample continue after the text that an earlier owner received, unless no endpoint could be known to fit it. */
  #restoreText ({ sampleId, complete, rewardFailures, ...text }: RecoveredText): void {
    if (!complete && text.softwareVersion === undefined) return
    const { pieces, versions } = text
    this.#generator.release(sampleId)
    this.#generator.restoreText(sampleId, text)
    if (complete) this.#board.apply(sampleId, { kind: SampleEventKind.TextRecovered, text: { pieces, versions }, rewardFailures })
  }

  /** Ends the work on a sample whose result is known. */
  #release (sampleId: string): void {
    this.#generator.release(sampleId)
    this.#rewards.release(sampleId)
  }

  /** Lists the settled results before a planned stop, as far as the deadline allows. A write under way then goes on, so the results may be listed as well as handed over. */
  async flushResults (deadline: number): Promise<void> {
    const startedAt = monotonicNow()
    const settled = this.#board.settled.size
    this.#lister.expedite()
    while (this.#board.settled.size > 0 && !this.isFinished && monotonicNow() < deadline) await untilDeadline(this.#commitResults(true), deadline)
    if (settled > 0) this.#context.log.record(LogEvent.RolloutFlushed, { requestId: this.order.id, settled, left: this.#board.settled.size, tookMs: Math.round(monotonicNow() - startedAt) })
  }

  /**
   * Reads entries that another host may have appended to the log, unless the log
   * was read or written within the given age.
   *
   * @returns whether the progress is up to date
   */
  async refreshProgress (maxAgeMs: number): Promise<boolean> {
    const requestedAt = suspendAwareNow()
    if (requestedAt - this.#confirmedAt <= maxAgeMs) return true
    const read = await this.#context.store.catchUp(this.order.id, this.progress, deadlineAfter(CONFIRMATION_TIMEOUT_MS))
    if (read.ok) this.#confirmedAt = Math.max(this.#confirmedAt, requestedAt)
    this.#handleProgress()
    return read.ok
  }

  /**
   * Starts nothing until the log has been read: another host has reported an end or
   * a claim.
   *
   * @returns whether the log was read
   */
  async recheck (): Promise<boolean> {
    this.#reportedAt = suspendAwareNow()
    return await this.refreshProgress(0)
  }

  /** Starts nothing more: the trainer has asked for the end, which will be stored once the store answers. */
  holdWork (): void {
    this.#isEndRequested = true
  }

  /** Appends a claim of the rollout; returns whether this process owns it. */
  async claim (deadline: number): Promise<boolean> {
    const before = this.progress.claimant
    while (!this.progress.ended) {
      if (monotonicNow() >= deadline) return false
      const sentAt = suspendAwareNow()
      const status = await this.#context.store.append(this.order.id, this.progress, { writer: this.#context.writer, results: [], texts: [], ended: false, claim: true }, deadline)
      if (status === AppendStatus.Failed) return false
      this.#confirmedAt = Math.max(this.#confirmedAt, sentAt)
      if (status === AppendStatus.Applied) break
      if (this.progress.claimant !== before) return false
    }
    this.#lister.markListed()
    return this.progress.ended || this.#isOwner
  }

  /** Whether the log shows no other process as the owner. */
  get #isOwner (): boolean {
    const owner = ownerOf(this.order, this.progress)
    return owner === '' || owner === this.#context.writer || owner === hostOfWriter(this.#context.writer)
  }

  /** Appends the end of the rollout to the log; returns whether the store has it. */
  async appendEnd (deadline: number): Promise<boolean> {
    while (!this.progress.ended && monotonicNow() < deadline) {
      const status = await this.#context.store.append(this.order.id, this.progress, { writer: this.#context.writer, results: [], texts: [], ended: true }, deadline)
      if (status === AppendStatus.Failed) break
    }
    this.#handleProgress()
    return this.progress.ended
  }

  /** Waits until a result is listed at a position, the run has finished, or the deadline passes. */
  async waitForResult (position: number, deadline: number): Promise<void> {
    while (this.progress.results.length <= position && !this.isFinished && monotonicNow() < deadline) {
      await new Promise<void>((resolve) => {
        const done = (): void => {
          clearTimeout(timer)
          this.#watchers.delete(done)
          resolve()
        }
        const timer = setTimeout(done, Math.max(0, deadline - monotonicNow()))
        this.#watchers.add(done)
      })
    }
  }

  /** Starts or abandons work, commits results, and schedules the next pass until the run has finished. */
  #schedule (): void {
    clearTimeout(this.#timer)
    if (this.isFinished) {
      if (!this.#stopped) this.stop()
      return
    }
    if (!isHome(homesOfRollout(this.order, this.#context.deployment.routeTable), this.#context.networkLocation.region)) this.#onMisplaced?.(this)
    this.#generator.checkTexts()
    if (monotonicNow() >= this.#expiresAt) this.#board.expire()
    else this.#startWork()
    void this.#commitResults(false)
    this.#timer = setTimeout(() => this.#schedule(), SCHEDULE_PERIOD_MS)
  }

  #startWork (): void {
    const hasWork = this.#board.waiting.length > 0 || this.#board.generated.size > 0
    const permission = this.#workPermission()
    if (hasWork && permission !== WorkPermission.Granted) this.#refreshThenStart()
    if (permission === WorkPermission.ConfirmFirst || this.#isEndRequested) return
    const permit = createWorkPermit(permission, this.#workEvidence(), suspendAwareNow())
    this.#rewards.startRequests(permit)
    this.#generator.startSamples(permit)
    this.#generator.leaveForbiddenEndpoints()
    if (this.#board.waiting.length === 0) this.#generator.moveSlowSample()
  }

  #workPermission (): WorkPermission {
    const permission = decideWorkPermission(this.#workEvidence(), suspendAwareNow())
    if (permission === WorkPermission.ConfirmMeanwhile) this.#context.store.recordOutage()
    return permission
  }

  #workEvidence (): WorkPermissionEvidence {
    return { confirmedAt: this.#confirmedAt, storeSilence: this.#context.store.silence, isContested: this.#confirmedAt < this.#reportedAt }
  }

  /** Checks the log for an end or a claim of another host before work starts. */
  #refreshThenStart (): void {
    if (this.#confirming || monotonicNow() < this.#nextConfirmationAt) return
    this.#confirming = true
    void this.refreshProgress(0).then((isCurrent) => {
      this.#confirming = false
      if (!isCurrent) this.#nextConfirmationAt = deadlineAfter(CONFIRMATION_RETRY_MS)
      if (!this.isFinished && this.#workPermission() === WorkPermission.Granted) this.#startWork()
    })
  }

  async #commitResults (isForced: boolean): Promise<void> {
    if (this.isFinished) return
    const sentAt = await this.#lister.commit(isForced)
    // Counted from before the write was sent: its answer may be processed late, after a pause of this process.
    if (sentAt !== undefined) this.#confirmedAt = Math.max(this.#confirmedAt, sentAt)
    this.#handleProgress()
  }

  #handleProgress (): void {
    this.#lister.markListed()
    if (this.progress.ended) {
      this.#generator.abortAll()
      this.#rewards.abortAll()
    } else if (!this.#isOwner && !this.#stopped) {
      const handover = this.handOver()
      this.#onFenced?.(handover)
    }
    this.#notifyWatchers()
    if (this.progress.ended && !this.#stopped) this.#schedule()
  }

  #notifyWatchers (): void {
    for (const watcher of [...this.#watchers]) watcher()
  }
}
