import { formerHostsAfter, leaseDeadline, leaseWaitMs, takeoverGround, TakeoverGround } from '@cyclamenthread/state'
import { ExpectationKind, leaseKey, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import * as z from 'zod'
import { LogEvent } from './event-log.js'
import { Periodic } from './periodic.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, LeaseRecord, LeaseObservation } from '@cyclamenthread/state'
import type { ObjectStore, StoredObject } from '@cyclamenthread/protocol'
import type { EventLog, LogFields } from './event-log.js'

const leaseSchema = z.object({
  holder: z.string(),
  epoch: z.int().positive(),
  renewal: z.int().nonnegative(),
  released: z.boolean().optional(),
  formerHosts: z.array(z.string()).optional()
})

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
  readonly log?: EventLog
}

/** Why a process no longer holds a lease. */
enum LeaseEnd {
  /** It was not renewed in time. */
  Lapsed = 'lapsed',
  /** The store has another record than the one that was written. */
  Replaced = 'replaced',
  Released = 'released'
}

/** A lease as this process holds it. */
interface HeldLease {
  readonly record: LeaseRecord
  readonly version: string
  /** Monotonic time at which this process knew that its takeover had taken effect, in milliseconds. */
  readonly heldSince: number
  /** Time before the write that the lease counts from. */
  readonly sentAt: ClockReading
}

/** One moment by each clock of the process, in milliseconds. */
interface ClockReading {
  readonly steady: number
  readonly elapsed: number
  readonly wall: number
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
 * before its last confirmed write was sent, has expired. The right to act ends by
 * the clock that counts most, and a wait by the clock that counts least: of a
 * machine that was suspended, the steady clock shows too little time.
 */
export class LeaseTask {
  readonly #settings: LeaseSettings
  readonly #store: ObjectStore
  readonly #clock: Clock
  readonly #renewalLoop: Periodic
  #observation: LeaseObservation | undefined
  #held: HeldLease | undefined
  /** The last record that this process has read or written. */
  #lastRecord: LeaseRecord | undefined
  /** Highest epoch that this process has read or written. */
  #highestEpoch = 0
  /** When this process first found no record, in monotonic milliseconds. */
  #missingSince: number | undefined
  /** Number of the last record written; no two writes have the same, so that each can be told apart when it takes effect late. */
  #lastRenewal = 0
  /** When each write was sent whose outcome isn't known, by its renewal. */
  readonly #openWrites = new Map<number, ClockReading>()

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
    if (held === undefined || this.#remainingMs(held) <= 0) return
    this.#logEnd(held, LeaseEnd.Released)
    const record = { ...this.#nextRecord(held), released: true }
    await this.#store.write(leaseKey(this.#settings.name), record, { kind: ExpectationKind.Version, version: held.version }, this.#storeCall())
  }

  /**
   * Returns the leadership if this process holds it now; if it finds that the lease has just ended, it also starts the next renewal. To be called in the same
   * turn of the event loop as the write that it permits.
   */
  leadership (): Leadership | undefined {
    const held = this.#held
    if (held === undefined) return undefined
    const remainingMs = this.#remainingMs(held)
    if (remainingMs > 0) return { epoch: held.record.epoch, deadline: this.#clock.now() + remainingMs }
    // After a suspend, the timer of the next renewal has as much left as before.
    this.#renewalLoop.wake()
    return undefined
  }

  /**
   * Renews the lease once, or tries once to take it over.
   *
   * @internal
   */
  async renewOrContend (): Promise<void> {
    const held = this.#held
    if (held !== undefined && this.#remainingMs(held) > 0) await this.#writeRecord(this.#nextRecord(held), held.version)
    else await this.#contend()
  }

  /** The record of the next renewal; it names no former hosts any more once their acts lie further back than the lease. */
  #nextRecord ({ record, heldSince }: Pick<HeldLease, 'record' | 'heldSince'>): LeaseRecord {
    const isLongHeld = this.#clock.now() - heldSince > leaseWaitMs(this.#settings.leaseMs)
    return { ...record, renewal: this.#nextRenewal(), released: undefined, formerHosts: isLongHeld ? undefined : record.formerHosts }
  }

  #nextRenewal (): number {
    this.#lastRenewal += 1
    return this.#lastRenewal
  }

  async #contend (): Promise<void> {
    if (this.#held !== undefined) this.#logEnd(this.#held, LeaseEnd.Lapsed)
    this.#held = undefined
    if (this.#settings.eligible?.() === false) return
    const found = await this.#store.read(leaseKey(this.#settings.name), this.#storeCall())
    if (!found.ok) return
    if (found.value === undefined) {
      await this.#contendWithoutRecord()
      return
    }
    this.#missingSince = undefined
    const observation = this.#recordObservation(found.value)
    if (observation === undefined) return
    const ground = takeoverGround(observation, this.#settings.holder, this.#settings.leaseMs, this.#clock.now())
    if (ground === undefined) return
    const { record } = observation
    const next = ground === TakeoverGround.Lapsed ? this.#nextRecord({ record, heldSince: this.#clock.now() }) : this.#firstRecord(record)
    await this.#take(next, ground, observation)
  }

  /** Creates the record; if this process knows of an earlier one, the holder of that one may still act. */
  async #contendWithoutRecord (): Promise<void> {
    const now = this.#clock.now()
    this.#missingSince ??= now
    if (this.#lastRecord !== undefined && now - this.#missingSince <= leaseWaitMs(this.#settings.leaseMs)) return
    await this.#take(this.#firstRecord(this.#lastRecord), TakeoverGround.Missing, undefined)
  }

  /** The record with which this process takes over from the holder of another. */
  #firstRecord (former: LeaseRecord | undefined): LeaseRecord {
    const { holder } = this.#settings
    const formerHosts = former === undefined ? undefined : formerHostsAfter(former, holder)
    return { holder, epoch: this.#highestEpoch + 1, renewal: this.#nextRenewal(), formerHosts }
  }

  #remember (record: LeaseRecord): void {
    this.#lastRecord = record
    this.#highestEpoch = Math.max(this.#highestEpoch, record.epoch)
  }

  async #take (record: LeaseRecord, ground: TakeoverGround, former: LeaseObservation | undefined): Promise<void> {
    const unchangedMs = former === undefined ? undefined : this.#clock.now() - former.firstSeenAt
    await this.#writeRecord(record, former?.version)
    const isHeld = this.#held !== undefined
    this.#log(LogEvent.LeaseTaken, { ground, isHeld, fence: record.epoch, holder: former?.record.holder, formerFence: former?.record.epoch, formerHosts: record.formerHosts, unchangedMs })
  }

  #recordObservation ({ value, version }: StoredObject): LeaseObservation | undefined {
    const last = this.#observation
    if (last?.version === version) return last
    const record = leaseSchema.safeParse(value).data
    const firstSeenAt = this.#clock.now()
    const isSameEpoch = last !== undefined && last.record.epoch === record?.epoch && last.record.holder === record.holder
    const epochSeenAt = isSameEpoch ? last.epochSeenAt : firstSeenAt
    if (record !== undefined) this.#remember(record)
    this.#observation = record === undefined ? undefined : { record, version, firstSeenAt, epochSeenAt }
    return this.#observation
  }

  /** Writes the record; if the outcome is unknown, the lease is counted as before and the record is read back at once. */
  async #writeRecord (record: LeaseRecord, version: string | undefined): Promise<void> {
    const sentAt = this.#readClocks()
    const expectation = version === undefined
      ? { kind: ExpectationKind.Absent } as const
      : { kind: ExpectationKind.Version, version } as const
    const result = await this.#store.write(leaseKey(this.#settings.name), record, expectation, this.#storeCall())
    if (result.status === WriteStatus.Applied) {
      const heldSince = this.#held?.heldSince ?? this.#clock.now()
      this.#held = { record, version: result.version, heldSince, sentAt }
      this.#openWrites.clear()
      this.#remember(record)
      return
    }
    if (result.status === WriteStatus.NotWritten) return
    this.#openWrites.set(record.renewal, sentAt)
    await this.#readBack(record)
  }

