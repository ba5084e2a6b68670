import { BYTES_PER_TOKEN, chooseCell, partitionIntoCells, LinkBudget, notRun, RefusalReason, Suspicion, expectedWaitMs } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, timeLeft } from '@cyclamenthread/transport'
import { cellOwner } from './dispatcher-task.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { CellPlacement, CellSummary, Endpoint, CellCandidate, Refusal, SlotEnd, WorkClass } from '@cyclamenthread/state'
import type { AcquireSlot, HeldSlots } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { HostSettings } from './host-settings.js'
import type { LimitPermit, LimitTask } from './limit-task.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { QuarantineTask } from './quarantine-task.js'

/** Shortest pause before asking again where a cell is, in milliseconds; the longest is this plus the spread. */
const MOVE_RETRY_MIN_MS = 50

/** Spread of that pause, so that the backlog of a cell does not come back all at once, in milliseconds. */
const MOVE_RETRY_JITTER_MS = 200

/** Bytes a second that this host may cause on the link between regions. */
const INTER_REGION_BYTES_PER_SECOND = 1_000_000

/** How often at most the cells of other regions are asked for summaries, in milliseconds. */
const REMOTE_SUMMARY_PERIOD_MS = 500

/** Wait in the own region from which on other regions are considered, in milliseconds. */
const REMOTE_WAIT_THRESHOLD_MS = 100

/** What a task asks a slot for. */
export interface SlotDemand {
  readonly requestId: string
  readonly pool: string
  readonly workspace: string
  readonly weight: number
  readonly class: WorkClass
  readonly entry: string
  readonly expectedTokens: number
  /** Tokens of the prompt; absent where there is none. */
  readonly promptTokens?: number
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

/** Where slots come from. */
export interface SlotSource {
  /** Waits for a slot until the deadline. */
  acquire (demand: SlotDemand): Promise<SlotResult>
  /** Gives a slot back. */
  release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void>
}

/** A slot that a request of this host uses. */
interface HeldSlot {
  readonly slot: Slot
  readonly demand: SlotDemand
  readonly suspect: boolean
  readonly permit: LimitPermit
}

/**
 * Takes each request past the limits and the quarantine, chooses its cell and
 * asks the cell's dispatcher for a slot. Knows cells only by summaries, which may
 * lag; the dispatcher decides.
 *
 * Invariant: a permit of the limits is given back exactly once for each request,
 * on release or when no slot was got.
 */
export class CellRouter implements SlotSource {
  readonly #settings: HostSettings
  readonly #members: MemberView
  readonly #catalogue: CatalogueSource
  readonly #bus: MessageBus
  readonly #limits: LimitTask
  readonly #quarantine: QuarantineTask
  readonly #random: () => number
  readonly #summaries = new Map<string, CellSummary>()
  readonly #heldSlots = new Map<string, HeldSlot>()
  readonly #linkBudget = new LinkBudget(INTER_REGION_BYTES_PER_SECOND)
  #placements: readonly CellPlacement[] = []
  #remoteAskedAt = -Infinity

  constructor (settings: HostSettings, members: MemberView, catalogue: CatalogueSource, bus: MessageBus, limits: LimitTask, quarantine: QuarantineTask, random: () => number = Math.random) {
    this.#settings = settings
    this.#members = members
    this.#catalogue = catalogue
    this.#bus = bus
    this.#limits = limits
    this.#quarantine = quarantine
    this.#random = random
  }

  /** The broker service that takes summaries and answers for the slots held. */
  service (): ServiceSchema {
    return taskService('router', {
      [PeerMessageKind.PushSummaries]: async (message) => {
        for (const summary of message.cells) this.#summaries.set(summary.cell, summary)
        return { accepted: true }
      },
      [PeerMessageKind.ListHeldSlots]: async (message) => ({ slots: this.#heldSlotsOf(message.cell) })
    })
  }

  async start (): Promise<void> {
    this.#catalogue.onChange((view) => {
      this.#placements = partitionIntoCells(view)
    })
    const view = this.#catalogue.current()
    this.#placements = view === undefined ? [] : partitionIntoCells(view)
  }

  async stop (): Promise<void> {
    this.#heldSlots.clear()
  }

  /** Slots of a pool over all cells, as last heard. */
  totalSlots (pool: string): number {
    return this.#placements
      .filter((placement) => placement.pool === pool)
      .flatMap((placement) => placement.endpoints)
      .reduce((sum, endpoint) => sum + endpoint.slots, 0)
  }

