import { isPredecessor, leaseDeadline, mayTakeOver } from '@cyclamenthread/state'
import { ExpectationKind, leaseKey, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import * as z from 'zod'
import { Periodic } from './periodic.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, LeaseRecord, LeaseObservation } from '@cyclamenthread/state'
import type { ObjectStore, StoredObject } from '@cyclamenthread/protocol'

const leaseSchema = z.object({ holder: z.string(), epoch: z.int().positive(), renewal: z.int().nonnegative(), released: z.boolean().optional() })

/** Share of the lease's duration after which it is renewed. */
const RENEWAL_SHARE = 1 / 3

/** Settings of a candidate for one lease. */
export interface LeaseSettings {
  readonly name: string
  /** Host id and incarnation. */
  readonly holder: string
  readonly leaseMs: number
  readonly storeTimeoutMs: number
  /** Whether this process should contend; a process that already holds the lease keeps renewing it. */
  readonly eligible?: () => boolean
}

/** A limited right to act as leader. */
export interface Leadership {
  readonly epoch: number
  /** Monotonic time in milliseconds from which on nothing may be sent. */
  readonly deadline: number
}

/**
 * Acquires and renews one lease in the store.
 *
 * Invariant: `leadership()` returns a value only until the lease, counted from
 * before its last confirmed write was sent, has expired.
 */
export class LeaseTask {
  readonly #settings: LeaseSettings
  readonly #store: ObjectStore
  readonly #clock: Clock
  readonly #renewalLoop: Periodic
  #observation: LeaseObservation | undefined
  #held: { readonly leadership: Leadership, readonly record: LeaseRecord, readonly version: string } | undefined

  constructor (settings: LeaseSettings, store: ObjectStore, clock: Clock = SYSTEM_CLOCK) {
    this.#settings = settings
    this.#store = store
    this.#clock = clock
    this.#renewalLoop = new Periodic(settings.leaseMs * RENEWAL_SHARE, async () => await this.renewOrContend())
  }

  async start (): Promise<void> {
    await this.#renewalLoop.start()
  }

  async stop (): Promise<void> {
    await this.#renewalLoop.stop()
  }

  /** Tries to take the lease now instead of after a pause; does nothing while this process holds it or hasn't started. */
  contend (): void {
    if (this.leadership() === undefined) this.#renewalLoop.wake()
  }

  /** Releases the lease, so that another process can take over at once. Nothing may be sent under it from then on. */
  async release (): Promise<void> {
    const held = this.#held
    this.#held = undefined
    if (held === undefined || this.#clock.now() >= held.leadership.deadline) return
    const record = { ...held.record, renewal: held.record.renewal + 1, released: true }
    await this.#store.write(leaseKey(this.#settings.name), record, { kind: ExpectationKind.Version, version: held.version }, this.#storeCall())
  }

  /**
   * Returns the leadership if this process holds it now. To be called in the same
   * turn of the event loop as the write that it permits.
   */
  leadership (): Leadership | undefined {
    const held = this.#held
    return held !== undefined && this.#clock.now() < held.leadership.deadline ? held.leadership : undefined
  }

  /**
   * Renews the lease once, or tries once to take it over.
   *
   * @internal
   */
  async renewOrContend (): Promise<void> {
    const held = this.#held
    if (held !== undefined && this.#clock.now() < held.leadership.deadline) await this.#renew(held.record, held.version)
    else await this.#contend()
  }

  async #renew (record: LeaseRecord, version: string): Promise<void> {
    await this.#writeRecord({ ...record, renewal: record.renewal + 1, released: undefined }, version)
  }

  async #contend (): Promise<void> {
    this.#held = undefined
    if (this.#settings.eligible?.() === false) return
    const found = await this.#store.read(leaseKey(this.#settings.name), this.#storeCall())
    if (!found.ok) return
    if (found.value === undefined) {
      await this.#writeRecord({ holder: this.#settings.holder, epoch: 1, renewal: 0 }, undefined)
      return
    }
    const observation = this.#recordObservation(found.value)
    if (observation === undefined) return
    const isFree = isPredecessor(observation.record, this.#settings.holder) || mayTakeOver(observation, this.#settings.leaseMs, this.#clock.now())
    if (!isFree) return
    await this.#writeRecord({ holder: this.#settings.holder, epoch: observation.record.epoch + 1, renewal: 0 }, observation.version)
  }

  #recordObservation (object: StoredObject): LeaseObservation | undefined {
    if (this.#observation?.version === object.version) return this.#observation
    const record = leaseSchema.safeParse(object.value).data
    this.#observation = record === undefined ? undefined : { record, version: object.version, firstSeenAt: this.#clock.now() }
    return this.#observation
  }

  /** Writes the record; if the outcome is unknown, the old deadline stays in force and the record is read back at once. */
  async #writeRecord (record: LeaseRecord, version: string | undefined): Promise<void> {
    const sentAt = this.#clock.now()
    const expectation = version === undefined
      ? { kind: ExpectationKind.Absent } as const
      : { kind: ExpectationKind.Version, version } as const
    const result = await this.#store.write(leaseKey(this.#settings.name), record, expectation, this.#storeCall())
    if (result.status === WriteStatus.Applied) {
      const leadership = { epoch: record.epoch, deadline: leaseDeadline(sentAt, this.#settings.leaseMs) }
      this.#held = { leadership, record, version: result.version }
      return
    }
    if (result.status !== WriteStatus.NotWritten) await this.#readBack(record, sentAt)
  }

  async #readBack (record: LeaseRecord, sentAt: number): Promise<void> {
    const found = await this.#store.read(leaseKey(this.#settings.name), this.#storeCall())
    if (!found.ok || found.value === undefined) return
    const current = leaseSchema.safeParse(found.value.value).data
    const own = current?.holder === record.holder && current.epoch === record.epoch
    if (!own) {
      this.#held = undefined
      return
    }
    // Either this write took effect or an earlier one of this process is still in place; only the former extends the deadline.
    const deadline = current.renewal === record.renewal ? leaseDeadline(sentAt, this.#settings.leaseMs) : this.#held?.leadership.deadline ?? 0
    this.#held = { leadership: { epoch: record.epoch, deadline }, record: current, version: found.value.version }
  }

  #storeCall (): { readonly purpose: StorePurpose, readonly deadline: number } {
    return { purpose: StorePurpose.Lease, deadline: this.#clock.now() + this.#settings.storeTimeoutMs }
  }
}
