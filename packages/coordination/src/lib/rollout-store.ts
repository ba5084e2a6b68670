import { setTimeout as sleep } from 'node:timers/promises'
import { failure, isSilenceConclusive, rolloutOrderSchema, rolloutSegmentSchema, StoreSilence, success } from '@cyclamenthread/state'
import { ExpectationKind, RolloutCreationStatus, rolloutKey, rolloutSegmentKey, StoreFailure, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, suspendAwareNow, toSuspendAware } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { LogEvent, SILENT_LOG } from './event-log.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Outcome, RolloutOrder, RolloutProgress, RolloutSegment, SilentSpan } from '@cyclamenthread/state'
import type { ObjectStore, StoreCall, StoredObject, WriteResult } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'

/** Maximum delay between two attempts of a write while this host stops, in milliseconds: a small part of the time that a host has for that. */
const STOPPING_RETRY_MS = 200

/** Timeout for one call of the store, in milliseconds: far above its usual response time, well below the time a trainer waits. */
const CALL_TIMEOUT_MS = 1_200

/** Duration from which a read of a log is logged, in milliseconds. */
const SLOW_LOAD_MS = 1_000

/** Maximum number of log entries that are read at the same time. */
const MAX_READ_AHEAD = 8

/** Prefix under which the log reports whether the store answers calls about rollouts. */
const ROLLOUT_LOG_PREFIX = 'rollout-log/'

/** Result of an append to a rollout's log. */
export enum AppendStatus {
  Applied = 'applied',
  /** Another writer has written that position; its entry was applied. */
  Overtaken = 'overtaken',
  Failed = 'failed'
}

/**
 * Persistent storage of rollouts: the order in one object, and a log of immutable
 * entries, each written at its own position or not at all.
 *
 * Invariant: a log entry never changes, so all hosts that have read the log up to
 * the same entry list the same results at the same positions.
 */
export class RolloutStore {
  readonly #store: ObjectStore
  readonly #log: EventLog
  readonly #silence = new StoreSilence()
  #isOutageRecorded = false

  constructor (store: ObjectStore, log: EventLog = SILENT_LOG) {
    this.#store = store
    this.#log = log
  }

  /** Time during which the store left all calls about rollouts unanswered; undefined if it answered the last one. */
  get silence (): SilentSpan | undefined {
    return this.#silence.span
  }

  /** Logs once that work goes on because the store counts as down; its next answer logs the end of that. */
  recordOutage (): void {
    if (this.#isOutageRecorded) return
    this.#isOutageRecorded = true
    this.#log.record(LogEvent.DependencyLost, { dependency: 'store', prefix: ROLLOUT_LOG_PREFIX, outcome: 'work-goes-on', ageMs: this.#silentMs })
  }

  get #silentMs (): number {
    return Math.round(suspendAwareNow() - (this.silence?.since ?? suspendAwareNow()))
  }

  #recordAnswer (): void {
    const silentMs = this.#silentMs
    this.#silence.recordAnswer(suspendAwareNow())
    if (!this.#isOutageRecorded) return
    this.#isOutageRecorded = false
    this.#log.record(LogEvent.DependencyRegained, { dependency: 'store', prefix: ROLLOUT_LOG_PREFIX, outcome: 'work-waits', ageMs: silentMs })
  }

  /** Stores a rollout; a write without an answer is retried until the deadline. */
  async create (order: RolloutOrder, deadline: number): Promise<RolloutCreationStatus> {
    const backoff = new Backoff(Math.random)
    let sent = false
    while (monotonicNow() < deadline) {
      const result = await this.#createObject(rolloutKey(order.id), order, deadline)
      if (result.status === WriteStatus.Applied) return RolloutCreationStatus.Created
      if (result.status === WriteStatus.Conflict) return sent && await this.#isStoredAs(order, deadline) ? RolloutCreationStatus.Created : RolloutCreationStatus.Known
      if (result.status === WriteStatus.Unknown) sent = true
      else if (!sent) return RolloutCreationStatus.Refused
      await SYSTEM_CLOCK.sleep(backoff.nextDelayMs())
    }
    return sent ? RolloutCreationStatus.Unknown : RolloutCreationStatus.Refused
  }