  /** Slots of a pool that nobody waits for, as last heard. */
  freeSlots (pool: string): number {
    return this.summaries(pool).reduce((sum, summary) => sum + Math.max(0, summary.freeSlots - summary.waiting), 0)
  }

  /** What was last heard of the cells of a pool. */
  summaries (pool: string): CellSummary[] {
    const own = this.#placements.filter((placement) => placement.pool === pool)
    return own.flatMap((placement) => this.#summaries.get(placement.name) ?? [])
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    if (this.#quarantine.suspicionOf(demand.digest) === Suspicion.Quarantined) return refused(quarantineRefusal())
    const { workspace, entry, expectedTokens, deadline } = demand
    const permitted = await this.#limits.acquire({ workspace, entry, expectedTokens, deadline, counted: demand.excluded.length > 0 })
    if (!permitted.granted) return permitted
    const result = await this.#acquireFromCells(demand, permitted.permit)
    if (!result.granted) this.#limits.release(permitted.permit)
    return result
  }

  async release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void> {
    const held = this.#heldSlots.get(slot.slotId)
    if (held === undefined) return
    this.#heldSlots.delete(slot.slotId)
    this.#limits.release(held.permit)
    this.#adjustSummary(slot.cell, -1)
    const owner = this.#ownerOf(slot.cell)
    if (owner === undefined) return
    await this.#bus.post(owner, { kind: PeerMessageKind.ReleaseSlot, cell: slot.cell, slotId: slot.slotId, end, actualTokens }, traceparent)
  }

  /** Asks cell after cell while they move between hosts, until the deadline. */
  async #acquireFromCells (demand: SlotDemand, permit: LimitPermit): Promise<SlotResult> {
    for (;;) {
      const placement = await this.#chooseCell(demand)
      if (placement === undefined) return refused(notRun(RefusalReason.NoEndpoint, `pool ${demand.pool} has no endpoint`, 1000))
      const result = await this.#requestSlot(placement, demand, permit)
      if (result.granted || result.refusal.reason !== RefusalReason.NotOwner) return result
      await new Promise((resolve) => setTimeout(resolve, MOVE_RETRY_MIN_MS + this.#random() * MOVE_RETRY_JITTER_MS))
      if (demand.signal?.aborted === true) return refused(notRun(RefusalReason.Cancelled, 'the caller no longer waits'))
      if (timeLeft(demand.deadline) <= 0) return refused(notRun(RefusalReason.DeadlineExceeded, 'the cell was moving between hosts until the deadline'))
    }
  }

  async #requestSlot (placement: CellPlacement, demand: SlotDemand, permit: LimitPermit): Promise<SlotResult> {
    const owner = this.#ownerOf(placement.name)
    if (owner === undefined) return refused(notRun(RefusalReason.NotOwner, 'no host owns the cell'))
    // Judged anew: the digest may have become known while the limits were waited for.
    const suspicion = this.#quarantine.suspicionOf(demand.digest)
    if (suspicion === Suspicion.Quarantined) return refused(quarantineRefusal())
    const suspect = suspicion === Suspicion.Suspect
    const { deadline, traceparent, signal } = demand
    const message = { kind: PeerMessageKind.AcquireSlot as const, cell: placement.name, ...toWireRequest(demand, suspect) }
    const answer = await this.#bus.send(owner, message, signal === undefined ? { deadline, traceparent } : { deadline, traceparent, signal })
    if (!answer.ok) {
      // The dispatcher may have granted a slot that never arrived here.
      await this.#bus.post(owner, { kind: PeerMessageKind.CancelRequest, cell: placement.name, requestId: demand.requestId })
      return refused(this.#refusalWithoutAnswer(demand))
    }
    if (!answer.value.granted) return refused(fromWireRefusal(answer.value.refusal))
    const slot: Slot = { slotId: answer.value.slotId, cell: placement.name, endpoint: answer.value.endpoint }
    this.#heldSlots.set(slot.slotId, { slot, demand, suspect, permit })
    this.#summaries.set(placement.name, answer.value.summary)
    return { granted: true, slot }
  }

  #refusalWithoutAnswer (demand: SlotDemand): Refusal {
    if (demand.signal?.aborted === true) return notRun(RefusalReason.Cancelled, 'the caller no longer waits')
    return timeLeft(demand.deadline) > 0
      ? notRun(RefusalReason.NotOwner, 'the dispatcher did not answer')
      : notRun(RefusalReason.DeadlineExceeded, 'the deadline passed while waiting for a slot')
  }

  async #chooseCell (demand: SlotDemand): Promise<CellPlacement | undefined> {
    const usable = this.#placements.filter((placement) => placement.pool === demand.pool && placement.endpoints.some((endpoint) => !demand.excluded.includes(endpoint.id)))
    const { region } = this.#settings.self
    const localCells = this.#withSummaries(usable.filter((placement) => placement.region === region))
    const isRegionFull = localCells.length > 0 && localCells.every((cell) => expectedWaitMs(cell) > REMOTE_WAIT_THRESHOLD_MS)
    if (isRegionFull) await this.#fetchRemoteSummaries(usable.filter((placement) => placement.region !== region))
    const chosen = chooseCell(this.#withSummaries(usable), {
      region,
      expectedTokens: demand.expectedTokens,
      random: this.#random,
      canSendOverLink: (bytes) => this.#linkBudget.canSpend(bytes, monotonicNow())
    })?.placement
    if (chosen === undefined) return undefined
    if (chosen.region !== region) this.#linkBudget.spend(demand.expectedTokens * BYTES_PER_TOKEN, monotonicNow())
    this.#adjustSummary(chosen.name, 1)
    return chosen
  }

