import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { StoreFailure, StorePurpose } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import { LogEvent } from './event-log.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { MirrorUpdate, SnapshotStore, StoreChange, StoredObject } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'

/** Longest wait for a listing, in milliseconds. */
const LIST_TIMEOUT_MS = 1_500

/** Time an answer may take beyond the wait that was asked for, in milliseconds. */
const WATCH_SLACK_MS = 800

/** How long a relay's watch waits, and its rest after a change, in milliseconds; each return of the watch tells followers that the copy is current. */
const RELAY_PERIOD_MS = 600

/**
 * Age of a copy at which a host stops relying on relays and watches by itself, in
 * milliseconds: a relay's rest, its watch and half of both again, which leaves
 * time for a listing of the 2.5 s in which a declaration has to be in force.
 */
export const RELAY_SILENCE_MS = 1_800

/** How a mirror learns of changes. */
export enum MirrorRole {
  /** It watches the store for itself alone. */
  Independent = 'alone',
  /** It watches the store for others too. */
  Relay = 'relay',
  /** Relays tell it; it watches the store only while they are silent. */
  Follower = 'follower'
}

/** How a mirror follows its prefix. */
export interface MirrorSettings {
  readonly prefix: string
  /** Longest that one watch waits, in milliseconds; also bounds how long a silent connection goes unnoticed. */
  readonly waitMs: number
  /** Pause after a change before the next is asked for, so that changes in a row cost one call, in milliseconds. */
  readonly changePauseMs: number
}

/**
 * Keeps a copy of the objects under one prefix: lists them, then follows the
 * changes, and lists anew whenever the history between is gone.
 *
 * Invariants: the copy only moves on to newer states; while the store can't be
 * reached the last state stays, with its age.
 */
export class StoreMirror {
  readonly #settings: MirrorSettings
  readonly #store: SnapshotStore
  readonly #log: EventLog
  readonly #objects = new Map<string, StoredObject>()
  readonly #listeners: Array<() => void> = []
  readonly #updateListeners: Array<(update: MirrorUpdate) => void> = []
  #role: () => MirrorRole = () => MirrorRole.Independent
  readonly #backoff: Backoff
  #cursor: string | undefined
  #confirmedAt = -Infinity
  #connected: boolean | undefined
  #reconnectedAt = -Infinity
  /** Counts starts and stops, so that an earlier loop ends when its wait is over. */
  #generation = 0
  #refreshing: Promise<boolean> | undefined

  constructor (settings: MirrorSettings, store: SnapshotStore, log: EventLog, random: () => number = Math.random) {
    this.#settings = settings
    this.#store = store
    this.#log = log
    this.#backoff = new Backoff(random)
  }