  /** Whether the stored order is the given one; another host may have accepted the same rollout and assigned another owner. */
  async #isStoredAs (order: RolloutOrder, deadline: number): Promise<boolean> {
    const stored = await this.readOrder(order.id, deadline)
    return stored.ok && stored.value?.owner === order.owner
  }

  /** Reads the order of a rollout; undefined if it doesn't exist. */
  async readOrder (id: string, deadline: number): Promise<Outcome<RolloutOrder | undefined, StoreFailure>> {
    const found = await this.#readObject(rolloutKey(id), deadline)
    if (!found.ok) return found
    if (found.value === undefined) return success(undefined)
    const order = rolloutOrderSchema.safeParse(found.value.value)
    return order.success ? success(order.data) : failure(StoreFailure.Malformed)
  }

  /**
   * Applies all log entries that a progress doesn't contain yet.
   *
   * @param onApplied called after each step in which entries were applied
   */
  async catchUp (id: string, progress: RolloutProgress, deadline: number, onApplied?: () => void): Promise<Outcome<void, StoreFailure>> {
    const startedAt = monotonicNow()
    const from = progress.segments
    const read = await this.#readEntries(id, progress, deadline, onApplied)
    const tookMs = Math.round(monotonicNow() - startedAt)
    if (tookMs > SLOW_LOAD_MS || (!read.ok && progress.segments > from)) {
      this.#log.record(LogEvent.RolloutLoaded, { requestId: id, from, segments: progress.segments, outcome: read.ok ? 'whole' : read.failure, tookMs })
    }
    return read
  }

  /** Reads more entries at the same time the more it has found, so that a short log costs hardly more calls than it has entries. */
  async #readEntries (id: string, progress: RolloutProgress, deadline: number, onApplied?: () => void): Promise<Outcome<void, StoreFailure>> {
    const from = progress.segments
    for (;;) {
      const first = progress.segments
      const width = Math.min(MAX_READ_AHEAD, 1 + Math.floor((first - from) / 2))
      const positions = Array.from({ length: width }, (_, index) => first + index)
      const read = await Promise.all(positions.map(async (position) => await this.#readObject(rolloutSegmentKey(id, position), deadline)))
      for (const [index, found] of read.entries()) {
        const segment = found.ok && found.value !== undefined ? rolloutSegmentSchema.safeParse(found.value.value) : undefined
        if (segment?.success !== true) {
          onApplied?.()
          return endOfRead(found)
        }
        if (progress.segments === first + index) progress.apply(segment.data)
      }
      onApplied?.()
    }
  }

  /**
   * Appends one entry and applies the entry that is then stored at its position.
   * A write without an answer is retried with the same entry until an entry is
   * stored there.
   *
   * @param stopping aborted when this host is about to stop: retries then come at once and often
   */
  async append (id: string, progress: RolloutProgress, segment: RolloutSegment, deadline: number, stopping?: AbortSignal): Promise<AppendStatus> {
    const backoff = new Backoff(Math.random)
    const position = progress.segments
    while (monotonicNow() < deadline) {
      const result = await this.#createObject(rolloutSegmentKey(id, position), segment, deadline)
      if (result.status === WriteStatus.Applied) {
        // A concurrent read may have applied the entry already.
        if (progress.segments === position) progress.apply(segment)
        return AppendStatus.Applied
      }
      if (result.status === WriteStatus.Conflict) return await this.#resolveConflict(id, progress, segment, position, deadline)
      await pauseBeforeRetry(backoff.nextDelayMs(), stopping)
    }
    return AppendStatus.Failed
  }

  async #resolveConflict (id: string, progress: RolloutProgress, segment: RolloutSegment, position: number, deadline: number): Promise<AppendStatus> {
    const read = await this.catchUp(id, progress, deadline)
    if (!read.ok || progress.segments <= position) return AppendStatus.Failed
    const isOwn = segment.results.every((result) => progress.isListed(result.id)) && (!segment.ended || progress.ended) && (segment.claim !== true || progress.claimant === segment.writer)
    return isOwn ? AppendStatus.Applied : AppendStatus.Overtaken
  }

  async #readObject (key: string, deadline: number): Promise<Outcome<StoredObject | undefined, StoreFailure>> {
    return await this.#observed(deadline, async (call) => await this.#store.read(key, call))
  }

  async #createObject (key: string, value: unknown, deadline: number): Promise<WriteResult> {
    return await this.#observed(deadline, async (call) => await this.#store.write(key, value, { kind: ExpectationKind.Absent }, call))
  }

  /** Makes a call and records whether it was sent and served. */
  async #observed<Result> (latest: number, send: (call: StoreCall) => Promise<Result>): Promise<Result> {
    const deadline = Math.min(latest, deadlineAfter(CALL_TIMEOUT_MS))
    const awaitedUntil = toSuspendAware(deadline)
    let sentAt: number | undefined
    let isServed = false
    const result = await send({
      purpose: StorePurpose.Claim,
      deadline,
      observer: {
        onSent: (at) => {
          sentAt = toSuspendAware(at)
        },
        onServed: () => {
          isServed = true
          this.#recordAnswer()
        }
      }
    })
    // A call during which the machine was suspended shows nothing about the store.
    const failedAt = suspendAwareNow()
    if (!isServed && sentAt !== undefined && isSilenceConclusive(awaitedUntil, failedAt)) this.#silence.recordUnanswered({ sentAt, deadline: awaitedUntil, failedAt })
    return result
  }
}

/** Returns the outcome of reading a log up to a position at which no entry was read. */
function endOfRead (found: Outcome<StoredObject | undefined, StoreFailure>): Outcome<void, StoreFailure> {
  if (!found.ok) return failure(found.failure)
  return found.value === undefined ? success(undefined) : failure(StoreFailure.Malformed)
}

async function pauseBeforeRetry (delayMs: number, stopping: AbortSignal | undefined): Promise<void> {
  if (stopping?.aborted === true) await SYSTEM_CLOCK.sleep(Math.min(delayMs, STOPPING_RETRY_MS))
  // The wait ends early when the host begins to stop.
  else await sleep(delayMs, undefined, stopping === undefined ? {} : { signal: stopping }).catch(() => {})
}
