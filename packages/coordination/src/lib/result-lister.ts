import { isListingDue, SampleEventKind, SamplePhase } from '@cyclamenthread/state'
import { deadlineAfter, monotonicNow, suspendAwareNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { AppendStatus } from './rollout-store.js'
import type { RolloutOrder, RolloutProgress, SampleBoard, SampleResult, TextCheckpoint } from '@cyclamenthread/state'
import type { RolloutContext } from './rollout-context.js'
import type { SampleGenerator } from './sample-generator.js'

/** Timeout for appending a log entry, in milliseconds. */
const APPEND_TIMEOUT_MS = 30_000

/** Maximum output in one log entry, in characters; well below the store's maximum value size. */
const MAX_SEGMENT_CHARACTERS = 500_000

/** Interval at which the text of unfinished samples is stored, in milliseconds; bounds what a step loses when all hosts crash. */
const CHECKPOINT_PERIOD_MS = 2_000

/** Minimum number of unstored events for a checkpoint of a running sample: about half a second of an endpoint's work. */
const MIN_CHECKPOINT_EVENTS = 14

/** Maximum size of checkpoint texts in one log entry, in characters; together with the results well below the store's maximum value size. */
const MAX_CHECKPOINT_CHARACTERS = 200_000

/** What a checkpoint of a sample contains. */
interface CheckpointSource {
  readonly pieces: readonly string[]
  readonly versions: readonly number[]
  readonly generation: symbol | undefined
  readonly softwareVersion: string | undefined
  readonly complete: boolean
  readonly rewardFailures: number
}

/** What a {@link ResultLister} works on. */
export interface ResultListerOptions {
  readonly context: RolloutContext
  readonly order: RolloutOrder
  readonly progress: RolloutProgress
  readonly board: SampleBoard
  readonly generator: SampleGenerator
  /** Called for each sample whose result has entered the log. */
  readonly onListed: (sampleId: string) => void
}

/**
 * Appends the results of one rollout to its log, and periodically the texts of
 * samples that have no result yet.
 */
export class ResultLister {
  readonly #context: RolloutContext
  readonly #order: RolloutOrder
  readonly #progress: RolloutProgress
  readonly #board: SampleBoard
  readonly #generator: SampleGenerator
  readonly #onListed: (sampleId: string) => void
  /** Generation of each sample's text that this run has stored a part of, by sample id. */
  readonly #storedGenerations = new Map<string, symbol | undefined>()
  /** Aborted when this host is about to stop. */
  readonly #stopping = new AbortController()
  /** The write under way; see {@link commit} for its result. */
  #writing: Promise<number | undefined> | undefined
  #committedAt = -Infinity
  #oldestSettledAt = Infinity
  #checkpointAt = monotonicNow() + CHECKPOINT_PERIOD_MS

  constructor ({ context, order, progress, board, generator, onListed }: ResultListerOptions) {
    this.#context = context
    this.#order = order
    this.#progress = progress
    this.#board = board
    this.#generator = generator
    this.#onListed = onListed
  }

  /**
   * Appends settled results if listing is due or forced, and periodically the text
   * of unfinished samples. There is at most one write at a time: while it is under way,
   * a forced call waits for it, and any other returns at once.
   *
   * @returns the time before the entry was sent, in milliseconds by the clock that counts suspends, if the log was read or written; undefined otherwise
   */
  async commit (isForced: boolean): Promise<number | undefined> {
    // A caller may repeat a forced call until nothing is left, which must not become a loop without I/O.
    if (this.#writing !== undefined) return isForced ? await this.#writing : undefined
    const texts = [...monotonicNow() < this.#checkpointAt ? [] : this.#takeCheckpoints(), ...this.#takeFailures()]
    const isDue = texts.length > 0 || (this.#board.settled.size > 0 && (isForced || this.#isListingDue()))
    if (!isDue) return undefined
    this.#checkpointAt = deadlineAfter(CHECKPOINT_PERIOD_MS)
    this.#writing = this.#append(texts).finally(() => {
      this.#writing = undefined
    })
    return await this.#writing
  }

  /** Appends an entry with settled results and the given texts; see {@link commit} for its result. */
  async #append (texts: TextCheckpoint[]): Promise<number | undefined> {
    const generations = texts.map(({ sampleId }) => this.#generator.texts.get(sampleId)?.generation)
    const results = takeSegmentResults(this.#board.settledResults())
    const sentAt = suspendAwareNow()
    const status = await this.#context.store.append(this.#order.id, this.#progress, { writer: this.#context.writer, results, texts, ended: false }, deadlineAfter(APPEND_TIMEOUT_MS), this.#stopping.signal)
    this.#committedAt = monotonicNow()
    for (const [index, { sampleId, from, pieces }] of texts.entries()) {
      // Another writer may have taken the entry's place in the log.
      const stored = this.#progress.texts.get(sampleId)
      if (stored?.writer === this.#context.writer && stored.pieces.length === from + pieces.length) this.#storedGenerations.set(sampleId, generations[index])
    }
    this.#context.log.record(LogEvent.RolloutCommitted, {
      rollout: this.#order.id, outcome: status, results: results.length, texts: texts.length, segment: this.#progress.segments, listed: this.#progress.results.length
    })
    this.markListed()
    this.#oldestSettledAt = this.#board.settled.size === 0 ? Infinity : monotonicNow()
    return status === AppendStatus.Failed ? undefined : sentAt
  }

  /** Retries writes often from now on, also the one under way: this host is about to stop. */
  expedite (): void {
    this.#stopping.abort()
  }

  /** Advances the samples whose results are in the log. */
  markListed (): void {
    for (const { id } of this.#progress.results.slice(this.#board.listed.size)) {
      this.#board.apply(id, { kind: SampleEventKind.Listed })
      this.#onListed(id)
    }
  }

  #isListingDue (): boolean {
    const now = monotonicNow()
    this.#oldestSettledAt = Math.min(this.#oldestSettledAt, now)
    return isListingDue(this.#order, {
      listed: this.#board.listed, settled: this.#board.settled, oldestMs: now - this.#oldestSettledAt, sinceLastMs: now - this.#committedAt
    })
  }

  /** Returns checkpoints without text for failures that aren't stored yet: the next owner must not allow as many again. */
  #takeFailures (): TextCheckpoint[] {
    return [...this.#board.failures()].flatMap(([sampleId, failures]) =>
      failures > (this.#progress.failures.get(sampleId) ?? 0) ? [{ sampleId, from: 0, pieces: [], versions: [], complete: false, rewardFailures: 0, failures }] : [])
  }

  /** Returns checkpoints of samples with enough unstored text, as far as they fit into one log entry. */
  #takeCheckpoints (): TextCheckpoint[] {
    let characters = 0
    return [...this.#generator.texts.keys()].flatMap((sampleId) => {
      const source = this.#checkpointSource(sampleId)
      const stored = this.#progress.texts.get(sampleId)
      if (source === undefined) return []
      const isNews = source.complete
        ? stored?.complete !== true || source.rewardFailures > stored.rewardFailures
        : source.pieces.length >= (stored?.pieces.length ?? 0) + MIN_CHECKPOINT_EVENTS
      if (!isNews) return []
      const isContinuation = stored?.writer === this.#context.writer && source.generation !== undefined && this.#storedGenerations.get(sampleId) === source.generation
      const from = isContinuation ? stored.pieces.length : 0
      const pieces = source.pieces.slice(from)
      characters += pieces.reduce((sum, piece) => sum + piece.length, 0)
      if (characters > MAX_CHECKPOINT_CHARACTERS) return []
      return [{ sampleId, from, pieces, versions: [...source.versions], complete: source.complete, rewardFailures: source.rewardFailures, softwareVersion: source.softwareVersion }]
    })
  }

  #checkpointSource (sampleId: string): CheckpointSource | undefined {
    const life = this.#board.lifeOf(sampleId)
    const text = this.#generator.texts.get(sampleId)
    switch (life?.phase) {
      case SamplePhase.Generated:
      case SamplePhase.Scoring:
        return { ...life.text, generation: text?.generation, softwareVersion: text?.softwareVersion, complete: true, rewardFailures: life.rewardFailures }
      case SamplePhase.Generating: {
        if (text === undefined) return undefined
        const { pieces, versions, softwareVersion } = text.confirmedPart
        return { pieces, versions, generation: text.generation, softwareVersion, complete: false, rewardFailures: 0 }
      }
      case SamplePhase.Waiting:
      case SamplePhase.Settled:
      case SamplePhase.Listed:
      case undefined:
        return undefined
    }
  }
}

/** Returns the first results that fit into one log entry. */
function takeSegmentResults (results: readonly SampleResult[]): SampleResult[] {
  let characters = 0
  return results.filter((result, index) => {
    characters += result.output.length
    return index === 0 || characters <= MAX_SEGMENT_CHARACTERS
  })
}
