import { deadlineAfter, monotonicNow, suspendAwareNow } from '@cyclamenthread/transport'
import { StoreFailure, StorePurpose } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import { LogEvent } from './event-log.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { MirrorAge, MirrorUpdate, SnapshotStore, StoreChange, StoredObject } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'

/** Longest wait for a list call, in milliseconds. */
const LIST_TIMEOUT_MS = 1_500

/** Time that a watch call may take in addition to its requested wait, in milliseconds. */
const WATCH_SLACK_MS = 800

/** Time by which the store may end a wait early, in milliseconds: it is asked for whole milliseconds. */
const WATCH_ROUNDING_MS = 1

/**
 * Age of a copy at which a follower stops relying on relays and watches the store
 * itself, as a share of the time within which a change has to be noticed; the rest
 * is left for a list call.
 */
export const RELAY_SILENCE_SHARE = 0.72

/**
 * Longest wait of a relay's watch, and longest pause after a change, as a share of
 * the time within which a change has to be noticed: a third of the silence, so that
 * one pause and one watch may take half as long again. Each completed watch confirms
 * to followers that the copy is current.
 */
const RELAY_PERIOD_SHARE = 0.24

/** How a mirror learns of changes in the store. */
export enum MirrorRole {
  /** Watches the store for itself only. */
  Independent = 'alone',
  /** Watches the store and forwards changes to other hosts. */
  Relay = 'relay',
  /** Receives changes from relays; watches the store only while no relay confirms its copy. */
  Follower = 'follower'
}

/** Settings of a mirror. */
export interface MirrorSettings {
  readonly prefix: string
  /** Longest wait of one watch, in milliseconds; also bounds how long a dead connection goes unnoticed. */
  readonly waitMs: number
  /** Time within which this process has to notice a change, in milliseconds. */
  readonly noticeMs: number
  /** Pause between a change and the next watch, so that changes in quick succession need only one call, in milliseconds. */
  readonly changePauseMs: number
  /**
   * Time for which the store has to be away before an entry of a living writer expires, in milliseconds; absent if a
   * watch that fails counts as an outage in any case.
   */
  readonly lapseMs?: number
}

/**
 * Keeps a local copy of the objects under one prefix: lists them, then watches for
 * changes, and lists them again if the store no longer has the history since the
 * last known change.
 *
 * Invariants: the copy is only ever replaced by a newer state; while the store
 * can't be reached, the last state is kept and its age is known.
 */
export class StoreMirror {
  readonly #settings: MirrorSettings
  readonly #store: SnapshotStore
  readonly #log: EventLog
  readonly #objects = new Map<string, StoredObject>()
  readonly #listeners: Array<() => void> = []
  readonly #updateListeners: Array<(update: MirrorUpdate) => void> = []
  #role: () => MirrorRole = () => MirrorRole.Independent
  #askRelay: () => Promise<MirrorAge> = async () => ({})
  readonly #backoff: Backoff
  #cursor: string | undefined
  /** By the clock that counts suspends, in milliseconds. */
  #confirmedAt = -Infinity
  #currentAt = -Infinity
  /** The same moment by the clock that counts suspends. */
  #currentAtAware = -Infinity
  #connected: boolean | undefined
  #reconnectedAt = -Infinity
  /** Incremented by each start and stop, so that an earlier loop ends after its current wait. */
  #generation = 0
  #refreshing: Promise<boolean> | undefined

  constructor (settings: MirrorSettings, store: SnapshotStore, log: EventLog, random: () => number = Math.random) {
    this.#settings = settings
    this.#store = store
    this.#log = log
    this.#backoff = new Backoff(random)
  }