  #withSummaries (placements: readonly CellPlacement[]): CellCandidate[] {
    return placements.map((placement) => ({ placement, summary: this.#summaries.get(placement.name) }))
  }

  /** Asks the owners of cells in other regions for summaries, not more often than they change much. */
  async #fetchRemoteSummaries (placements: readonly CellPlacement[]): Promise<void> {
    const now = monotonicNow()
    if (now - this.#remoteAskedAt < REMOTE_SUMMARY_PERIOD_MS) return
    this.#remoteAskedAt = now
    const owners = new Map(placements.flatMap((placement) => {
      const owner = this.#ownerOf(placement.name)
      return owner === undefined ? [] : [[owner.id, owner]]
    }))
    await Promise.all([...owners.values()].map(async (owner) => {
      const answer = await this.#bus.send(owner, { kind: PeerMessageKind.SummariseCells }, { deadline: deadlineAfter(REMOTE_SUMMARY_PERIOD_MS) })
      if (!answer.ok) return
      for (const summary of answer.value.cells) this.#summaries.set(summary.cell, summary)
    }))
  }

  /** Counts this host's own requests in the summary at once, so that the next one does not follow blindly. */
  #adjustSummary (cell: string, change: 1 | -1): void {
    const summary = this.#summaries.get(cell)
    if (summary === undefined) return
    const changesQueue = change > 0 ? summary.freeSlots === 0 : summary.waiting > 0
    this.#summaries.set(cell, changesQueue
      ? { ...summary, waiting: summary.waiting + change }
      : { ...summary, freeSlots: Math.min(summary.totalSlots, summary.freeSlots - change) })
  }

  #ownerOf (cell: string): ReturnType<typeof cellOwner> {
    const placement = this.#placements.find((item) => item.name === cell)
    return placement === undefined ? undefined : cellOwner(placement, this.#members.workers())
  }

  #heldSlotsOf (cell: string): HeldSlots['slots'] {
    return [...this.#heldSlots.values()].filter((held) => held.slot.cell === cell).map(({ slot, demand, suspect }) => {
      return { slotId: slot.slotId, endpointId: slot.endpoint.id, request: toWireRequest(demand, suspect) }
    })
  }
}

/** A demand as the dispatcher is told of it. */
function toWireRequest (demand: SlotDemand, suspect: boolean): Omit<AcquireSlot, 'kind' | 'cell'> {
  const { pool, deadline, traceparent, signal, excluded, promptTokens, ...request } = demand
  return { ...request, suspect, promptTokens: promptTokens ?? 0, excluded: [...excluded], leftMs: timeLeft(deadline) }
}

function quarantineRefusal (): Refusal {
  return notRun(RefusalReason.Quarantined, 'requests like this one took endpoints down; it is not run again')
}

function refused (refusal: Refusal): SlotResult {
  return { granted: false, refusal }
}

/** A refusal as it came over the wire, without absent members set to undefined. */
function fromWireRefusal (refusal: { reason: RefusalReason, ran: Refusal['ran'], detail: string, retryAfterMs?: number | undefined }): Refusal {
  const { retryAfterMs, ...rest } = refusal
  return retryAfterMs === undefined ? rest : { ...rest, retryAfterMs }
}
