import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { StoreFailure, StorePurpose } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import { LogEvent } from './event-log.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { MirrorUpdate, SnapshotStore, StoreChange, StoredObject } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'

/** Longest wait for a listing, in milliseconds. */
const LIST_MS = 1_500

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
  Alone = 'alone',
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
  readonly restMs: number
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
  #role: () => MirrorRole = () => MirrorRole.Alone
  readonly #backoff: Backoff
  #next: string | undefined
  #confirmedAt = -Infinity
  #connected: boolean | undefined
  #regainedAt = -Infinity
  /** Counts starts and stops, so that an earlier loop ends when its wait is over. */
  #life = 0
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
    return this.#next !== undefined
  }

  /** Monotonic milliseconds at which the copy was last known to be current. */
  get confirmedAt (): number {
    return this.#confirmedAt
  }

  /** Monotonic milliseconds at which the store came back after a failure. */
  get regainedAt (): number {
    return this.#regainedAt
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
    return this.#next
  }

  /**
   * Takes what a relay has seen. An update that leaves a gap makes this mirror
   * list the objects itself; one that is older than this copy changes nothing.
   */
  absorb (update: MirrorUpdate): void {
    const own = Number(this.#next ?? -1)
    const isNewer = Number(update.next) > own
    if (this.#next === undefined || (update.base !== undefined && Number(update.base) > own)) {
      void this.refresh()
      return
    }
    if (Number(update.next) < own) return
    const now = monotonicNow()
    this.#confirmedAt = Math.max(this.#confirmedAt, now - update.ageMs)
    if (update.regainedMs !== undefined) this.#regainedAt = Math.max(this.#regainedAt, now - update.regainedMs)
    if (update.ageMs < RELAY_SILENCE_MS) this.#noteConnection(true)
    if (!isNewer) return
    this.#next = update.next
    if (update.base === undefined) this.#objects.clear()
    this.#apply(update.changes)
    this.#tell()
  }

  /** Begins to follow; does not wait for the first listing. */
  start (): void {
    this.#life += 1
    void this.#follow(this.#life)
  }

  /** Stops following; the copy stays as it is. */
  stop (): void {
    this.#life += 1
  }

  /**
   * Lists the objects now, for a decision that must not rest on an old copy.
   * Calls that overlap share one listing.
   *
   * @returns whether the copy is current
   */
  async refresh (): Promise<boolean> {
    this.#refreshing ??= this.#list().finally(() => {
      this.#refreshing = undefined
    })
    return await this.#refreshing
  }

  async #follow (life: number): Promise<void> {
    while (this.#life === life) {
      const reliableMs = this.#confirmedAt + RELAY_SILENCE_MS - monotonicNow()
      if (this.#next !== undefined && reliableMs > 0 && this.#role() === MirrorRole.Follower) {
        await SYSTEM_CLOCK.sleep(reliableMs)
        continue
      }
      const current = this.#next === undefined ? await this.refresh() : await this.#watch(this.#next)
      if (this.#life !== life) return
      if (!current) this.#noteConnection(false)
      if (current) this.#backoff.reset()
      else await SYSTEM_CLOCK.sleep(this.#backoff.next())
    }
  }

  async #list (): Promise<boolean> {
    const askedAt = monotonicNow()
    const answer = await this.#store.snapshot(this.#settings.prefix, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(LIST_MS) })
    if (!answer.ok) return false
    if (this.#next !== undefined && Number(answer.value.next) < Number(this.#next)) return true
    this.#objects.clear()
    for (const object of answer.value.objects) this.#objects.set(object.key, object)
    this.#next = answer.value.next
    this.#confirmedAt = askedAt
    this.#noteConnection(true)
    this.#spread(undefined, [...this.#objects.values()])
    this.#tell()
    return true
  }

  async #watch (after: string): Promise<boolean> {
    const { prefix } = this.#settings
    const isRelay = this.#role() === MirrorRole.Relay
    const waitMs = isRelay ? Math.min(RELAY_PERIOD_MS, this.#settings.waitMs) : this.#settings.waitMs
    const restMs = isRelay ? Math.min(RELAY_PERIOD_MS, this.#settings.restMs) : this.#settings.restMs
    const answer = await this.#store.watch(prefix, after, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(waitMs + WATCH_SLACK_MS) })
    if (!answer.ok) {
      return answer.failure === StoreFailure.HistoryLost && await this.refresh()
    }
    this.#confirmedAt = monotonicNow()
    this.#noteConnection(true)
    if (this.#next !== after) return true
    this.#next = answer.value.next
    this.#spread(after, answer.value.changes)
    if (answer.value.changes.length === 0) return true
    this.#apply(answer.value.changes)
    this.#tell()
    await SYSTEM_CLOCK.sleep(restMs)
    return true
  }

  #apply (changes: readonly StoreChange[]): void {
    for (const { key, version, value } of changes) {
      if (value === undefined) this.#objects.delete(key)
      else this.#objects.set(key, { key, version, value })
    }
  }

  /** Tells those that rely on this mirror what it has just learned. */
  #spread (base: string | undefined, changes: readonly StoreChange[]): void {
    if (this.#next === undefined) return
    const now = monotonicNow()
    const update: MirrorUpdate = {
      prefix: this.#settings.prefix,
      ...(base === undefined ? {} : { base }),
      next: this.#next,
      changes: [...changes],
      ageMs: Math.max(0, now - this.#confirmedAt),
      ...(this.#regainedAt === -Infinity ? {} : { regainedMs: now - this.#regainedAt })
    }
    for (const listener of this.#updateListeners) listener(update)
  }

  #tell (): void {
    for (const listener of this.#listeners) listener()
  }

  #noteConnection (connected: boolean): void {
    if (this.#connected === connected) return
    const event = connected ? LogEvent.DependencyRegained : LogEvent.DependencyLost
    this.#log.record(event, { dependency: 'store', prefix: this.#settings.prefix, ageMs: Math.round(monotonicNow() - this.#confirmedAt) })
    if (connected && this.#connected === false) this.#regainedAt = monotonicNow()
    this.#connected = connected
  }
}
