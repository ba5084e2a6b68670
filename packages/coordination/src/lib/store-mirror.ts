import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { StoreFailure, StorePurpose } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import { LogEvent } from './event-log.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { SnapshotStore, StoredObject } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'

/** Longest wait for a listing, in milliseconds. */
const LIST_MS = 1_500

/** Time an answer may take beyond the wait that was asked for, in milliseconds. */
const WATCH_SLACK_MS = 800

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
    this.#tell()
    return true
  }

  async #watch (after: string): Promise<boolean> {
    const { prefix, waitMs, restMs } = this.#settings
    const answer = await this.#store.watch(prefix, after, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(waitMs + WATCH_SLACK_MS) })
    if (!answer.ok) {
      return answer.failure === StoreFailure.HistoryLost && await this.refresh()
    }
    this.#confirmedAt = monotonicNow()
    this.#noteConnection(true)
    if (this.#next !== after) return true
    this.#next = answer.value.next
    if (answer.value.changes.length === 0) return true
    for (const change of answer.value.changes) {
      if (change.value === undefined) this.#objects.delete(change.key)
      else this.#objects.set(change.key, { key: change.key, version: change.version, value: change.value })
    }
    this.#tell()
    await SYSTEM_CLOCK.sleep(restMs)
    return true
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
