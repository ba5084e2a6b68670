import { Cell, CellEffectKind, CellEventKind, findOwner, HostState, invariant, partitionIntoCells, notRun, RefusalReason, unreachable } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, timeLeft } from '@cyclamenthread/transport'
import { LoadPoller } from './load-poller.js'
import { Periodic } from './periodic.js'
import { SummaryPublisher } from './summary-publisher.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { CatalogueView, CellEffect, CellEvent, CellPlacement, CellSummary, Endpoint, Host, SlotClaim } from '@cyclamenthread/state'
import type { AcquireSlot, EndpointClient, HeldSlots, AcquireSlotResponse } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { DecisionSink } from './decision-log.js'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { MessageBus, MessageMeta } from './message-bus.js'

/** How often cells check for deadlines that have passed, in milliseconds. */
const TICK_MS = 100

/** Time between the deadline of a request and the end of its slot's lease, in milliseconds. */
const LEASE_GRACE_MS = 5_000

/** Longest time a new owner waits for gateways to report the slots they hold, in milliseconds. */
const RECOVERY_TIMEOUT_MS = 500

/** Delay before gateways are asked a second time, for slots that an earlier owner granted in the meantime, in milliseconds. */
const SECOND_RECOVERY_DELAY_MS = 2_000

/** A cell owned by this host, with its latest placement. */
interface OwnedCell {
  readonly cell: Cell
  placement: CellPlacement
}

/**
 * Returns the host that owns a cell. It is chosen by rendezvous hashing among the
 * hosts of the cell's failure domain, or of its region if there are none, or else
 * among all hosts.
 *
 * @example
 * cellOwner(placement, members.workers())?.id
 */
export function cellOwner (placement: CellPlacement, workers: readonly Host[]): Host | undefined {
  const local = workers.filter((host) => host.failureDomain === placement.failureDomain)
  const regional = workers.filter((host) => host.region === placement.region)
  const candidates = [local, regional, workers].find((list) => list.length > 0) ?? []
  const owner = findOwner(`cell/${placement.name}`, candidates.map((host) => host.id))
  return candidates.find((host) => host.id === owner)
}

/**
 * Runs the cells that are assigned to this host and grants their slots.
 *
 * Invariant: every acquire message is answered exactly once, with a grant or a refusal.
 */
export class DispatcherTask {
  readonly #settings: HostSettings
  readonly #members: MemberView
  readonly #catalogue: CatalogueSource
  readonly #cells = new Map<string, OwnedCell>()
  readonly #pendingAnswers = new Map<string, (answer: AcquireSlotResponse) => void>()
  readonly #decisions: DecisionSink
  readonly #bus: MessageBus
  readonly #tickLoop: Periodic
  readonly #loadPoller: LoadPoller
  readonly #summaryPublisher: SummaryPublisher
  readonly #pushLoop: Periodic
  readonly #deadHosts = new Set<string>()
  #cellsOpened = 0