  async #readBack (record: LeaseRecord): Promise<void> {
    const found = await this.#store.read(leaseKey(this.#settings.name), this.#storeCall())
    if (!found.ok || found.value === undefined) return
    const current = leaseSchema.safeParse(found.value.value).data
    this.#log(LogEvent.LeaseReadBack, { fence: record.epoch, renewal: record.renewal, holder: current?.holder, foundFence: current?.epoch, foundRenewal: current?.renewal, released: current?.released })
    const own = current?.holder === record.holder && current.epoch === record.epoch && current.released !== true
    const held = this.#held
    if (current !== undefined) this.#remember(current)
    if (!own) {
      if (held !== undefined) this.#logEnd(held, LeaseEnd.Replaced, current?.holder)
      this.#held = undefined
      this.#openWrites.clear()
      return
    }
    // The lease counts from the write that is in place, be it this one, an earlier one that took effect late, or the last confirmed one.
    const countedFrom = this.#openWrites.get(current.renewal) ?? held?.sentAt
    const heldSince = held?.heldSince ?? this.#clock.now()
    this.#held = countedFrom === undefined ? undefined : { record: current, version: found.value.version, heldSince, sentAt: countedFrom }
  }

  /** How much longer this process may act, in milliseconds; negative once the lease has ended. */
  #remainingMs ({ sentAt }: HeldLease): number {
    const { leaseMs } = this.#settings
    return Math.min(leaseDeadline(sentAt.steady, leaseMs) - this.#clock.now(), leaseDeadline(sentAt.elapsed, leaseMs) - this.#clock.elapsed())
  }

  #readClocks (): ClockReading {
    return { steady: this.#clock.now(), elapsed: this.#clock.elapsed(), wall: this.#clock.wall() }
  }

  #logEnd (held: HeldLease, reason: LeaseEnd, holder?: string): void {
    const steadyMs = this.#clock.now() - held.sentAt.steady
    const wallMs = this.#clock.wall() - held.sentAt.wall
    this.#log(LogEvent.LeaseEnded, { reason, fence: held.record.epoch, renewal: held.record.renewal, steadyMs, wallMs, holder })
  }

  #log (event: LogEvent, fields: LogFields): void {
    this.#settings.log?.record(event, { lease: this.#settings.name, ...fields })
  }

  #storeCall (): { readonly purpose: StorePurpose, readonly deadline: number } {
    return { purpose: StorePurpose.Lease, deadline: this.#clock.now() + this.#settings.storeTimeoutMs }
  }
}
