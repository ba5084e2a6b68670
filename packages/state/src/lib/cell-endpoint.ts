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
const MAX_ENDED = 4_096

/** First pause after an endpoint was lost, in milliseconds; doubled with each further loss. */
const FIRST_PAUSE_MS = 1_000

/** Longest pause after an endpoint was lost, in milliseconds. */
const MAX_PAUSE_MS = 30_000

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
  #unknown = 0
  #unknownUntil = 0
  #pending: PendingReport | undefined
  #ended: EndedSlot[] = []
  /** Set from the loss of the endpoint until there is proof that it is back. */
  #lostAt: number | undefined
  #losses = 0
  #reports = false

  constructor (endpoint: Endpoint) {
    this.endpoint = endpoint
  }

  get busy (): number {
    return this.held.size
  }

  /** Slots that may be granted now; none while the endpoint is leaving or lost. */
  free (now: number): number {
    if (this.leaving) return 0
    const slots = this.#lostAt === undefined ? this.endpoint.slots : this.#trialSlots(now, this.#lostAt)
    return Math.max(0, slots - this.busy - this.unknown(now))
  }

  /** Whether it may be given work once slots are free. */
  isUsable (now: number): boolean {
    return !this.leaving && (this.#lostAt === undefined || this.free(now) > 0)
  }

  /** Work there that is not this cell's, as far as known. */
  unknown (now: number): number {
    return now <= this.#unknownUntil ? this.#unknown : 0
  }

  /** Takes a slot, whether it was granted here or by an earlier owner. */
  hold (slot: HeldSlot, now: number): void {
    invariant(slot.adopted || this.free(now) > 0, 'a slot is only granted where one is free')
    this.held.set(slot.grant.slotId, slot)
    this.prefixes.remember(slot.request.prefix, now)
  }

  /** Gives a slot back. */
  end (slot: HeldSlot, now: number): void {
    this.held.delete(slot.grant.slotId)
    this.#ended.push({ grantedAt: firstHeldAt(slot), endedAt: now })
    if (this.#ended.length > MAX_ENDED) this.#ended = this.#ended.slice(-MAX_ENDED / 2)
  }

  /** The endpoint answered a request to its end. */
  proven (): void {
    this.#lostAt = undefined
    this.#losses = 0
  }

  /** A gateway lost the endpoint. */
  lost (now: number): void {
    if (this.#lostAt === undefined) this.#losses += 1
    this.#lostAt = now
    this.prefixes.clear()
  }

  /** Keeps a load report until it can be judged. */
  report (running: number, observedAt: number): void {
    this.#reports = true
    if (this.#lostAt !== undefined && observedAt > this.#lostAt) this.proven()
    if (this.#pending === undefined || this.#pending.observedAt + RELEASE_GRACE_MS < observedAt) this.#pending = { running, observedAt }
  }

  /**
   * Judges the report that waits, once every release of what had ended by then
   * must have arrived.
   *
   * @returns slots that the endpoint did not run, to be taken back
   */
  judge (now: number): HeldSlot[] {
    const report = this.#pending
    if (report === undefined || now - report.observedAt < RELEASE_GRACE_MS) return []
    this.#pending = undefined
    this.#unknown = Math.max(0, report.running - this.#mineAt(report.observedAt))
    this.#unknownUntil = report.observedAt + REPORT_TTL_MS
    const due = [...this.held.values()].filter((slot) => slot.grantedAt <= report.observedAt - START_GRACE_MS)
    const absent = Math.max(0, due.length - report.running)
    return due.sort((a, b) => a.grantedAt - b.grantedAt).slice(0, absent)
  }

  /** After a pause, a lost endpoint that reports no load is tried with one request at a time. */
  #trialSlots (now: number, lostAt: number): number {
    const pause = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.#losses - 1))
    return !this.#reports && now - lostAt >= pause ? 1 : 0
  }

  /** Most slots of this cell that can have run when a report was taken. */
  #mineAt (observedAt: number): number {
    this.#ended = this.#ended.filter((slot) => slot.endedAt >= observedAt - RELEASE_GRACE_MS)
    const ended = this.#ended.filter((slot) => slot.grantedAt <= observedAt + RELEASE_GRACE_MS)
    const held = [...this.held.values()].filter((slot) => firstHeldAt(slot) <= observedAt + RELEASE_GRACE_MS)
    return ended.length + held.length
  }
}

/** From when on a slot may have shown in the endpoint's load. */
function firstHeldAt (slot: HeldSlot): number {
  return slot.adopted ? -Infinity : slot.grantedAt
}
