import { setMaxListeners } from 'node:events'
import { awaitedSamples, ContinuationStep, continuationDeadline, decideContinuation, domainsOfHomes, homesOfRollout, isInDomains, isMoveWorthwhile, placeSample, SampleEventKind, SampleText, SendUrgency, sortForSlots, TextCheck, textLimitOf, unreachable, WorkEnd } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { describeLimit } from './endpoint-notice-task.js'
import { SendPermission } from './send-permit-task.js'
import { readSampleStream, StreamEnd } from './sample-stream.js'
import { DEFAULT_PACE_MS, TextEstimates } from './text-estimates.js'
import type { EndpointEntry, EndpointRecord, KnownText, MoveEstimate, RolloutOrder, RolloutSample, SampleBoard, WorkPermit } from '@cyclamenthread/state'
import type { EndpointRequest } from '@cyclamenthread/protocol'
import type { ConnectionUse } from '@cyclamenthread/transport'
import type { LogFields } from './event-log.js'
import type { RolloutContext } from './rollout-context.js'

/**
 * Minimum ratio between the event intervals of two endpoints for a sample to be
 * moved. It exceeds the differences between healthy endpoints, where a move costs
 * more than it saves.
 */
const MIN_MOVE_SPEEDUP = 1.6

/** Number of events from which a running sample counts as a straggler that is worth moving. */
const MIN_STRAGGLER_EVENTS = 12

/** Interval at which a straggler to move is sought, in milliseconds: a few events of a stream. */
const MOVE_PERIOD_MS = 200

/** Age of the endpoint table from which it is confirmed for a whole text that isn't listed before, in milliseconds. */
const WHOLE_TEXT_REGISTRY_AGE_MS = 500

/** The same for texts of running samples, in milliseconds: shorter than an endpoint that leaves or crashes stays in the registry, since its streams can't be confirmed afterwards. */
const RUNNING_TEXT_REGISTRY_AGE_MS = 2_000

/** Time between two passes from which this process was held up, and time that it then gets to read what has arrived, in milliseconds. */
const HELD_UP_MS = 150

/** Time for which a sample waits for a limited endpoint, in milliseconds: until another one has room. */
const LIMIT_WAIT_MS = 60_000

/** An endpoint for a sample, and until when the sample may be sent there. */
interface SamplePlace {
  readonly record: EndpointRecord
  /** Milliseconds by the clock that counts suspends. */
  readonly startBefore: number
}

/** A sample that is running at an endpoint. */
interface RunningSample {
  readonly sample: RolloutSample
  readonly record: EndpointRecord
  readonly abort: AbortController
}

/** Options of a {@link SampleGenerator}. */
export interface SampleGeneratorOptions {
  /** Called after the stream of a sample has ended. */
  readonly onEnd: () => void
  /** Groups that came again from an earlier step, for which the trainer waits in any case. */
  readonly carriedGroups?: ReadonlySet<string>
}

/**
 * Generates the texts of one rollout's samples at endpoints and keeps the text of
 * samples that were interrupted.
 *
 * Invariants: a sample runs at one endpoint at a time; a text goes on only at an
 * endpoint of the software version that began it.
 */
export class SampleGenerator {
  readonly #context: RolloutContext
  readonly #order: RolloutOrder
  readonly #board: SampleBoard
  readonly #onEnd: () => void
  readonly #estimates: TextEstimates
  readonly #running = new Map<string, RunningSample>()
  readonly #texts = new Map<string, SampleText>()
  /** Samples whose texts are whole and wait until the registry would show a restart of their endpoints. */
  readonly #awaitingRegistry = new Set<string>()
  /** Samples that were moved once; a second move would only follow noise in the measured pace. */
  readonly #moved = new Set<string>()
  readonly #warmEndpoints = new Map<string, Set<string>>()
  /** Endpoints that samples leave; they go on elsewhere if there is room. */
  readonly #leftEndpoints = new Map<string, string>()
  #nextMoveAt = -Infinity
  #passedAt = -Infinity
  /** Monotonic milliseconds before which no wait for an endpoint ends. */
  #waitsUntil = -Infinity
  #stopped = false

