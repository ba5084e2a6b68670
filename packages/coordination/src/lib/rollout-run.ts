import { setMaxListeners } from 'node:events'
import { isListingDue, placeSample, SampleState, sortForStart, unreachable, WorkEnd } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { AppendStatus } from './rollout-store.js'
import { readSampleStream, SampleText, StreamEnd } from './sample-stream.js'
import type { EndpointRecord, RolloutOrder, RolloutProgress, RolloutSample, SampleResult, TextCheckpoint, NetworkLocation } from '@cyclamenthread/state'
import type { AdoptRollout, EndpointPort, HeaderPair } from '@cyclamenthread/protocol'
import type { DeploymentView } from './deployment-view.js'
import type { EventLog } from './event-log.js'
import type { RolloutStore } from './rollout-store.js'

/** Assumed time between two events of a stream before any was measured, in milliseconds; derived from the engines' step times. */
const DEFAULT_PACE_MS = 38

/** Interval at which a run tries to start waiting samples, in milliseconds. */
const SCHEDULE_PERIOD_MS = 40

/** Timeout for appending a log entry, in milliseconds. */
const APPEND_TIMEOUT_MS = 30_000

/** Maximum output in one log entry, in characters; well below the store's maximum value size. */
const MAX_SEGMENT_CHARACTERS = 500_000

/** Time during which samples may start on a stale copy of the log after the store failed to answer, in milliseconds. */
const UNCONFIRMED_START_MS = 500

/**
 * Minimum ratio between the event intervals of two endpoints for a sample to be
 * moved. It exceeds the differences between healthy endpoints, where a move costs
 * more than it saves.
 */
const MIN_MOVE_SPEEDUP = 1.6

/** Number of events from which a running sample counts as a straggler that is worth moving. */
const MIN_STRAGGLER_EVENTS = 12

/** Interval at which the text of running samples is stored, in milliseconds; bounds what a step loses when all hosts crash. */
const CHECKPOINT_PERIOD_MS = 2_000

/** Minimum number of unstored events for a checkpoint of a sample: about half a second of an endpoint's work. */
const MIN_CHECKPOINT_EVENTS = 14

/** Maximum size of checkpoint texts in one log entry, in characters; together with the results well below the store's maximum value size. */
const MAX_CHECKPOINT_CHARACTERS = 200_000

/** Age of the last log read or write beyond which the log is checked for an end before a sample starts, in milliseconds. */
const MAX_CONFIRMATION_AGE_MS = 1_500

/** Dependencies shared by all rollout runs of a host. */
export interface RolloutContext {
  readonly deployment: DeploymentView
  readonly endpoints: EndpointPort
  readonly store: RolloutStore
  readonly networkLocation: NetworkLocation
  readonly writer: string
  readonly log: EventLog
}

/** A sample that is running at an endpoint. */
interface RunningSample {
  readonly sample: RolloutSample
  readonly record: EndpointRecord
  readonly abort: AbortController
}

/**
 * Runs the unfinished samples of one rollout and appends their results to the
 * rollout's log. A result is settled once it is known and listed once it is in
 * the log.
 *
 * Invariants: a sample is in exactly one state: waiting, running, settled or
 * listed; results can be read only once the store has them.
 */
export class RolloutRun {
  readonly order: RolloutOrder
  readonly progress: RolloutProgress
  readonly #context: RolloutContext
  readonly #waiting: RolloutSample[]
  readonly #running = new Map<string, RunningSample>()
  readonly #texts = new Map<string, SampleText>()
  /** Generation of each sample's text that this run has stored a part of, by sample id. */
  readonly #storedGenerations = new Map<string, number>()
  readonly #failures = new Map<string, number>()
  readonly #settled = new Map<string, SampleResult>()
  /** Samples that were moved once; a second move would only follow noise in the measured pace. */
  readonly #moved = new Set<string>()
  readonly #warmEndpoints = new Map<string, Set<string>>()
  readonly #watchers = new Set<() => void>()
  #confirmedAt = monotonicNow()
  #confirming = false
  #oldestSettledAt = Infinity
  #committing = false
  #committedAt = -Infinity
  #checkpointAt = monotonicNow() + CHECKPOINT_PERIOD_MS
  #timer: NodeJS.Timeout | undefined
  #stopped = false