  /** Returns the objects of the latest known state. */
  objects (): readonly StoredObject[] {
    return [...this.#objects.values()]
  }

  /** Whether the objects have been listed at least once. */
  get loaded (): boolean {
    return this.#cursor !== undefined
  }

  /** Time since the copy was last known to be current, in milliseconds; it counts suspends of the machine. */
  get ageMs (): number {
    return suspendAwareNow() - this.#confirmedAt
  }

  /**
   * Monotonic time in milliseconds up to which the copy contains every change. Unlike
   * {@link ageMs} it is proven by calls of this mirror alone and doesn't count the
   * time for which an answer or a relay's update was under way.
   */
  get currentAt (): number {
    return this.#currentAt
  }

  /** Time since {@link currentAt}, in milliseconds; it counts suspends of the machine. */
  get currentAgeMs (): number {
    return suspendAwareNow() - this.#currentAtAware
  }

  /** Monotonic time at which the store was last reached again after a failure, in milliseconds. */
  get reconnectedAt (): number {
    return this.#reconnectedAt
  }

  /** Calls back after each change. */
  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** The prefix of the mirrored objects. */
  get prefix (): string {
    return this.#settings.prefix
  }

  /** Sets the function that returns this mirror's role; it is called before each watch. */
  setRole (role: () => MirrorRole): void {
    this.#role = role
  }

  /** Sets the function with which a follower asks a relay for the age of its copy. */
  setRelayQuery (askRelay: () => Promise<MirrorAge>): void {
    this.#askRelay = askRelay
  }

  /** Calls back after each list or watch call of this mirror, even if nothing has changed. */
  onUpdate (listener: (update: MirrorUpdate) => void): void {
    this.#updateListeners.push(listener)
  }

  /** Age of a copy at which relays are no longer relied on, in milliseconds. */
  get #relaySilenceMs (): number {
    return this.#settings.noticeMs * RELAY_SILENCE_SHARE
  }

  /** Position in the store's history up to which this copy is known; undefined before the first listing. */
  get next (): string | undefined {
    return this.#cursor
  }

  /**
   * Applies an update from a relay. After an update that leaves a gap, this mirror
   * lists the objects itself; an update older than this copy is ignored.
   */
  applyUpdate (update: MirrorUpdate): void {
    const own = Number(this.#cursor ?? -1)
    const isNewer = Number(update.next) > own
    if (this.#cursor === undefined || (update.base !== undefined && Number(update.base) > own)) {
      void this.refresh()
      return
    }
    if (Number(update.next) < own) return
    const now = monotonicNow()
    this.#confirmedAt = Math.max(this.#confirmedAt, suspendAwareNow() - update.ageMs)
    if (update.regainedMs !== undefined) this.#reconnectedAt = Math.max(this.#reconnectedAt, now - update.regainedMs)
    if (update.ageMs < this.#relaySilenceMs) this.#setConnected(true)
    if (!isNewer) return
    this.#cursor = update.next
    if (update.base === undefined) this.#objects.clear()
    this.#applyChanges(update.changes)
    this.#notifyListeners()
  }

  /** Starts to follow the store, without waiting for the first listing. */
  start (): void {
    this.#generation += 1
    void this.#follow(this.#generation)
  }

  /** Stops following the store; the copy is kept. */
  stop (): void {
    this.#generation += 1
  }

  /**
   * Lists the objects now, for a decision that must not be based on an old copy.
   * Overlapping calls share one list call.
   *
   * @returns whether the copy is current
   */
  async refresh (): Promise<boolean> {
    this.#refreshing ??= this.#listObjects().finally(() => {
      this.#refreshing = undefined
    })
    return await this.#refreshing
  }

