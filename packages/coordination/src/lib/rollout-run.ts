import { SampleBoard, SampleEventKind, SamplePhase } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { AppendStatus } from './rollout-store.js'
import { ResultLister } from './result-lister.js'
import { RewardCaller } from './reward-caller.js'
import { SampleGenerator } from './sample-generator.js'
import type { RolloutOrder, RolloutProgress } from '@cyclamenthread/state'
import type { AdoptRollout, RecoveredText } from '@cyclamenthread/protocol'
import type { RolloutContext } from './rollout-context.js'

/** Interval at which a run tries to start waiting samples and reward requests, in milliseconds. */
const SCHEDULE_PERIOD_MS = 40

/** Time during which work may start on a stale copy of the log after the store failed to answer, in milliseconds. */
const UNCONFIRMED_START_MS = 500

/** Age of the last log read or write beyond which the log is checked for an end before work starts, in milliseconds. */
const MAX_CONFIRMATION_AGE_MS = 1_500

/**
 * Runs the unfinished samples of one rollout and appends their results to the
 * rollout's log. The phases of a sample are those of {@link SampleBoard}.
 *
 * Invariant: results can be read only once the store has them.
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
  #confirmedAt = monotonicNow()
  #confirming = false
  #timer: NodeJS.Timeout | undefined
  #stopped = false

  constructor (context: RolloutContext, order: RolloutOrder, progress: RolloutProgress) {
    this.#context = context
    this.order = order
    this.progress = progress
    this.#board = new SampleBoard(order)
    this.#generator = new SampleGenerator(context, order, this.#board, () => this.#schedule())
    this.#rewards = new RewardCaller(context, order, this.#board, () => this.#schedule())
    this.#lister = new ResultLister(context, order, progress, this.#board, this.#generator)
    this.#lister.markListed()
    for (const [sampleId, text] of progress.texts) this.#restoreText({ sampleId, ...text })
  }

  /** Whether no sample is left to run or to list, or the run was stopped. */
  get isFinished (): boolean {
    return this.#stopped || this.progress.ended || this.progress.results.length === this.order.samples.length
  }

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
    const texts = [...this.#generator.texts].filter(([, text]) => text.pieces.length > 0).map(([sampleId, { pieces, versions }]) => {
      const life = this.#board.lifeOf(sampleId)
      const isWhole = life?.phase === SamplePhase.Generated || life?.phase === SamplePhase.Scoring
      return { sampleId, pieces: [...pieces], versions: [...versions], complete: isWhole, rewardFailures: isWhole ? life.rewardFailures : 0 }
    })
    return { kind: PeerMessageKind.AdoptRollout, order: this.order, results: this.#board.settledResults(), texts }
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
    }
  }

  /** Makes a sample continue after the text that an earlier owner received. */
  #restoreText ({ sampleId, pieces, versions, complete, rewardFailures }: RecoveredText): void {
    this.#generator.release(sampleId)
    this.#generator.restoreText(sampleId, pieces, versions)
    if (complete) this.#board.apply(sampleId, { kind: SampleEventKind.TextRecovered, text: { pieces, versions }, rewardFailures })
  }

  /** Ends the work on a sample whose result is known. */
  #release (sampleId: string): void {
    this.#generator.release(sampleId)
    this.#rewards.release(sampleId)
  }

  /** Lists the settled results before a planned stop, as far as the deadline allows. */
  async flushResults (deadline: number): Promise<void> {
    while (this.#board.settled.size > 0 && !this.isFinished && monotonicNow() < deadline) await this.#commitResults(true)
  }

  /**
   * Reads entries that another host may have appended to the log, unless the log
   * was read or written within the given age.
   *
   * @returns whether the progress is up to date
   */
  async refreshProgress (maxAgeMs: number): Promise<boolean> {
    const requestedAt = monotonicNow()
    if (requestedAt - this.#confirmedAt <= maxAgeMs) return true
    const read = await this.#context.store.catchUp(this.order.id, this.progress, deadlineAfter(MAX_CONFIRMATION_AGE_MS))
    if (read.ok) this.#confirmedAt = requestedAt
    this.#handleProgress()
    return read.ok
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
    if (Date.now() >= this.order.expiresAt) this.#board.expire()
    else this.#startWork()
    void this.#commitResults(false)
    this.#timer = setTimeout(() => this.#schedule(), SCHEDULE_PERIOD_MS)
  }

  #startWork (): void {
    const hasWork = this.#board.waiting.length > 0 || this.#board.generated.size > 0
    if (hasWork && monotonicNow() - this.#confirmedAt > MAX_CONFIRMATION_AGE_MS) {
      this.#refreshThenStart()
      return
    }
    this.#rewards.startRequests()
    this.#generator.startSamples()
    if (this.#board.waiting.length === 0) this.#generator.moveSlowSample()
  }

  /**
   * Checks the log for an end written by another host before work starts. If the
   * store doesn't answer, work starts anyway: no end can be acknowledged then.
   */
  #refreshThenStart (): void {
    if (this.#confirming) return
    this.#confirming = true
    void this.refreshProgress(MAX_CONFIRMATION_AGE_MS).then(() => {
      this.#confirming = false
      this.#confirmedAt = Math.max(this.#confirmedAt, monotonicNow() - MAX_CONFIRMATION_AGE_MS + UNCONFIRMED_START_MS)
      if (!this.isFinished) this.#startWork()
    })
  }

  async #commitResults (now: boolean): Promise<void> {
    if (this.isFinished) return
    const isCurrent = await this.#lister.commit(now)
    if (isCurrent) this.#confirmedAt = monotonicNow()
    this.#handleProgress()
  }

  #handleProgress (): void {
    const firstNew = this.#board.listed.size
    this.#lister.markListed()
    for (const { id } of this.progress.results.slice(firstNew)) this.#release(id)
    if (this.progress.ended) {
      this.#generator.abortAll()
      this.#rewards.abortAll()
    }
    this.#notifyWatchers()
    if (this.progress.ended && !this.#stopped) this.#schedule()
  }

  #notifyWatchers (): void {
    for (const watcher of [...this.#watchers]) watcher()
  }
}
