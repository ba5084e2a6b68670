import { invariant } from './invariant.js'
import { PrefixMemory } from './prefix-memory.js'
import type { Endpoint } from './catalogue.js'
import type { SlotGrant, SlotRequest } from './cell-event.js'

/** Time from a grant until its request must appear in the endpoint's load, in milliseconds. */
export const START_GRACE_MS = 5_000

/** Time from the end of a request until its release must have arrived at the cell, in milliseconds. */
export const RELEASE_GRACE_MS = 2_000

/** How long a load report is used if no newer one arrives, in milliseconds. */
const REPORT_TTL_MS = 60_000

/** Maximum number of ended slots kept to tell the cell's own work from other work in a late report. */
const MAX_ENDED_SLOTS = 4_096

/** Initial back-off after an endpoint was lost, in milliseconds; doubles with each further loss. */
const INITIAL_BACK_OFF_MS = 1_000

/** Maximum back-off after an endpoint was lost, in milliseconds. */
const MAX_BACK_OFF_MS = 30_000

/** A slot that was granted and has not been released. */
export interface HeldSlot {
  readonly grant: SlotGrant
  readonly request: SlotRequest
  /** Time of the grant; for an adopted slot the time of its adoption, which is later than the grant. */
  readonly grantedAt: number
  /** Whether the slot was granted by a previous owner of the cell. */
  readonly adopted: boolean
}

/** A load report that is held back until releases in flight must have arrived. */
interface PendingReport {
  readonly running: number
  readonly observedAt: number
}

/** Period for which an ended slot was held. */
interface EndedSlot {
  readonly grantedAt: number
  readonly endedAt: number
}

/**
 * One endpoint of a cell: its held slots, the load that other clients put on it,
 * and whether it may be given work.
 *
 * Invariant: only free slots are granted. Slots adopted from a previous owner may
 * exceed the endpoint's capacity; then nothing is granted until they end.
 */
export class CellEndpoint {
  endpoint: Endpoint
  leaving = false
  readonly held = new Map<string, HeldSlot>()
  readonly prefixes = new PrefixMemory()
  /** Requests that run on the endpoint without a slot of this cell, by the last report. */
  #unaccountedWork = 0
  #unaccountedUntil = 0
  #pendingReport: PendingReport | undefined
  #endedSlots: EndedSlot[] = []
  /** Set when the endpoint is lost, cleared once it is known to be available again. */
  #lostAt: number | undefined
  #losses = 0
  #reportsLoad = false

  constructor (endpoint: Endpoint) {
    this.endpoint = endpoint
  }

  get busySlots (): number {
    return this.held.size
  }

  /** Number of slots that may be granted now; 0 while the endpoint is leaving or lost. */
  freeSlots (now: number): number {
    if (this.leaving) return 0
    const slots = this.#lostAt === undefined ? this.endpoint.slots : this.#probeSlots(now, this.#lostAt)
    return Math.max(0, slots - this.busySlots - this.unaccountedWork(now))
  }

  /** Whether the endpoint may be given work as soon as a slot is free. */
  isUsable (now: number): boolean {
    return !this.leaving && (this.#lostAt === undefined || this.freeSlots(now) > 0)
  }

  /** Number of requests on the endpoint that are not this cell's, by the last valid report. */
  unaccountedWork (now: number): number {
    return now <= this.#unaccountedUntil ? this.#unaccountedWork : 0
  }

  /** Adds a held slot, granted by this cell or adopted from a previous owner. */
  addSlot (slot: HeldSlot, now: number): void {
    invariant(slot.adopted || this.freeSlots(now) > 0, 'a slot is only granted where one is free')
    this.held.set(slot.grant.slotId, slot)
    this.prefixes.remember(slot.request.prefix, now)
  }

  /** Removes a slot that ended. */
  removeSlot (slot: HeldSlot, now: number): void {
    this.held.delete(slot.grant.slotId)
    this.#endedSlots.push({ grantedAt: earliestStart(slot), endedAt: now })
    if (this.#endedSlots.length > MAX_ENDED_SLOTS) this.#endedSlots = this.#endedSlots.slice(-MAX_ENDED_SLOTS / 2)
  }

  /** Records that the endpoint is available, for example because it completed a request. */
  markAvailable (): void {
    this.#lostAt = undefined
    this.#losses = 0
  }

  /** Records that a gateway lost its connection to the endpoint. */
  markLost (now: number): void {
    if (this.#lostAt === undefined) this.#losses += 1
    this.#lostAt = now
    this.prefixes.clear()
  }

  /** Stores a load report until it can be evaluated. */
  addReport (running: number, observedAt: number): void {
    this.#reportsLoad = true
    if (this.#lostAt !== undefined && observedAt > this.#lostAt) this.markAvailable()
    if (this.#pendingReport === undefined || this.#pendingReport.observedAt + RELEASE_GRACE_MS < observedAt) this.#pendingReport = { running, observedAt }
  }

  /**
   * Evaluates the pending report once the releases of all slots that had ended by
   * the time of the report must have arrived.
   *
   * @returns slots that the endpoint did not run, to be released
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

  /** Slots of a lost endpoint that reports no load: after the back-off it is probed with one request at a time. */
  #probeSlots (now: number, lostAt: number): number {
    const pause = Math.min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS * 2 ** (this.#losses - 1))
    return !this.#reportsLoad && now - lostAt >= pause ? 1 : 0
  }

  /** Upper bound of this cell's slots that were running when a report was taken. */
  #maxOwnSlotsAt (observedAt: number): number {
    this.#endedSlots = this.#endedSlots.filter((slot) => slot.endedAt >= observedAt - RELEASE_GRACE_MS)
    const ended = this.#endedSlots.filter((slot) => slot.grantedAt <= observedAt + RELEASE_GRACE_MS)
    const held = [...this.held.values()].filter((slot) => earliestStart(slot) <= observedAt + RELEASE_GRACE_MS)
    return ended.length + held.length
  }
}

/** Earliest time at which a slot may have appeared in the endpoint's load. */
function earliestStart (slot: HeldSlot): number {
  return slot.adopted ? -Infinity : slot.grantedAt
}