  /**
   * Advances {@link currentAt}: a follower asks a relay, all others list the objects.
   *
   * @returns whether the copy is current
   */
  async confirm (): Promise<boolean> {
    const askedAt = readMoment()
    const { next, ageMs = Infinity } = this.#role() === MirrorRole.Follower ? await this.#askRelay() : {}
    const isCopyOfRelay = next !== undefined && Number(this.#cursor ?? -1) >= Number(next)
    if (!isCopyOfRelay || ageMs >= this.#relaySilenceMs) return await this.refresh()
    this.#recordCurrent(askedAt, -ageMs)
    return true
  }

  async #follow (generation: number): Promise<void> {
    while (this.#generation === generation) {
      const freshForMs = this.#relaySilenceMs - this.ageMs
      if (this.#cursor !== undefined && freshForMs > 0 && this.#role() === MirrorRole.Follower) {
        await SYSTEM_CLOCK.sleep(freshForMs)
        continue
      }
      let current = this.#cursor === undefined ? await this.refresh() : await this.#watchOnce(this.#cursor)
      // The store may cut a waiting watch off while it serves all other calls.
      if (!current && this.#mayBeServed) current = await this.refresh()
      if (this.#generation !== generation) return
      if (!current) this.#setConnected(false)
      if (current) this.#backoff.reset()
      else await SYSTEM_CLOCK.sleep(this.#backoff.nextDelayMs())
    }
  }

  /** Whether the failure of a watch alone is no sign of an outage in which entries can have expired. */
  get #mayBeServed (): boolean {
    return this.#connected === true && this.ageMs < (this.#settings.lapseMs ?? 0)
  }

  async #listObjects (): Promise<boolean> {
    const askedAt = readMoment()
    const answer = await this.#store.snapshot(this.#settings.prefix, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(LIST_TIMEOUT_MS) })
    if (!answer.ok) return false
    this.#recordCurrent(askedAt, 0)
    if (this.#cursor !== undefined && Number(answer.value.next) < Number(this.#cursor)) return true
    this.#objects.clear()
    for (const object of answer.value.objects) this.#objects.set(object.key, object)
    this.#cursor = answer.value.next
    this.#confirmedAt = askedAt.aware
    this.#setConnected(true)
    this.#publishUpdate(undefined, [...this.#objects.values()])
    this.#notifyListeners()
    return true
  }

  async #watchOnce (after: string): Promise<boolean> {
    const { prefix } = this.#settings
    const isRelay = this.#role() === MirrorRole.Relay
    const periodMs = isRelay ? this.#settings.noticeMs * RELAY_PERIOD_SHARE : Infinity
    const waitMs = Math.min(periodMs, this.#settings.waitMs)
    const changePauseMs = Math.min(periodMs, this.#settings.changePauseMs)
    const askedAt = readMoment()
    const answer = await this.#store.watch(prefix, after, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(waitMs + WATCH_SLACK_MS) })
    if (!answer.ok) {
      return answer.failure === StoreFailure.HistoryLost && await this.refresh()
    }
    this.#confirmedAt = suspendAwareNow()
    this.#setConnected(true)
    if (this.#cursor !== after) return true
    this.#cursor = answer.value.next
    // The store gives an answer without changes only once the wait is over.
    const isWaitOver = answer.value.changes.length === 0 && monotonicNow() >= askedAt.steady + waitMs
    this.#recordCurrent(askedAt, isWaitOver ? waitMs - WATCH_ROUNDING_MS : 0)
    this.#publishUpdate(after, answer.value.changes)
    if (answer.value.changes.length === 0) return true
    this.#applyChanges(answer.value.changes)
    this.#notifyListeners()
    await SYSTEM_CLOCK.sleep(changePauseMs)
    return true
  }

  /** Records that the copy contains every change up to some milliseconds after a moment, or before it if they are negative. */
  #recordCurrent ({ steady, aware }: Moment, afterMs: number): void {
    this.#currentAt = Math.max(this.#currentAt, steady + afterMs)
    this.#currentAtAware = Math.max(this.#currentAtAware, aware + afterMs)
  }

  #applyChanges (changes: readonly StoreChange[]): void {
    for (const { key, version, value } of changes) {
      if (value === undefined) this.#objects.delete(key)
      else this.#objects.set(key, { key, version, value })
    }
  }

  /** Passes the result of a list or watch call to the update listeners. */
  #publishUpdate (base: string | undefined, changes: readonly StoreChange[]): void {
    if (this.#cursor === undefined) return
    const now = monotonicNow()
    const update: MirrorUpdate = {
      prefix: this.#settings.prefix,
      ...(base === undefined ? {} : { base }),
      next: this.#cursor,
      changes: [...changes],
      ageMs: Math.max(0, this.ageMs),
      ...(this.#reconnectedAt === -Infinity ? {} : { regainedMs: now - this.#reconnectedAt })
    }
    for (const listener of this.#updateListeners) listener(update)
  }

  #notifyListeners (): void {
    for (const listener of this.#listeners) listener()
  }

  #setConnected (connected: boolean): void {
    if (this.#connected === connected) return
    const event = connected ? LogEvent.DependencyRegained : LogEvent.DependencyLost
    this.#log.record(event, { dependency: 'store', prefix: this.#settings.prefix, ageMs: Math.round(this.ageMs) })
    if (connected && this.#connected === false) this.#reconnectedAt = monotonicNow()
    this.#connected = connected
  }
}

/** One moment by both clocks, in milliseconds. */
interface Moment {
  readonly steady: number
  /** By the clock that counts suspends. */
  readonly aware: number
}

function readMoment (): Moment {
  return { steady: monotonicNow(), aware: suspendAwareNow() }
}