  constructor (settings: HostSettings, members: MemberView, catalogue: CatalogueSource, decisions: DecisionSink, bus: MessageBus, endpoints: EndpointClient) {
    this.#settings = settings
    this.#members = members
    this.#catalogue = catalogue
    this.#decisions = decisions
    this.#bus = bus
    this.#tickLoop = new Periodic(TICK_MS, async () => this.#tick())
    this.#loadPoller = new LoadPoller(endpoints, () => this.#ownedEndpoints(), ({ endpointId, running, observedAt }) => {
      this.#stepAllCells({ kind: CellEventKind.LoadReport, endpointId, running, observedAt })
    })
    this.#summaryPublisher = new SummaryPublisher(settings, members, bus)
    this.#pushLoop = new Periodic(settings.summaryPeriodMs, async () => await this.#summaryPublisher.pushChanged(this.summaries()))
  }

  /** Returns the broker service that handles the dispatcher's messages. */
  service (): ServiceSchema {
    return taskService('dispatcher', {
      [PeerMessageKind.AcquireSlot]: async (message, meta) => await this.#acquire(message, meta),
      [PeerMessageKind.ReleaseSlot]: async (message) => {
        const { slotId, end, actualTokens } = message
        this.#stepCell(message.cell, { kind: CellEventKind.Release, slotId, end, actualTokens })
        return { accepted: true }
      },
      [PeerMessageKind.CancelRequest]: async (message) => {
        this.#cancel(message.cell, message.requestId)
        return { accepted: true }
      },
      [PeerMessageKind.SummariseCells]: async () => ({ cells: this.summaries() })
    })
  }

  async start (): Promise<void> {
    this.#catalogue.onChange(() => this.#updateOwnedCells())
    this.#members.onChange(() => this.#membersChanged())
    this.#membersChanged()
    await this.#tickLoop.start()
    await this.#pushLoop.start()
    void this.#loadPoller.start()
  }

  async stop (): Promise<void> {
    await this.#loadPoller.stop()
    await this.#pushLoop.stop()
    await this.#tickLoop.stop()
  }

  /** Returns the summaries of the cells owned by this host. */
  summaries (): CellSummary[] {
    return [...this.#cells.values()].map((owned) => owned.cell.summary(monotonicNow()))
  }

  #ownedEndpoints (): Endpoint[] {
    return [...this.#cells.values()].flatMap((owned) => owned.placement.endpoints)
  }

  /** Frees the slots held by gateways that died, and updates the set of owned cells. */
  #membersChanged (): void {
    for (const { host, state } of this.#members.members()) {
      if (state !== HostState.Dead) this.#deadHosts.delete(host.id)
      else if (!this.#deadHosts.has(host.id)) {
        this.#deadHosts.add(host.id)
        this.#stepAllCells({ kind: CellEventKind.GatewayDown, gateway: host.id })
      }
    }
    this.#summaryPublisher.reset()
    this.#updateOwnedCells()
  }

  /** Opens the cells now assigned to this host and releases the others. */
  #updateOwnedCells (): void {
    const view = this.#catalogue.current()
    if (view === undefined) return
    const placements = this.#ownPlacements(view)
    const names = new Set(placements.map((placement) => placement.name))
    for (const name of [...this.#cells.keys()]) {
      if (!names.has(name)) this.#releaseCell(name)
    }
    for (const placement of placements) this.#openOrUpdateCell(placement)
  }

  #ownPlacements (view: CatalogueView): CellPlacement[] {
    const workers = this.#members.workers()
    return partitionIntoCells(view).filter((placement) => cellOwner(placement, workers)?.id === this.#settings.self.id)
  }

  #openOrUpdateCell (placement: CellPlacement): void {
    const known = this.#cells.get(placement.name)
    const cell = known?.cell ?? this.#openCell(placement.name)
    const placedIds = new Set(placement.endpoints.map((endpoint) => endpoint.id))
    const removed = (known?.placement.endpoints ?? []).filter((endpoint) => !placedIds.has(endpoint.id))
    this.#cells.set(placement.name, { cell, placement })
    for (const endpoint of removed) this.#stepCell(placement.name, { kind: CellEventKind.EndpointLeaving, endpointId: endpoint.id })
    for (const endpoint of placement.endpoints) this.#stepCell(placement.name, { kind: CellEventKind.EndpointUp, endpoint })
    if (known === undefined) void this.#recoverHeldSlots(placement.name, cell)
  }

  /** Opens a cell with a new incarnation, as this host may own the same cell several times. */
  #openCell (name: string): Cell {
    this.#cellsOpened += 1
    return new Cell({
      name,
      incarnation: `${this.#settings.incarnation}.${this.#cellsOpened}`,
      queueLimit: this.#settings.cellQueueLimit,
      leaseGraceMs: LEASE_GRACE_MS,
      opensAt: deadlineAfter(RECOVERY_TIMEOUT_MS)
    })
  }

  /**
   * Collects the slots granted by earlier owners before the cell grants any, and
   * once more later, as an earlier owner with an older view of the members may
   * have granted slots in between.
   */
  async #recoverHeldSlots (name: string, cell: Cell): Promise<void> {
    await this.#collectHeldSlots(name, cell)
    if (this.#cells.get(name)?.cell === cell) this.#stepCell(name, { kind: CellEventKind.Open })
    await new Promise((resolve) => setTimeout(resolve, SECOND_RECOVERY_DELAY_MS).unref())
    await this.#collectHeldSlots(name, cell)
  }

  async #collectHeldSlots (name: string, cell: Cell): Promise<void> {
    const deadline = deadlineAfter(RECOVERY_TIMEOUT_MS)
    // A leaving host still runs its accepted requests.
    const gateways = this.#members.members().filter((member) => member.state !== HostState.Dead)
    await Promise.all(gateways.map(async ({ host }) => {
      const answer = await this.#bus.send(host, { kind: PeerMessageKind.ListHeldSlots, cell: name }, { deadline })
      if (!answer.ok || this.#cells.get(name)?.cell !== cell) return
      this.#stepCell(name, { kind: CellEventKind.Held, gateway: host.id, slots: toSlotClaims(answer.value, host.id) })
    }))
  }

  /** Releases a cell and refuses its waiting requests, so that their gateways retry at the new owner. */
  #releaseCell (name: string): void {
    this.#cells.delete(name)
    for (const [key, answer] of [...this.#pendingAnswers]) {
      if (!key.startsWith(`${name}\u0000`)) continue
      this.#pendingAnswers.delete(key)
      answer({ granted: false, refusal: notRun(RefusalReason.NotOwner, 'the cell moved to another host', 0) })
    }
  }

  async #acquire (message: AcquireSlot, meta: MessageMeta): Promise<AcquireSlotResponse> {
    if (!this.#cells.has(message.cell)) {
      return { granted: false, refusal: notRun(RefusalReason.NotOwner, 'this host does not own the cell', 0) }
    }
    const { kind, cell, leftMs, ...request } = message
    // A repeated request replaces one that still waits: its sender has given up on the earlier one.
    if (this.#pendingAnswers.has(pendingKey(cell, message.requestId))) this.#cancel(cell, message.requestId)
    const answered = new AbortController()
    return await new Promise<AcquireSlotResponse>((resolve) => {
      this.#pendingAnswers.set(pendingKey(cell, message.requestId), resolve)
      meta.signal.addEventListener('abort', () => {
        // After the grant was sent, only the gateway knows whether it arrived.
        if (this.#pendingAnswers.get(pendingKey(cell, message.requestId)) === resolve) this.#cancel(cell, message.requestId)
      }, { once: true, signal: answered.signal })
      this.#stepCell(cell, { kind: CellEventKind.Request, request: { ...request, gateway: meta.from, deadline: deadlineAfter(leftMs) } })
    }).finally(() => answered.abort())
  }

  #cancel (cell: string, requestId: string): void {
    const answer = this.#pendingAnswers.get(pendingKey(cell, requestId))
    this.#pendingAnswers.delete(pendingKey(cell, requestId))
    this.#stepCell(cell, { kind: CellEventKind.Cancel, requestId })
    answer?.({ granted: false, refusal: notRun(RefusalReason.Cancelled, 'the caller no longer waits') })
  }

  #tick (): void {
    this.#stepAllCells({ kind: CellEventKind.Tick })
  }

  #stepAllCells (event: CellEvent): void {
    for (const name of this.#cells.keys()) this.#stepCell(name, event)
  }

  #stepCell (name: string, event: CellEvent): void {
    const owned = this.#cells.get(name)
    if (owned === undefined) return
    for (const effect of owned.cell.step(event, monotonicNow())) this.#applyEffect(name, effect)
  }

  #applyEffect (cell: string, effect: CellEffect): void {
    switch (effect.kind) {
      case CellEffectKind.Grant: {
        const { slotId, endpoint, leaseDeadline, requestId } = effect.grant
        const summary = this.#cells.get(cell)?.cell.summary(monotonicNow())
        invariant(summary !== undefined, 'a grant must come from a cell owned by this host')
        this.#answerPending(cell, requestId, { granted: true, slotId, endpoint, leaseMs: timeLeft(leaseDeadline), summary })
        return
      }
      case CellEffectKind.Refuse:
        this.#answerPending(cell, effect.requestId, { granted: false, refusal: effect.refusal })
        return
      case CellEffectKind.Record:
        this.#decisions.record(effect.decision)
        return
      default: unreachable(effect)
    }
  }

  #answerPending (cell: string, requestId: string, answer: AcquireSlotResponse): void {
    const key = pendingKey(cell, requestId)
    this.#pendingAnswers.get(key)?.(answer)
    this.#pendingAnswers.delete(key)
  }
}

function pendingKey (cell: string, requestId: string): string {
  return `${cell}\u0000${requestId}`
}

function toSlotClaims (held: HeldSlots, gateway: string): SlotClaim[] {
  return held.slots.map(({ slotId, endpointId, request: { leftMs, ...request } }) => {
    return { slotId, endpointId, request: { ...request, gateway, deadline: deadlineAfter(leftMs) } }
  })
}
