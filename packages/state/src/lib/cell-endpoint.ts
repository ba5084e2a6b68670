import { invariant } from './invariant.js'
import { PrefixMemory } from './prefix-memory.js'
import type { Endpoint } from './catalogue.js'
import type { SlotGrant, SlotRequest } from './cell-event.js'

/** Time from a grant until its request must show in the endpoint's load, in milliseconds. */
export const START_GRACE_MS = 5_000

/** Time from the end of a request until its release must have arrived, in milliseconds. */
export const RELEASE_GRACE_MS = 2_000

/** How long a load report counts when no newer one comes, in milliseconds. */
const REPORT_TTL_MS = 60_000

/** Ended slots remembered, to tell own work from unknown work in a late report. */
const MAX_ENDED_SLOTS = 4_096

/** First pause after an endpoint was lost, in milliseconds; doubled with each further loss. */
const INITIAL_BACK_OFF_MS = 1_000

/** Longest pause after an endpoint was lost, in milliseconds. */
const MAX_BACK_OFF_MS = 30_000

/** A slot that was granted and not yet released. */
export interface HeldSlot {
  readonly grant: SlotGrant
  readonly request: SlotRequest
  /** For an adopted slot the time of its adoption; it was granted at some time before. */
  readonly grantedAt: number
  /** Whether an earlier owner of the cell granted it. */
  readonly adopted: boolean
}

/** A load report that waits until releases on their way must have arrived. */
interface PendingReport {
  readonly running: number
  readonly observedAt: number
}

/** The time for which an ended slot was held. */
interface EndedSlot {
  readonly grantedAt: number
  readonly endedAt: number
}

/**
 * One endpoint of a cell: its held slots, what else runs there, and whether it
 * may be given work.
 *
 * Invariant: a grant is only made on a free slot. Slots adopted from an earlier
 * owner may exceed the endpoint's slots; then nothing is granted until they end.
 */
export class CellEndpoint {
  endpoint: Endpoint
  leaving = false
  readonly held = new Map<string, HeldSlot>()
  readonly prefixes = new PrefixMemory()
  /** Work that runs there without a slot of this cell, by the last report. */
  #unaccountedWork = 0
  #unaccountedUntil = 0
  #pendingReport: PendingReport | undefined
  #endedSlots: EndedSlot[] = []
  /** Set from the loss of the endpoint until there is proof that it is back. */
  #lostAt: number | undefined
  #losses = 0
  #reportsLoad = false

  constructor (endpoint: Endpoint) {
    this.endpoint = endpoint
  }

  get busySlots (): number {
    return this.held.size
  }

  /** Slots that may be granted now; none while the endpoint is leaving or lost. */
  freeSlots (now: number): number {
    if (this.leaving) return 0
    const slots = this.#lostAt === undefined ? this.endpoint.slots : this.#probeSlots(now, this.#lostAt)
    return Math.max(0, slots - this.busySlots - this.unaccountedWork(now))
  }

  /** Whether it may be given work once slots are free. */
  isUsable (now: number): boolean {
    return !this.leaving && (this.#lostAt === undefined || this.freeSlots(now) > 0)
  }

  /** Work there that is not this cell's, as far as known. */
  unaccountedWork (now: number): number {
    return now <= this.#unaccountedUntil ? this.#unaccountedWork : 0
  }

  /** Takes a slot, whether it was granted here or by an earlier owner. */
  addSlot (slot: HeldSlot, now: number): void {
    invariant(slot.adopted || this.freeSlots(now) > 0, 'a slot is only granted where one is free')
    this.held.set(slot.grant.slotId, slot)
    this.prefixes.remember(slot.request.prefix, now)
  }

  /** Gives a slot back. */
  removeSlot (slot: HeldSlot, now: number): void {
    this.held.delete(slot.grant.slotId)
    this.#endedSlots.push({ grantedAt: earliestStart(slot), endedAt: now })
    if (this.#endedSlots.length > MAX_ENDED_SLOTS) this.#endedSlots = this.#endedSlots.slice(-MAX_ENDED_SLOTS / 2)
  }

  /** The endpoint answered a request to its end. */
  markAvailable (): void {
    this.#lostAt = undefined
    this.#losses = 0
  }

  /** A gateway lost the endpoint. */
  markLost (now: number): void {
    if (this.#lostAt === undefined) this.#losses += 1
    this.#lostAt = now
    this.prefixes.clear()
  }

  /** Keeps a load report until it can be judged. */
  addReport (running: number, observedAt: number): void {
    this.#reportsLoad = true
    if (this.#lostAt !== undefined && observedAt > this.#lostAt) this.markAvailable()
    if (this.#pendingReport === undefined || this.#pendingReport.observedAt + RELEASE_GRACE_MS < observedAt) this.#pendingReport = { running, observedAt }
  }

  /**
   * Judges the report that waits, once every release of what had ended by then
   * must have arrived.
   *
   * @returns slots that the endpoint did not run, to be taken back
   */
  evaluateReport (now: number): HeldSlot[] {
    const report = this.#pendingReport
    if (report === undefined || now - report.observedAt < RELEASE_GRACE_MS) return []
    this.#pendingReport = undefined
    this.#unaccountedWork = Math.max(0, report.running - this.#maxOwnSlotsAt(report.observedAt))
    this.#unaccountedUntil = report.observedAt + REPORT_TTL_MS
    const dueSlots = [...this.held.values()].filter((slot) => slot.grantedAt <= report.observedAt - START_GRACE_MS)
    const missingCount = Math.max(0, dueSlots.length - report.running)
    return dueSlots.sort((a, b) => a.grantedAt - b.grantedAt).slice(0, missingCount)
  }

  /** After a pause, a lost endpoint that reports no load is tried with one request at a time. */
  #probeSlots (now: number, lostAt: number): number {
    const pause = Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** (this.#losses - 1))
    return !this.#reportsLoad && now - lostAt >= pause ? 1 : 0
  }

  /** Most slots of this cell that can have run when a report was taken. */
  #maxOwnSlotsAt (observedAt: number): number {
    this.#endedSlots = this.#endedSlots.filter((slot) => slot.endedAt >= observedAt - RELEASE_GRACE_MS)
    const ended = this.#endedSlots.filter((slot) => slot.grantedAt <= observedAt + RELEASE_GRACE_MS)
    const held = [...this.held.values()].filter((slot) => earliestStart(slot) <= observedAt + RELEASE_GRACE_MS)
    return ended.length + held.length
  }
}

/** From when on a slot may have shown in the endpoint's load. */
function earliestStart (slot: HeldSlot): number {
  return slot.adopted ? -Infinity : slot.grantedAt
}
