import { BYTES_PER_TOKEN, chooseCell, partitionIntoCells, LinkBudget, notRun, RefusalReason, Suspicion, expectedWaitMs, unreachable } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, timeLeft } from '@cyclamenthread/transport'
import { cellOwner } from './dispatcher-task.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Assessment, CellPlacement, CellSummary, Endpoint, CellCandidate, Refusal, RequestOrigin, SlotEnd, WorkClass } from '@cyclamenthread/state'
import type { AcquireSlot, HeldSlots } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { HostSettings } from './host-settings.js'
import type { LimitPermit, LimitTask } from './limit-task.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { QuarantineTask } from './quarantine-task.js'

/** Shortest delay before a cell's owner is looked up again, in milliseconds. */
const MOVE_RETRY_MIN_MS = 50

/** Jitter added to that delay, so that requests queued at a moving cell don't all return at once, in milliseconds. */
const MOVE_RETRY_JITTER_MS = 200

/** Bytes per second that this host may send over the link between regions. */
const INTER_REGION_BYTES_PER_SECOND = 1_000_000

/** Shortest time between two requests for summaries of other regions' cells, in milliseconds. */
const REMOTE_SUMMARY_PERIOD_MS = 500

/** Expected wait in the own region above which other regions are considered, in milliseconds. */
const REMOTE_WAIT_THRESHOLD_MS = 100

/** A task's demand for a slot on an endpoint. */
export interface SlotDemand {
  readonly requestId: string
  readonly origin: RequestOrigin
  readonly pool: string
  readonly workspace: string
  readonly weight: number
  readonly class: WorkClass
  readonly entry: string
  readonly expectedTokens: number
  /** Number of tokens of the prompt; absent if there is no prompt. */
  readonly promptTokens?: number
  readonly prefix: string
  readonly digest: string
  readonly excluded: readonly string[]
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  readonly traceparent: string
  readonly signal?: AbortSignal
}

/** A granted slot; it must be released exactly once. */
export interface Slot {
  readonly slotId: string
  readonly cell: string
  readonly endpoint: Endpoint
}

/** The outcome of a demand for a slot. */
export type SlotResult =
  | { readonly granted: true, readonly slot: Slot }
  | { readonly granted: false, readonly refusal: Refusal }

/** Grants and releases slots. */
export interface SlotSource {
  /** Waits for a slot until the deadline of the demand. */
  acquire (demand: SlotDemand): Promise<SlotResult>
  /** Releases a slot. */
  release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void>
}

/** A slot held by a request of this host. */
interface HeldSlot {
  readonly slot: Slot
  readonly demand: SlotDemand
  readonly suspect: boolean
  readonly permit: LimitPermit
}

/**
 * Checks each request against the quarantine and the limits, chooses a cell and
 * asks the cell's dispatcher for a slot. The choice is based on cell summaries,
 * which may be out of date; the dispatcher has the final decision.
 *
 * Invariant: each limit permit is released exactly once, when the slot is
 * released or when no slot was granted.
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

  /** Returns the broker service that receives cell summaries and lists the slots held by this host. */
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

  /** Number of slots of a pool over all cells, by the catalogue. */
  totalSlots (pool: string): number {
    return this.#placements
      .filter((placement) => placement.pool === pool)
      .flatMap((placement) => placement.endpoints)
      .reduce((sum, endpoint) => sum + endpoint.slots, 0)
  }

  /** Number of free slots of a pool beyond its queued requests, by the latest summaries. */
  freeSlots (pool: string): number {
    return this.summaries(pool).reduce((sum, summary) => sum + Math.max(0, summary.freeSlots - summary.waiting), 0)
  }

  /** Returns the latest summaries of the cells of a pool. */
  summaries (pool: string): CellSummary[] {
    const own = this.#placements.filter((placement) => placement.pool === pool)
    return own.flatMap((placement) => this.#summaries.get(placement.name) ?? [])
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    const refusal = refusalOf(this.#quarantine.assess(demand))
    if (refusal !== undefined) return refused(refusal)
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

  /** Requests a slot; retries until the deadline while cells move between hosts. */
  async #acquireFromCells (demand: SlotDemand, permit: LimitPermit): Promise<SlotResult> {
    for (;;) {
      const placement = await this.#chooseCell(demand)
      if (placement === undefined) return refused(notRun(RefusalReason.NoEndpoint, `pool ${demand.pool} has no usable endpoint`, 1000))
      const result = await this.#requestSlot(placement, demand, permit)
      if (result.granted || result.refusal.reason !== RefusalReason.NotOwner) return result
      await new Promise((resolve) => setTimeout(resolve, MOVE_RETRY_MIN_MS + this.#random() * MOVE_RETRY_JITTER_MS))
      if (demand.signal?.aborted === true) return refused(notRun(RefusalReason.Cancelled, 'the caller no longer waits'))
      if (timeLeft(demand.deadline) <= 0) return refused(notRun(RefusalReason.DeadlineExceeded, 'the deadline passed while the cell was moving between hosts'))
    }
  }

  async #requestSlot (placement: CellPlacement, demand: SlotDemand, permit: LimitPermit): Promise<SlotResult> {
    const owner = this.#ownerOf(placement.name)
    if (owner === undefined) return refused(notRun(RefusalReason.NotOwner, 'no host owns the cell'))
    // Checked again: the digest may have been reported while this request waited for its limits.
    const assessment = this.#quarantine.assess(demand)
    const refusal = refusalOf(assessment)
    if (refusal !== undefined) return refused(refusal)
    const suspect = assessment.suspicion === Suspicion.Suspect
    const { deadline, traceparent, signal } = demand
    const message = { kind: PeerMessageKind.AcquireSlot as const, cell: placement.name, ...toWireRequest(demand, suspect) }
    const answer = await this.#bus.send(owner, message, signal === undefined ? { deadline, traceparent } : { deadline, traceparent, signal })
    if (!answer.ok) {
      // The dispatcher may have granted a slot in an answer that was lost.
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

  /** Fetches summaries from the owners of cells in other regions, at most once per period. */
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

  /** Adjusts the stored summary for this host's own requests at once, so that the next choice takes them into account. */
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

/** Converts a demand to the request that is sent to the dispatcher. */
function toWireRequest (demand: SlotDemand, suspect: boolean): Omit<AcquireSlot, 'kind' | 'cell'> {
  const { pool, deadline, traceparent, signal, excluded, promptTokens, ...request } = demand
  return { ...request, suspect, promptTokens: promptTokens ?? 0, excluded: [...excluded], leftMs: timeLeft(deadline) }
}

/** Returns why a request may not run now. */
function refusalOf (assessment: Assessment): Refusal | undefined {
  switch (assessment.suspicion) {
    case Suspicion.None:
    case Suspicion.Suspect:
      return undefined
    case Suspicion.Deferred:
      return notRun(RefusalReason.Quarantined, 'endpoints went down while they ran requests like this one; it waits before it runs again', timeLeft(assessment.retryAt))
    case Suspicion.Quarantined:
      return notRun(RefusalReason.Quarantined, 'requests like this one took endpoints down; it is not run again')
    default: return unreachable(assessment)
  }
}

function refused (refusal: Refusal): SlotResult {
  return { granted: false, refusal }
}

/** Converts a decoded refusal, leaving out optional members that are undefined. */
function fromWireRefusal (refusal: { reason: RefusalReason, ran: Refusal['ran'], detail: string, retryAfterMs?: number | undefined }): Refusal {
  const { retryAfterMs, ...rest } = refusal
  return retryAfterMs === undefined ? rest : { ...rest, retryAfterMs }
}
