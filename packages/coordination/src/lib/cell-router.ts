import { layCells, notRun, RefusalReason } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, timeLeft } from '@cyclamenthread/transport'
import { cellOwner } from './dispatcher-task.js'
import { Periodic } from './periodic.js'
import type { CellPlacement, CellSummary, Endpoint, Refusal, SlotEnd, WorkClass } from '@cyclamenthread/state'
import type { CatalogueSource } from './catalogue-task.js'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** How often a request may be sent on because a cell moved. */
const MAX_MOVES = 5

/** Pause before asking again where a cell is, in milliseconds. */
const MOVE_PAUSE_MS = 50

/** What a task asks a slot for. */
export interface SlotDemand {
  readonly requestId: string
  readonly pool: string
  readonly workspace: string
  readonly weight: number
  readonly class: WorkClass
  readonly entry: string
  readonly expectedTokens: number
  readonly prefix: string
  readonly digest: string
  readonly excluded: readonly string[]
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  readonly traceparent: string
  readonly signal?: AbortSignal
}

/** A slot in use; has to be released exactly once. */
export interface Slot {
  readonly slotId: string
  readonly cell: string
  readonly endpoint: Endpoint
}

/** The result of asking for a slot. */
export type SlotResult =
  | { readonly granted: true, readonly slot: Slot }
  | { readonly granted: false, readonly refusal: Refusal }

/**
 * Chooses the cell for a request and asks its dispatcher for a slot. Knows
 * cells only by summaries, which may lag; the dispatcher decides.
 */
export class CellRouter {
  readonly #settings: HostSettings
  readonly #members: MemberView
  readonly #catalogue: CatalogueSource
  readonly #bus: MessageBus
  readonly #summaries = new Map<string, CellSummary>()
  readonly #poll: Periodic
  #placements: readonly CellPlacement[] = []

  constructor (settings: HostSettings, members: MemberView, catalogue: CatalogueSource, bus: MessageBus) {
    this.#settings = settings
    this.#members = members
    this.#catalogue = catalogue
    this.#bus = bus
    this.#poll = new Periodic(settings.summaryPeriodMs, async () => await this.#collect())
  }

  async start (): Promise<void> {
    this.#catalogue.onChange((view) => {
      this.#placements = layCells(view)
    })
    const view = this.#catalogue.current()
    this.#placements = view === undefined ? [] : layCells(view)
    await this.#poll.start()
  }

  async stop (): Promise<void> {
    await this.#poll.stop()
  }

  /** Slots of a pool over all cells, as last heard. */
  totalSlots (pool: string): number {
    return this.#placements
      .filter((placement) => placement.pool === pool)
      .flatMap((placement) => placement.endpoints)
      .reduce((sum, endpoint) => sum + endpoint.slots, 0)
  }

  /** Waits for a slot until the deadline. */
  async acquire (demand: SlotDemand): Promise<SlotResult> {
    for (let move = 0; move < MAX_MOVES; move++) {
      const placement = this.#choose(demand)
      if (placement === undefined) return { granted: false, refusal: notRun(RefusalReason.NoEndpoint, `pool ${demand.pool} has no endpoint`, 1000) }
      const result = await this.#ask(placement, demand)
      if (result.granted || result.refusal.reason !== RefusalReason.NotOwner) return result
      await new Promise((resolve) => setTimeout(resolve, MOVE_PAUSE_MS))
    }
    return { granted: false, refusal: notRun(RefusalReason.NoEndpoint, 'the cell is moving between hosts', 500) }
  }

  /** Gives a slot back. */
  async release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void> {
    const placement = this.#placements.find((item) => item.name === slot.cell)
    const owner = placement === undefined ? undefined : cellOwner(placement, this.#members.workers())
    if (owner === undefined) return
    await this.#bus.post(owner, { kind: PeerMessageKind.ReleaseSlot, cell: slot.cell, slotId: slot.slotId, end, actualTokens }, traceparent)
  }

  async #ask (placement: CellPlacement, demand: SlotDemand): Promise<SlotResult> {
    const owner = cellOwner(placement, this.#members.workers())
    if (owner === undefined) return { granted: false, refusal: notRun(RefusalReason.NotOwner, 'no host owns the cell') }
    const { pool, deadline, traceparent, signal, excluded, ...request } = demand
    const answer = await this.#bus.send(owner, {
      kind: PeerMessageKind.AcquireSlot,
      cell: placement.name,
      ...request,
      excluded: [...excluded],
      leftMs: timeLeft(deadline)
    }, signal === undefined ? { deadline, traceparent } : { deadline, traceparent, signal })
    if (!answer.ok) return { granted: false, refusal: this.#unanswered(demand) }
    if (!answer.value.granted) return { granted: false, refusal: refusalOf(answer.value.refusal) }
    return { granted: true, slot: { slotId: answer.value.slotId, cell: placement.name, endpoint: answer.value.endpoint } }
  }

  #unanswered (demand: SlotDemand): Refusal {
    if (demand.signal?.aborted === true) return notRun(RefusalReason.Cancelled, 'the caller no longer waits')
    return timeLeft(demand.deadline) > 0
      ? notRun(RefusalReason.NotOwner, 'the dispatcher did not answer')
      : notRun(RefusalReason.DeadlineExceeded, 'the deadline passed while waiting for a slot')
  }

  /** The own region first; within it the cell with the most free slots for what waits. */
  #choose (demand: SlotDemand): CellPlacement | undefined {
    const usable = this.#placements.filter((placement) => placement.pool === demand.pool && placement.endpoints.some((endpoint) => !demand.excluded.includes(endpoint.id)))
    const near = usable.filter((placement) => placement.region === this.#settings.self.region)
    const free = [near, usable].find((list) => list.some((placement) => this.#headroom(placement) > 0))
    const candidates = free ?? (near.length > 0 ? near : usable)
    let best: CellPlacement | undefined
    for (const placement of candidates) {
      if (best === undefined || this.#headroom(placement) > this.#headroom(best)) best = placement
    }
    if (best !== undefined) this.#reserve(best)
    return best
  }

  #headroom (placement: CellPlacement): number {
    const summary = this.#summaries.get(placement.name)
    return summary === undefined ? 0 : summary.freeSlots - summary.waiting
  }

  /** Counts the request in the summary at once, so that the next one does not follow it blindly. */
  #reserve (placement: CellPlacement): void {
    const summary = this.#summaries.get(placement.name)
    if (summary === undefined) return
    this.#summaries.set(placement.name, summary.freeSlots > 0
      ? { ...summary, freeSlots: summary.freeSlots - 1 }
      : { ...summary, waiting: summary.waiting + 1 })
  }

  async #collect (): Promise<void> {
    const deadline = deadlineAfter(this.#settings.summaryPeriodMs)
    const answers = await Promise.all(this.#members.workers().map(async (host) => await this.#bus.send(host, { kind: PeerMessageKind.SummariseCells }, { deadline })))
    for (const answer of answers) {
      if (!answer.ok) continue
      for (const summary of answer.value.cells) this.#summaries.set(summary.cell, summary)
    }
  }
}

/** A refusal as it came over the wire, without absent members set to undefined. */
function refusalOf (refusal: { reason: RefusalReason, ran: Refusal['ran'], detail: string, retryAfterMs?: number | undefined }): Refusal {
  const { retryAfterMs, ...rest } = refusal
  return retryAfterMs === undefined ? rest : { ...rest, retryAfterMs }
}
