import { CellEffectKind, CellEventKind, DecisionKind, SlotEnd } from './cell-event.js'
import { FairQueue } from './fair-queue.js'
import { invariant, unreachable } from './invariant.js'
import { notRun, RefusalReason } from './refusal.js'
import type { CellEffect, CellEvent, Decision, SlotGrant, SlotRequest } from './cell-event.js'
import type { Endpoint } from './catalogue.js'

/** Settings of one cell. */
export interface CellSettings {
  /** Name of the cell; part of every slot id. */
  readonly name: string
  /** Distinguishes the slots of one life of the owner from those of the next. */
  readonly incarnation: string
  /** Requests that may wait before further ones are refused. */
  readonly queueLimit: number
  /** Longest a slot may be held beyond the deadline of its request, in milliseconds. */
  readonly leaseGraceMs: number
}

/** An endpoint of the cell with the slots this cell has granted on it. */
interface EndpointState {
  readonly endpoint: Endpoint
  leaving: boolean
  busy: number
}

/** A slot that was granted and not yet released. */
interface HeldSlot {
  readonly grant: SlotGrant
  readonly request: SlotRequest
}

/** A summary by which gateways choose between cells. */
export interface CellSummary {
  readonly cell: string
  readonly freeSlots: number
  readonly totalSlots: number
  readonly waiting: number
  readonly expectedTokensQueued: number
}

/**
 * The single place that counts the slots of up to 24 endpoints of one failure
 * domain and pool, and decides who runs next and where.
 *
 * Invariants: `busy` of an endpoint equals the held slots on it and never
 * exceeds its slots; a request is waiting, held or unknown, never two of these.
 */
export class Cell {
  readonly #settings: CellSettings
  readonly #endpoints = new Map<string, EndpointState>()
  readonly #queue = new FairQueue()
  readonly #held = new Map<string, HeldSlot>()
  #slotSequence = 0

  constructor (settings: CellSettings) {
    this.#settings = settings
  }