  constructor (context: RolloutContext, order: RolloutOrder, board: SampleBoard, { onEnd, carriedGroups = new Set() }: SampleGeneratorOptions) {
    this.#context = context
    this.#order = order
    this.#board = board
    this.#onEnd = onEnd
    this.#estimates = new TextEstimates({
      context,
      order,
      board,
      carriedGroups,
      heldEvents: (sampleId) => this.#texts.get(sampleId)?.pieces.length ?? 0,
      endpointOf: (sampleId) => this.#running.get(sampleId)?.record.entry
    })
  }

  /** Texts of samples that aren't decided, by sample id. */
  get texts (): ReadonlyMap<string, SampleText> {
    return this.#texts
  }

  /** Whether a sample is running at an endpoint. */
  isRunning (sampleId: string): boolean {
    return this.#running.has(sampleId)
  }

  /** Makes a sample continue after the text that an earlier owner received. */
  restoreText (sampleId: string, text: KnownText): void {
    this.#texts.set(sampleId, new SampleText(text, monotonicNow()))
  }

  /** Drops the text of a sample whose result is known, and ends its stream. */
  release (sampleId: string): void {
    this.#texts.delete(sampleId)
    this.#awaitingRegistry.delete(sampleId)
    this.#leftEndpoints.delete(sampleId)
    this.#running.get(sampleId)?.abort.abort()
  }

  /** Ends all streams; the texts stay. */
  abortAll (): void {
    for (const running of this.#running.values()) running.abort.abort()
  }

  /** Ends all streams for good; their ends no longer change the board. */
  stop (): void {
    this.#stopped = true
    this.abortAll()
  }

  /** Checks texts against the registry, which may show late that an endpoint has restarted with another software version. */
  checkTexts (): void {
    const { deployment } = this.#context
    const { endpointTable, registeredUntil } = deployment
    const find = (id: string): EndpointEntry | undefined => endpointTable.find(id)?.entry
    let isAnyUnconfirmed = false
    for (const [sampleId, text] of this.#texts) {
      if (text.isConfirmed) continue
      isAnyUnconfirmed = true
      const check = text.check(find, registeredUntil)
      if (check === TextCheck.Kept) {
        if (text.isUniform && this.#awaitingRegistry.delete(sampleId)) this.#completeText(sampleId, text)
        continue
      }
      this.#context.log.record(LogEvent.TextInterrupted, { requestId: sampleId, rollout: this.#order.id, outcome: check, textVersion: text.softwareVersion, held: text.pieces.length })
      this.#running.get(sampleId)?.abort.abort()
      if (this.#awaitingRegistry.delete(sampleId)) this.#board.apply(sampleId, { kind: SampleEventKind.GenerationInterrupted })
    }
    if (this.#awaitingRegistry.size > 0) deployment.confirmEndpoints(WHOLE_TEXT_REGISTRY_AGE_MS)
    else if (isAnyUnconfirmed) deployment.confirmEndpoints(RUNNING_TEXT_REGISTRY_AGE_MS)
  }

  #completeText (sampleId: string, text: SampleText): void {
    this.#board.apply(sampleId, { kind: SampleEventKind.TextCompleted, text: { pieces: [...text.pieces], versions: [...text.versions] } })
    if (this.#board.isDecided(sampleId)) this.#texts.delete(sampleId)
  }

  /** Starts waiting samples as far as endpoints have free slots. */
  startSamples (permit: WorkPermit): void {
    const full = new Set<string | undefined>()
    const now = monotonicNow()
    if (now - this.#passedAt >= HELD_UP_MS) this.#waitsUntil = now + HELD_UP_MS
    this.#passedAt = now
    for (const sample of this.#waitingInOrder(now)) {
      // An aborted stream may not have ended yet.
      if (this.#running.has(sample.id)) continue
      const place = this.#placeWaiting(sample, full)
      if (full.has(undefined)) break
      if (place === undefined) continue
      this.#board.apply(sample.id, { kind: SampleEventKind.GenerationStarted })
      void this.#runSample(sample, place, permit)
    }
  }

  /** Waiting samples in the order in which they get slots. */
  #waitingInOrder (now: number): RolloutSample[] {
    const { waiting } = this.#board
    return waiting.length > 1 && this.#isPaced ? sortForSlots(this.#estimates.progress(now), waiting) : [...waiting]
  }

  /** Ends streams at endpoints that may get nothing any more: outside the homes, or in an evacuated failure domain if there is room elsewhere. */
  leaveForbiddenEndpoints (): void {
    const { endpointTable } = this.#context.deployment
    const domains = this.#domains
    const isAnyEvacuated = endpointTable.evacuatedDomains.size > 0
    if (domains === undefined && !isAnyEvacuated) return
    for (const { sample, record, abort } of this.#running.values()) {
      if (abort.signal.aborted) continue
      const isOutside = !isInDomains(record, domains)
      const isEvacuated = isAnyEvacuated && endpointTable.evacuatedDomains.has(record.entry.failureDomain)
      if (!isOutside && !(isEvacuated && this.#chooseEndpoint(sample, this.#texts.get(sample.id)?.softwareVersion, new Set()) !== undefined)) continue
      abort.abort()
      this.#context.log.record(LogEvent.SampleMoved, { requestId: sample.id, rollout: this.#order.id, from: record.entry.id, detail: isOutside ? 'outside the homes of the rollout' : 'its failure domain is evacuated' })
    }
  }

  /**
   * Moves one straggler from a slow endpoint to a faster one with free capacity; its text is kept. Where endpoints
   * state their pace, the text also has to be expected to end sooner there.
   */
  moveSlowSample (): void {
    const now = monotonicNow()
    if (now < this.#nextMoveAt) return
    this.#nextMoveAt = now + MOVE_PERIOD_MS
    const { endpointTable } = this.#context.deployment
    const typicalMs = this.#typicalPaceMs()
    // A move is not worth one of the requests that an endpoint in need accepts.
    const limited = new Set(endpointTable.limitedEndpoints(now).map(([{ entry }]) => entry.id))
    for (const { sample, record, abort } of this.#stragglers(now)) {
      if (abort.signal.aborted || this.#moved.has(sample.id) || record.paceMs === undefined || (this.#texts.get(sample.id)?.pieces.length ?? 0) < MIN_STRAGGLER_EVENTS) continue
      const softwareVersion = this.#texts.get(sample.id)?.softwareVersion
      const candidate = softwareVersion === undefined ? undefined : this.#chooseEndpoint(sample, softwareVersion, limited)
      if (candidate === undefined || candidate.entry.id === record.entry.id) continue
      if (endpointTable.estimatedPace(record, typicalMs, now) < endpointTable.estimatedPace(candidate, typicalMs, now) * MIN_MOVE_SPEEDUP) continue
      const estimate = this.#isPaced ? this.#estimates.move(sample, record, candidate, now) : undefined
      if (estimate !== undefined && !isMoveWorthwhile(estimate)) continue
      this.#moved.add(sample.id)
      this.#leftEndpoints.set(sample.id, record.entry.id)
      abort.abort()
      this.#context.log.record(LogEvent.SampleMoved, {
        requestId: sample.id,
        rollout: this.#order.id,
        from: record.entry.id,
        to: candidate.entry.id,
        softwareVersion: candidate.entry.softwareVersion,
        textVersion: softwareVersion,
        paceMs: Math.round(record.paceMs),
        otherPaceMs: Math.round(candidate.paceMs ?? typicalMs),
        ...(estimate === undefined ? {} : this.#describeMove(estimate, record, candidate, now))
      })
      return
    }
  }

  /** Running samples in the order in which they are considered for a move: where endpoints state their pace, those that the trainer waits for, the last of the step first. */
  #stragglers (now: number): RunningSample[] {
    if (!this.#isPaced) return [...this.#running.values()]
    return awaitedSamples(this.#estimates.progress(now)).flatMap(({ id }) => this.#running.get(id) ?? [])
  }

  /** Whether the endpoints of the rollout's service state their pace. */
  get #isPaced (): boolean {
    return this.#context.deployment.endpointTable.paces.isStated(this.#order.service)
  }

  #describeMove ({ stayMs, elsewhereMs, costMs }: MoveEstimate, from: EndpointRecord, to: EndpointRecord, now: number): LogFields {
    const { paces } = this.#context.deployment.endpointTable
    return {
      stayMs: Math.round(stayMs),
      elsewhereMs: Math.round(elsewhereMs),
      costMs: Math.round(costMs),
      paceAgeMs: Math.round(paces.ageMs(from.entry, now)),
      otherPaceAgeMs: Math.round(paces.ageMs(to.entry, now))
    }
  }

  /**
   * Chooses the endpoint at which a waiting sample starts or goes on; undefined if it has to wait.
   *
   * @param full software versions without a free endpoint in this pass; undefined stands for all of them
   */
  #placeWaiting (sample: RolloutSample, full: Set<string | undefined>): SamplePlace | undefined {
    const text = this.#texts.get(sample.id)
    if (text === undefined || text.pieces.length === 0) return this.#findRoom(sample, undefined, full)
    const { softwareVersion } = text
    const { endpointTable } = this.#context.deployment
    const room = softwareVersion === undefined ? undefined : this.#findRoom(sample, softwareVersion, full)
    const isServed = softwareVersion !== undefined && endpointTable.isVersionServed(this.#order.service, softwareVersion)
    const now = monotonicNow()
    const waitDeadline = text.waitDeadline === undefined ? undefined : Math.max(text.waitDeadline, this.#waitsUntil)
    const step = decideContinuation({ softwareVersion, isServed, hasRoom: room !== undefined, waitDeadline }, now)
    switch (step) {
      case ContinuationStep.Continue: return room
      case ContinuationStep.Wait:
        if (text.waitDeadline === undefined) this.#logInterruption(sample, text, step, isServed)
        text.wait(continuationDeadline(text.pieces.length, this.#typicalPaceMs(), now))
        return undefined
      case ContinuationStep.StartAnew: {
        // Until there is room for a new start, an endpoint of its version may still come back.
        const other = this.#findRoom(sample, undefined, full)
        if (other === undefined) return undefined
        this.#logInterruption(sample, text, step, isServed)
        text.clear()
        return other
      }
      default: return unreachable(step)
    }
  }

  #findRoom (sample: RolloutSample, softwareVersion: string | undefined, full: Set<string | undefined>): SamplePlace | undefined {
    if (full.has(softwareVersion)) return undefined
    const withoutPermit = new Set<string>()
    const left = this.#leftEndpoints.get(sample.id)
    if (left !== undefined && this.#chooseEndpoint(sample, softwareVersion, new Set([left])) !== undefined) withoutPermit.add(left)
    for (let record = this.#chooseEndpoint(sample, softwareVersion, withoutPermit); record !== undefined; record = this.#chooseEndpoint(sample, softwareVersion, withoutPermit)) {
      const permit = this.#context.sends.take(record, SendUrgency.Sample, LIMIT_WAIT_MS)
      switch (permit.kind) {
        case SendPermission.Unlimited: return { record, startBefore: Infinity }
        case SendPermission.Granted: return { record, startBefore: permit.startBefore }
        case SendPermission.Asking:
        case SendPermission.Denied:
          withoutPermit.add(record.entry.id)
          break
        default: return unreachable(permit)
      }
    }
    full.add(softwareVersion)
    return undefined
  }

  #logInterruption (sample: RolloutSample, text: SampleText, step: ContinuationStep, isServed: boolean): void {
    this.#context.log.record(LogEvent.TextInterrupted, {
      requestId: sample.id, rollout: this.#order.id, outcome: step, textVersion: text.softwareVersion, isServed, held: text.pieces.length
    })
  }

  #chooseEndpoint (sample: RolloutSample, softwareVersion: string | undefined, excluded: ReadonlySet<string>): EndpointRecord | undefined {
    const { deployment, networkLocation } = this.#context
    const demand = {
      service: this.#order.service,
      model: this.#order.model,
      minVersion: this.#order.minVersion,
      softwareVersion,
      warm: this.#warmEndpoints.get(sample.group) ?? new Set<string>(),
      excluded,
      domains: this.#domains,
      units: this.#estimates.eventsLeft(sample)
    }
    return placeSample(deployment.endpointTable, demand, networkLocation, this.#typicalPaceMs(), monotonicNow())
  }

  /** Failure domains in which the samples may run by the declaration in force; undefined if in all. */
  get #domains (): ReadonlySet<string> | undefined {
    return domainsOfHomes(homesOfRollout(this.#order, this.#context.deployment.routeTable), this.#context.networkLocation.regions)
  }

  /** Returns the typical time between two stream events at the service's endpoints, in milliseconds. */
  #typicalPaceMs (): number {
    return this.#context.deployment.endpointTable.typicalPace(this.#order.service, DEFAULT_PACE_MS, monotonicNow())
  }

  async #runSample (sample: RolloutSample, { record, startBefore }: SamplePlace, permit: WorkPermit): Promise<void> {
    const { deployment, endpoints, notices, relay, log } = this.#context
    const { endpointTable } = deployment
    const { entry } = record
    const order = this.#order
    const abort = new AbortController()
    setMaxListeners(0, abort.signal)
    const text = this.#texts.get(sample.id) ?? new SampleText()
    this.#texts.set(sample.id, text)
    text.startStream(entry)
    this.#running.set(sample.id, { sample, record, abort })
    this.#warmEndpoints.set(sample.group, (this.#warmEndpoints.get(sample.group) ?? new Set()).add(entry.id))
    this.#leftEndpoints.delete(sample.id)
    const sentAt = monotonicNow()
    endpointTable.startWork(entry.id)
    endpointTable.startModelTrial(entry.id, order.model, sentAt)
    log.record(LogEvent.SampleSent, {
      requestId: sample.id,
      rollout: order.id,
      endpoint: entry.id,
      softwareVersion: entry.softwareVersion,
      held: text.pieces.length,
      textVersion: text.softwareVersion,
      load: record.activeWork,
      weights: endpointTable.newestVersion(record, order.model),
      minVersion: order.minVersion,
      group: sample.group,
      ...describeLimit(record, sentAt),
      outcome: permit.permission,
      logAgeMs: permit.logAgeMs
    })
    let connectionUse: ConnectionUse | undefined
    const request: EndpointRequest = {
      endpoint: entry,
      requestId: sample.id,
      method: 'POST',
      path: sample.path,
      headers: [...Object.entries(sample.headers), ['Host', order.routeHost]],
      body: Buffer.from(sample.body, 'base64'),
      workspace: order.workspace,
      deadline: undefined,
      startBefore: Math.min(permit.startBefore, startBefore),
      onWrite: (_leftMs, use) => {
        connectionUse = use
      },
      signal: abort.signal
    }
    const result = await readSampleStream(endpoints, request, text, { ...order, limit: textLimitOf(sample) }, {
      onStart: ({ version, load }) => {
        relay.recordReached()
        text.recordAnswer(monotonicNow())
        endpointTable.recordModelAcceptance(entry.id, order.model)
        if (version !== undefined) endpointTable.recordVersion(entry.id, order.model, version)
        if (load !== undefined) endpointTable.recordLoad(entry.id, load, monotonicNow())
      },
      onNotice: (notice) => notices.record(entry, { ...notice, sentAt, receivedAt: monotonicNow() }),
      onEvent: (isFirst) => {
        const now = monotonicNow()
        if (!isFirst) {
          endpointTable.paces.recordUnit(entry, sample.id, now)
          return
        }
        endpointTable.paces.openUnit(entry, sample.id, now)
        this.#estimates.recordStartDelay(now - sentAt)
      },
      onVersion: (version) => endpointTable.recordVersion(entry.id, order.model, version),
      onPace: (paceMs) => {
        relay.recordReached()
        endpointTable.recordPace(entry.id, paceMs, monotonicNow())
      }
    }, abort)
    const now = monotonicNow()
    endpointTable.paces.closeStream(entry, sample.id)
    endpointTable.finishWork(entry.id, entry.bornAt, workEndOf(result.end), now)
    if (result.end === StreamEnd.Broken && result.events === 0) relay.recordUnreached(entry.id)
    // An endpoint that is full, is changing weights or has older weights than reported is avoided for a while.
    if (result.end === StreamEnd.NotRun || result.end === StreamEnd.Stale) endpointTable.recordModelRefusal(entry.id, order.model, now)
    log.record(LogEvent.SampleEnded, {
      requestId: sample.id,
      rollout: order.id,
      endpoint: entry.id,
      softwareVersion: entry.softwareVersion,
      textVersion: text.softwareVersion,
      outcome: result.end,
      detail: result.detail,
      events: result.events,
      tookMs: Math.round(result.tookMs),
      versions: text.versions,
      ...connectionUse
    })
    this.#running.delete(sample.id)
    if (this.#stopped) return
    this.#applyEnd(sample, text, result.end)
    this.#onEnd()
  }

  #applyEnd (sample: RolloutSample, text: SampleText, end: StreamEnd): void {
    switch (end) {
      case StreamEnd.Complete:
        if (text.isUniform) this.#completeText(sample.id, text)
        else if (this.#texts.get(sample.id) === text) this.#awaitingRegistry.add(sample.id)
        break
      case StreamEnd.Impossible:
        this.#board.apply(sample.id, { kind: SampleEventKind.GenerationImpossible })
        break
      case StreamEnd.Failed:
        text.clear()
        this.#board.apply(sample.id, { kind: SampleEventKind.GenerationFailed })
        break
      case StreamEnd.Stale:
      case StreamEnd.Overrun:
        text.clear()
        this.#board.apply(sample.id, { kind: SampleEventKind.GenerationInterrupted })
        break
      case StreamEnd.NotRun:
      case StreamEnd.NotSent:
      case StreamEnd.Broken:
      case StreamEnd.Cancelled:
        this.#board.apply(sample.id, { kind: SampleEventKind.GenerationInterrupted })
        break
      default: unreachable(end)
    }
    if (this.#board.isDecided(sample.id)) this.#texts.delete(sample.id)
  }
}

function workEndOf (end: StreamEnd): WorkEnd {
  switch (end) {
    case StreamEnd.Complete:
    case StreamEnd.Impossible:
    case StreamEnd.Failed:
      return WorkEnd.Finished
    case StreamEnd.Broken: return WorkEnd.Broken
    case StreamEnd.Overrun: return WorkEnd.Overrun
    // A refusal concerns a single model and is recorded by recordModelRefusal.
    case StreamEnd.NotRun:
    case StreamEnd.NotSent:
    case StreamEnd.Stale:
    case StreamEnd.Cancelled:
      return WorkEnd.Cancelled
    default: return unreachable(end)
  }
}