  /** The objects as they were last known. */
  objects (): readonly StoredObject[] {
    return [...this.#objects.values()]
  }

  /** Whether the objects were ever listed. */
  get loaded (): boolean {
    return this.#cursor !== undefined
  }

  /** Monotonic milliseconds at which the copy was last known to be current. */
  get confirmedAt (): number {
    return this.#confirmedAt
  }

  /** Monotonic milliseconds at which the store came back after a failure. */
  get reconnectedAt (): number {
    return this.#reconnectedAt
  }

  /** Calls back after each change. */
  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** The prefix that is followed. */
  get prefix (): string {
    return this.#settings.prefix
  }

  /** Sets how changes are learned; asked anew before each watch. */
  setRole (role: () => MirrorRole): void {
    this.#role = role
  }

  /** Calls back with what this mirror has seen at the store itself, also when nothing has changed. */
  onUpdate (listener: (update: MirrorUpdate) => void): void {
    this.#updateListeners.push(listener)
  }

  /** Point of the store's history up to which this copy is known; undefined before the first listing. */
  get next (): string | undefined {
    return this.#cursor
  }

  /**
   * Takes what a relay has seen. An update that leaves a gap makes this mirror
   * list the objects itself; one that is older than this copy changes nothing.
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
    this.#confirmedAt = Math.max(this.#confirmedAt, now - update.ageMs)
    if (update.regainedMs !== undefined) this.#reconnectedAt = Math.max(this.#reconnectedAt, now - update.regainedMs)
    if (update.ageMs < RELAY_SILENCE_MS) this.#setConnected(true)
    if (!isNewer) return
    this.#cursor = update.next
    if (update.base === undefined) this.#objects.clear()
    this.#applyChanges(update.changes)
    this.#notifyListeners()
  }

  /** Begins to follow; does not wait for the first listing. */
  start (): void {
    this.#generation += 1
    void this.#follow(this.#generation)
  }

  /** Stops following; the copy stays as it is. */
  stop (): void {
    this.#generation += 1
  }

  /**
   * Lists the objects now, for a decision that must not rest on an old copy.
   * Calls that overlap share one listing.
   *
   * @returns whether the copy is current
   */
  async refresh (): Promise<boolean> {
    this.#refreshing ??= this.#listObjects().finally(() => {
      this.#refreshing = undefined
    })
    return await this.#refreshing
  }

  async #follow (generation: number): Promise<void> {
    while (this.#generation === generation) {
      const freshForMs = this.#confirmedAt + RELAY_SILENCE_MS - monotonicNow()
      if (this.#cursor !== undefined && freshForMs > 0 && this.#role() === MirrorRole.Follower) {
        await SYSTEM_CLOCK.sleep(freshForMs)
        continue
      }
      const current = this.#cursor === undefined ? await this.refresh() : await this.#watchOnce(this.#cursor)
      if (this.#generation !== generation) return
      if (!current) this.#setConnected(false)
      if (current) this.#backoff.reset()
      else await SYSTEM_CLOCK.sleep(this.#backoff.nextDelayMs())
    }
  }

  async #listObjects (): Promise<boolean> {
    const askedAt = monotonicNow()
    const answer = await this.#store.snapshot(this.#settings.prefix, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(LIST_TIMEOUT_MS) })
    if (!answer.ok) return false
    if (this.#cursor !== undefined && Number(answer.value.next) < Number(this.#cursor)) return true
    this.#objects.clear()
    for (const object of answer.value.objects) this.#objects.set(object.key, object)
    this.#cursor = answer.value.next
    this.#confirmedAt = askedAt
    this.#setConnected(true)
    this.#publishUpdate(undefined, [...this.#objects.values()])
    this.#notifyListeners()
    return true
  }

  async #watchOnce (after: string): Promise<boolean> {
    const { prefix } = this.#settings
    const isRelay = this.#role() === MirrorRole.Relay
    const waitMs = isRelay ? Math.min(RELAY_PERIOD_MS, this.#settings.waitMs) : this.#settings.waitMs
    const changePauseMs = isRelay ? Math.min(RELAY_PERIOD_MS, this.#settings.changePauseMs) : this.#settings.changePauseMs
    const answer = await this.#store.watch(prefix, after, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(waitMs + WATCH_SLACK_MS) })
    if (!answer.ok) {
      return answer.failure === StoreFailure.HistoryLost && await this.refresh()
    }
    this.#confirmedAt = monotonicNow()
    this.#setConnected(true)
    if (this.#cursor !== after) return true
    this.#cursor = answer.value.next
    this.#publishUpdate(after, answer.value.changes)
    if (answer.value.changes.length === 0) return true
    this.#applyChanges(answer.value.changes)
    this.#notifyListeners()
    await SYSTEM_CLOCK.sleep(changePauseMs)
    return true
  }

  #applyChanges (changes: readonly StoreChange[]): void {
    for (const { key, version, value } of changes) {
      if (value === undefined) this.#objects.delete(key)
      else this.#objects.set(key, { key, version, value })
    }
  }

  /** Tells those that rely on this mirror what it has just learned. */
  #publishUpdate (base: string | undefined, changes: readonly StoreChange[]): void {
    if (this.#cursor === undefined) return
    const now = monotonicNow()
    const update: MirrorUpdate = {
      prefix: this.#settings.prefix,
      ...(base === undefined ? {} : { base }),
      next: this.#cursor,
      changes: [...changes],
      ageMs: Math.max(0, now - this.#confirmedAt),
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
    this.#log.record(event, { dependency: 'store', prefix: this.#settings.prefix, ageMs: Math.round(monotonicNow() - this.#confirmedAt) })
    if (connected && this.#connected === false) this.#reconnectedAt = monotonicNow()
    this.#connected = connected
  }
}