  constructor (context: RolloutContext, order: RolloutOrder, progress: RolloutProgress) {
    this.#context = context
    this.order = order
    this.progress = progress
    this.#waiting = sortForStart(order, order.samples.filter((sample) => !progress.isListed(sample.id)))
    for (const [sampleId, { pieces, versions }] of progress.texts) this.#restoreText(sampleId, pieces, versions)
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
    for (const running of this.#running.values()) running.abort.abort()
    this.#notifyWatchers()
  }

  /** Stops the run and returns the results and partial texts with which the next owner can continue. */
  handOver (): AdoptRollout {
    this.stop()
    const texts = [...this.#texts].filter(([, text]) => text.pieces.length > 0)
    return {
      kind: PeerMessageKind.AdoptRollout,
      order: this.order,
      results: [...this.#settled.values()],
      texts: texts.map(([sampleId, { pieces, versions }]) => ({ sampleId, pieces: [...pieces], versions: [...versions] }))
    }
  }

  /** Adopts results and partial texts of an earlier owner, unless this run has made more progress itself. */
  adopt (handover: Pick<AdoptRollout, 'results' | 'texts'>): void {
    for (const result of handover.results) {
      if (this.progress.isListed(result.id)) continue
      this.#recordResult(result)
      this.#removeWaiting(result.id)
      this.#running.get(result.id)?.abort.abort()
    }
    for (const { sampleId, pieces, versions } of handover.texts) {
      if (!this.#running.has(sampleId) && (this.#texts.get(sampleId)?.pieces.length ?? 0) < pieces.length) this.#restoreText(sampleId, pieces, versions)
    }
  }

  /** Makes a sample continue after the text that an earlier owner received. */
  #restoreText (sampleId: string, pieces: readonly string[], versions: readonly number[]): void {
    const text = new SampleText()
    text.pieces.push(...pieces)
    text.versions.push(...versions)
    this.#texts.set(sampleId, text)
  }

  /** Lists the settled results before a planned stop, as far as the deadline allows. */
  async flushResults (deadline: number): Promise<void> {
    while (this.#settled.size > 0 && !this.isFinished && monotonicNow() < deadline) await this.#commitResults(true)
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

  /** Starts or abandons waiting samples, commits results, and schedules the next pass until the run has finished. */
  #schedule (): void {
    clearTimeout(this.#timer)
    if (this.isFinished) {
      if (!this.#stopped) this.stop()
      return
    }
    if (Date.now() >= this.order.expiresAt) this.#abandonWaiting()
    else {
      this.#startSamples()
      if (this.#waiting.length === 0) this.#moveSlowSample()
    }
    void this.#commitResults(false)
    this.#timer = setTimeout(() => this.#schedule(), SCHEDULE_PERIOD_MS)
  }

  #startSamples (): void {
    if (this.#waiting.length === 0) return
    if (monotonicNow() - this.#confirmedAt > MAX_CONFIRMATION_AGE_MS) {
      this.#refreshThenStart()
      return
    }
    for (let index = 0; index < this.#waiting.length;) {
      const sample = this.#waiting[index]
      const record = sample === undefined ? undefined : this.#chooseEndpoint(sample)
      if (sample === undefined || record === undefined) break
      this.#waiting.splice(index, 1)
      void this.#runSample(sample, record)
    }
  }

  /**
   * Checks the log for an end written by another host before samples start. If the
   * store doesn't answer, samples start anyway: no end can be acknowledged then.
   */
  #refreshThenStart (): void {
    if (this.#confirming) return
    this.#confirming = true
    void this.refreshProgress(MAX_CONFIRMATION_AGE_MS).then(() => {
      this.#confirming = false
      this.#confirmedAt = Math.max(this.#confirmedAt, monotonicNow() - MAX_CONFIRMATION_AGE_MS + UNCONFIRMED_START_MS)
      if (!this.isFinished) this.#startSamples()
    })
  }

  #chooseEndpoint (sample: RolloutSample): EndpointRecord | undefined {
    const { deployment, networkLocation } = this.#context
    const demand = {
      service: this.order.service,
      model: this.order.model,
      minVersion: this.order.minVersion,
      warm: this.#warmEndpoints.get(sample.group) ?? new Set<string>()
    }
    return placeSample(deployment.endpointTable, demand, networkLocation, this.#typicalPaceMs(), monotonicNow())
  }

  /** Returns the typical time between two stream events at the service's endpoints, in milliseconds. */
  #typicalPaceMs (): number {
    return this.#context.deployment.endpointTable.typicalPace(this.order.service, DEFAULT_PACE_MS, monotonicNow())
  }

  /** Moves one straggler from a slow endpoint to a faster one with free capacity; its text is kept. */
  #moveSlowSample (): void {
    const { endpointTable } = this.#context.deployment
    const now = monotonicNow()
    const typicalMs = this.#typicalPaceMs()
    for (const { sample, record, abort } of this.#running.values()) {
      if (abort.signal.aborted || this.#moved.has(sample.id) || record.paceMs === undefined || (this.#texts.get(sample.id)?.pieces.length ?? 0) < MIN_STRAGGLER_EVENTS) continue
      const candidate = this.#chooseEndpoint(sample)
      if (candidate === undefined || candidate.entry.id === record.entry.id) continue
      if (endpointTable.estimatedPace(record, typicalMs, now) < endpointTable.estimatedPace(candidate, typicalMs, now) * MIN_MOVE_SPEEDUP) continue
      this.#moved.add(sample.id)
      abort.abort()
      this.#context.log.record(LogEvent.SampleMoved, {
        requestId: sample.id, rollout: this.order.id, from: record.entry.id, to: candidate.entry.id, paceMs: Math.round(record.paceMs), otherPaceMs: Math.round(candidate.paceMs ?? typicalMs)
      })
      return
    }
  }

  async #runSample (sample: RolloutSample, record: EndpointRecord): Promise<void> {
    const { deployment, endpoints, log } = this.#context
    const { endpointTable } = deployment
    const { entry } = record
    const abort = new AbortController()
    setMaxListeners(0, abort.signal)
    const text = this.#texts.get(sample.id) ?? new SampleText()
    this.#texts.set(sample.id, text)
    this.#running.set(sample.id, { sample, record, abort })
    this.#warmEndpoints.set(sample.group, (this.#warmEndpoints.get(sample.group) ?? new Set()).add(entry.id))
    endpointTable.startWork(entry.id)
    endpointTable.startModelTrial(entry.id, this.order.model, monotonicNow())
    log.record(LogEvent.SampleSent, {
      requestId: sample.id,
      rollout: this.order.id,
      endpoint: entry.id,
      held: text.pieces.length,
      load: record.activeWork,
      weights: endpointTable.newestVersion(record, this.order.model),
      minVersion: this.order.minVersion,
      group: sample.group
    })
    const request = {
      endpoint: entry,
      requestId: sample.id,
      method: 'POST',
      path: sample.path,
      headers: [...Object.entries(sample.headers), ['Host', this.order.routeHost]] as HeaderPair[],
      body: Buffer.from(sample.body, 'base64'),
      workspace: this.order.workspace,
      deadline: undefined,
      signal: abort.signal
    }
    const result = await readSampleStream(endpoints, request, text, this.order, {
      onStart: ({ version, load }) => {
        endpointTable.recordModelAcceptance(entry.id, this.order.model)
        if (version !== undefined) endpointTable.recordVersion(entry.id, this.order.model, version)
        if (load !== undefined) endpointTable.recordLoad(entry.id, load, monotonicNow())
      },
      onVersion: (version) => endpointTable.recordVersion(entry.id, this.order.model, version),
      onPace: (paceMs) => endpointTable.recordPace(entry.id, paceMs, monotonicNow())
    }, abort)
    const now = monotonicNow()
    endpointTable.finishWork(entry.id, entry.bornAt, workEndOf(result.end), now)
    // An endpoint that is full, is changing weights or has older weights than reported is avoided for a while.
    if (result.end === StreamEnd.NotRun || result.end === StreamEnd.Stale) endpointTable.recordModelRefusal(entry.id, this.order.model, now)
    log.record(LogEvent.SampleEnded, {
      requestId: sample.id,
      rollout: this.order.id,
      endpoint: entry.id,
      outcome: result.end,
      detail: result.detail,
      events: result.events,
      tookMs: Math.round(result.tookMs),
      versions: text.versions
    })
    this.#running.delete(sample.id)
    if (!this.#stopped) this.#handleStreamEnd(sample, text, result.end)
  }

  #handleStreamEnd (sample: RolloutSample, text: SampleText, end: StreamEnd): void {
    // The result may have been adopted from an earlier owner meanwhile.
    if (this.#settled.has(sample.id) || this.progress.isListed(sample.id)) return
    switch (end) {
      case StreamEnd.Complete:
        this.#recordResult({ id: sample.id, state: SampleState.Completed, output: text.pieces.join('\n'), versions: [...text.versions] })
        break
      case StreamEnd.Impossible:
        this.#abandonSample(sample)
        break
      case StreamEnd.Failed: {
        const failures = (this.#failures.get(sample.id) ?? 0) + 1
        this.#failures.set(sample.id, failures)
        text.clear()
        if (failures >= this.order.maxAttempts) this.#abandonSample(sample)
        else this.#waiting.unshift(sample)
        break
      }
      case StreamEnd.Stale:
        text.clear()
        this.#waiting.unshift(sample)
        break
      case StreamEnd.NotRun:
      case StreamEnd.Broken:
      case StreamEnd.Cancelled:
        this.#waiting.unshift(sample)
        break
      default: unreachable(end)
    }
    this.#schedule()
  }

  #abandonSample (sample: RolloutSample): void {
    this.#recordResult({ id: sample.id, state: SampleState.Abandoned, output: '', versions: [] })
  }

  #recordResult (result: SampleResult): void {
    this.#texts.delete(result.id)
    this.#settled.set(result.id, result)
    this.#oldestSettledAt = Math.min(this.#oldestSettledAt, monotonicNow())
  }

  /** Abandons all waiting samples; running ones may still complete. */
  #abandonWaiting (): void {
    for (const sample of this.#waiting.splice(0)) this.#abandonSample(sample)
  }

  /** Appends settled results if listing is due or `now` is set, and periodically the text of running samples. */
  async #commitResults (now: boolean): Promise<void> {
    if (this.#committing || this.isFinished) return
    const texts = monotonicNow() < this.#checkpointAt ? [] : this.#takeCheckpoints()
    const isDue = texts.length > 0 || (this.#settled.size > 0 && (now || this.#isListingDue()))
    if (!isDue) return
    this.#committing = true
    this.#checkpointAt = deadlineAfter(CHECKPOINT_PERIOD_MS)
    const starts = texts.map(({ sampleId }) => [sampleId, this.#texts.get(sampleId)?.generation ?? 0] as const)
    const results = takeSegmentResults([...this.#settled.values()])
    const status = await this.#context.store.append(this.order.id, this.progress, { writer: this.#context.writer, results, texts, ended: false }, deadlineAfter(APPEND_TIMEOUT_MS))
    this.#committing = false
    this.#committedAt = monotonicNow()
    if (status === AppendStatus.Applied) {
      for (const [sampleId, start] of starts) this.#storedGenerations.set(sampleId, start)
    }
    this.#context.log.record(LogEvent.RolloutCommitted, {
      rollout: this.order.id, outcome: status, results: results.length, texts: texts.length, segment: this.progress.segments, listed: this.progress.results.length
    })
    if (status !== AppendStatus.Failed) this.#confirmedAt = monotonicNow()
    for (const id of [...this.#settled.keys()]) {
      if (this.progress.isListed(id)) this.#settled.delete(id)
    }
    this.#oldestSettledAt = this.#settled.size === 0 ? Infinity : monotonicNow()
    this.#handleProgress()
  }

  /** Returns checkpoints of samples with enough unstored text, as far as they fit into one log entry. */
  #takeCheckpoints (): TextCheckpoint[] {
    let characters = 0
    return [...this.#running.keys()].flatMap((sampleId) => {
      const text = this.#texts.get(sampleId)
      const stored = this.progress.texts.get(sampleId)
      if (text === undefined || text.pieces.length < (stored?.pieces.length ?? 0) + MIN_CHECKPOINT_EVENTS) return []
      const isContinuation = stored?.writer === this.#context.writer && this.#storedGenerations.get(sampleId) === text.generation
      const from = isContinuation ? stored.pieces.length : 0
      const pieces = text.pieces.slice(from)
      characters += pieces.reduce((sum, piece) => sum + piece.length, 0)
      return characters > MAX_CHECKPOINT_CHARACTERS ? [] : [{ sampleId, from, pieces, versions: [...text.versions] }]
    })
  }

  #isListingDue (): boolean {
    const now = monotonicNow()
    return isListingDue(this.order, {
      listed: new Set(this.progress.results.map((result) => result.id)),
      settled: new Set(this.#settled.keys()),
      oldestMs: now - this.#oldestSettledAt,
      sinceLastMs: now - this.#committedAt
    })
  }

  #handleProgress (): void {
    for (const { id } of [...this.#waiting]) {
      if (this.progress.isListed(id)) this.#removeWaiting(id)
    }
    for (const [id, running] of this.#running) {
      if (this.progress.ended || this.progress.isListed(id)) running.abort.abort()
    }
    this.#notifyWatchers()
    if (this.progress.ended && !this.#stopped) this.#schedule()
  }

  #removeWaiting (sampleId: string): void {
    const index = this.#waiting.findIndex((sample) => sample.id === sampleId)
    if (index >= 0) this.#waiting.splice(index, 1)
  }

  #notifyWatchers (): void {
    for (const watcher of [...this.#watchers]) watcher()
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

function workEndOf (end: StreamEnd): WorkEnd {
  switch (end) {
    case StreamEnd.Complete:
    case StreamEnd.Impossible:
    case StreamEnd.Failed:
      return WorkEnd.Finished
    case StreamEnd.Broken: return WorkEnd.Broken
    // A rejection concerns a single model and is recorded by refuseModel.
    case StreamEnd.NotRun:
    case StreamEnd.Stale:
    case StreamEnd.Cancelled:
      return WorkEnd.Cancelled
    default: return unreachable(end)
  }
}