  /**
   * Applies one event.
   *
   * @param event what happened
   * @param now monotonic time in milliseconds
   * @returns the effects to carry out, in order
   * @example
   * cell.step({ kind: CellEventKind.Tick }, 1000)
   */
  step (event: CellEvent, now: number): CellEffect[] {
    switch (event.kind) {
      case CellEventKind.Request: return [...this.#request(event.request, now), ...this.#dispatch(now)]
      case CellEventKind.Cancel: return [...this.#cancel(event.requestId), ...this.#dispatch(now)]
      case CellEventKind.Release: return [...this.#release(event.slotId, event.end, event.actualTokens), ...this.#dispatch(now)]
      case CellEventKind.EndpointUp: return [...this.#endpointUp(event.endpoint), ...this.#dispatch(now)]
      case CellEventKind.EndpointLeaving: return this.#endpointLeaving(event.endpointId)
      case CellEventKind.EndpointDown: return [...this.#endpointDown(event.endpointId), ...this.#dispatch(now)]
      case CellEventKind.LoadReport: return []
      case CellEventKind.GatewayDown: return [...this.#gatewayDown(event.gateway), ...this.#dispatch(now)]
      case CellEventKind.Tick: return [...this.#expire(now), ...this.#dispatch(now)]
      default: return unreachable(event)
    }
  }

  /** What gateways are told of this cell. */
  summary (): CellSummary {
    let freeSlots = 0
    let totalSlots = 0
    for (const state of this.#endpoints.values()) {
      if (state.leaving) continue
      freeSlots += state.endpoint.slots - state.busy
      totalSlots += state.endpoint.slots
    }
    return {
      cell: this.#settings.name,
      freeSlots,
      totalSlots,
      waiting: this.#queue.size,
      expectedTokensQueued: this.#queue.expectedTokens
    }
  }

  #request (request: SlotRequest, now: number): CellEffect[] {
    if (request.deadline <= now) {
      return this.#refuse(request, notRun(RefusalReason.DeadlineExceeded, 'the deadline had passed on arrival'))
    }
    if (this.#endpoints.size === 0) {
      return this.#refuse(request, notRun(RefusalReason.NoEndpoint, 'the cell has no endpoint', 1000))
    }
    if (this.#queue.size >= this.#settings.queueLimit) {
      return this.#refuse(request, notRun(RefusalReason.Overloaded, 'the queue of the cell is full', 500))
    }
    this.#queue.push(request)
    return [this.#record(request, DecisionKind.Queued, '', 'arrived')]
  }

  #cancel (requestId: string): CellEffect[] {
    const request = this.#queue.remove(requestId)
    return request === undefined ? [] : [this.#record(request, DecisionKind.Cancelled, '', 'cancelled by the caller')]
  }

  #release (slotId: string, end: SlotEnd, actualTokens: number): CellEffect[] {
    const held = this.#held.get(slotId)
    if (held === undefined) return []
    this.#held.delete(slotId)
    const state = this.#endpoints.get(held.grant.endpoint.id)
    if (state !== undefined) {
      state.busy -= 1
      invariant(state.busy >= 0, 'an endpoint never has fewer than zero busy slots')
    }
    this.#queue.settle(held.request, actualTokens)
    return [this.#record(held.request, DecisionKind.Released, held.grant.endpoint.id, end)]
  }

  #endpointUp (endpoint: Endpoint): CellEffect[] {
    const known = this.#endpoints.get(endpoint.id)
    const busy = known?.busy ?? this.#heldOn(endpoint.id).length
    this.#endpoints.set(endpoint.id, { endpoint, leaving: false, busy })
    return []
  }

  #endpointLeaving (endpointId: string): CellEffect[] {
    const state = this.#endpoints.get(endpointId)
    if (state !== undefined) state.leaving = true
    return []
  }

  #endpointDown (endpointId: string): CellEffect[] {
    this.#endpoints.delete(endpointId)
    return this.#heldOn(endpointId).flatMap((held) => this.#release(held.grant.slotId, SlotEnd.EndpointLost, 0))
  }

  #gatewayDown (gateway: string): CellEffect[] {
    const effects: CellEffect[] = []
    for (const held of [...this.#held.values()]) {
      if (held.request.gateway !== gateway) continue
      effects.push(...this.#release(held.grant.slotId, SlotEnd.Cancelled, 0))
    }
    for (const request of this.#queue.requests()) {
      if (request.gateway === gateway) effects.push(...this.#cancel(request.requestId))
    }
    return effects
  }

  #expire (now: number): CellEffect[] {
    const effects: CellEffect[] = []
    for (const request of this.#queue.requests()) {
      if (request.deadline > now) continue
      this.#queue.remove(request.requestId)
      effects.push(...this.#refuse(request, notRun(RefusalReason.DeadlineExceeded, 'the deadline passed in the queue')))
    }
    for (const held of [...this.#held.values()]) {
      if (held.grant.leaseDeadline > now) continue
      effects.push(...this.#release(held.grant.slotId, SlotEnd.Cancelled, 0))
    }
    return effects
  }

  /** Grants free slots to the requests at the head of the queue until one of the two runs out. */
  #dispatch (now: number): CellEffect[] {
    const effects: CellEffect[] = []
    for (;;) {
      const request = this.#queue.take((candidate) => this.#choose(candidate) !== undefined)
      if (request === undefined) return effects
      const state = this.#choose(request)
      invariant(state !== undefined, 'a taken request has an endpoint')
      effects.push(...this.#grant(request, state, now))
    }
  }

  #grant (request: SlotRequest, state: EndpointState, now: number): CellEffect[] {
    this.#slotSequence += 1
    state.busy += 1
    invariant(state.busy <= state.endpoint.slots, 'an endpoint never has more busy slots than it has')
    const grant: SlotGrant = {
      slotId: `${this.#settings.name}/${this.#settings.incarnation}/${this.#slotSequence}`,
      requestId: request.requestId,
      endpoint: state.endpoint,
      leaseDeadline: Math.max(request.deadline, now) + this.#settings.leaseGraceMs
    }
    this.#held.set(grant.slotId, { grant, request })
    return [
      this.#record(request, DecisionKind.Granted, state.endpoint.id, 'next in fair order'),
      { kind: CellEffectKind.Grant, grant }
    ]
  }

  /** The endpoint with the most free slots that has not failed this request. */
  #choose (request: SlotRequest): EndpointState | undefined {
    let best: EndpointState | undefined
    for (const state of this.#endpoints.values()) {
      const free = state.endpoint.slots - state.busy
      if (state.leaving || free <= 0 || request.excluded.includes(state.endpoint.id)) continue
      if (best === undefined || free > best.endpoint.slots - best.busy) best = state
    }
    return best
  }

  #heldOn (endpointId: string): HeldSlot[] {
    return [...this.#held.values()].filter((held) => held.grant.endpoint.id === endpointId)
  }

  #refuse (request: SlotRequest, refusal: ReturnType<typeof notRun>): CellEffect[] {
    return [
      this.#record(request, DecisionKind.Refused, '', refusal.reason),
      { kind: CellEffectKind.Refuse, requestId: request.requestId, refusal }
    ]
  }

  #record (request: SlotRequest, kind: DecisionKind, endpoint: string, reason: string): CellEffect {
    const decision: Decision = {
      kind,
      requestId: request.requestId,
      workspace: request.workspace,
      entry: request.entry,
      class: request.class,
      endpoint,
      waiting: this.#queue.size,
      reason
    }
    return { kind: CellEffectKind.Record, decision }
  }
}
