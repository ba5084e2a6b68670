import { CellEndpoint } from './cell-endpoint.js'
import { CellEffectKind, CellEventKind, DecisionKind, SlotEnd } from './cell-event.js'
import { chooseEndpoint } from './endpoint-choice.js'
import { FairQueue } from './fair-queue.js'
import { IndexedHeap } from './indexed-heap.js'
import { invariant, unreachable } from './invariant.js'
import { notRun, RefusalReason } from './refusal.js'
import { RequestOrigin } from './request-origin.js'
import { ServiceRate } from './service-rate.js'
import type { HeldSlot } from './cell-endpoint.js'
import type { CellEffect, CellEvent, Decision, SlotClaim, SlotGrant, SlotRequest } from './cell-event.js'
import type { Endpoint } from './catalogue.js'
import type { Refusal } from './refusal.js'

/** Share of the estimated duration that must fit before the deadline; below 1 because estimates are imprecise. */
const ADMISSION_CONFIDENCE = 0.8

/** Settings of one cell. */
export interface CellSettings {
  /** Name of the cell; part of every slot id. */
  readonly name: string
  /** Distinguishes the slots of one incarnation of the owner from those of the next. */
  readonly incarnation: string
  /** Maximum number of waiting requests; further ones are refused. */
  readonly queueLimit: number
  /** Maximum time for which a slot may be held after the deadline of its request, in milliseconds. */
  readonly leaseGraceMs: number
  /** Monotonic time in milliseconds before which nothing is granted, unless an `Open` event arrives. */
  readonly opensAt: number
}

/** Load summary by which gateways choose between cells. */
export interface CellSummary {
  readonly cell: string
  readonly freeSlots: number
  readonly totalSlots: number
  readonly waiting: number
  readonly expectedTokensQueued: number
  /** Expected time to work off the queue, in milliseconds. */
  readonly waitMs: number
}

/**
 * Schedules the slots of up to 24 endpoints of one pool and failure domain: it
 * alone counts them and decides which request runs next, and where.
 *
 * Invariants: a request is either waiting, holding a slot or unknown; it is
 * answered once. A grant never exceeds an endpoint's slots and never uses an
 * endpoint that is leaving, lost or excluded by the request. While a suspect
 * request runs or waits, one endpoint is reserved for suspects, which run there
 * one at a time.
 */
export class Cell {
  readonly #settings: CellSettings
  readonly #endpoints = new Map<string, CellEndpoint>()
  readonly #queue = new FairQueue()
  readonly #held = new Map<string, HeldSlot>()
  readonly #waitingDeadlines = new IndexedHeap<SlotRequest>((a, b) => a.deadline < b.deadline)
  readonly #leases = new IndexedHeap<HeldSlot>((a, b) => a.grant.leaseDeadline < b.grant.leaseDeadline)
  readonly #rate = new ServiceRate()
  readonly #suspects = new Set<string>()
  /** Endpoint reserved for suspect requests. */
  #suspectEndpoint: CellEndpoint | undefined
  #slotSequence = 0
  #opensAt: number

  constructor (settings: CellSettings) {
    this.#settings = settings
    this.#opensAt = settings.opensAt
  }

  /**
   * Processes one event.
   *
   * @param event what happened
   * @param now monotonic time in milliseconds
   * @returns effects to carry out, in order
   * @example
   * cell.step({ kind: CellEventKind.Tick }, 1000)
   */
  step (event: CellEvent, now: number): CellEffect[] {
    return [...this.#apply(event, now), ...this.#dispatch(now)]
  }

  /** Returns the load summary that gateways receive. */
  summary (now: number): CellSummary {
    let freeSlots = 0
    let totalSlots = 0
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint.leaving) continue
      freeSlots += endpoint.freeSlots(now)
      totalSlots += endpoint.endpoint.slots
    }
    return {
      cell: this.#settings.name,
      freeSlots,
      totalSlots,
      waiting: this.#queue.size,
      expectedTokensQueued: Math.round(this.#queue.expectedTokens),
      waitMs: Math.round(this.#queue.expectedTokens * (this.#rate.overallMsPerToken() ?? 0) / Math.max(totalSlots, 1))
    }
  }

  /** Returns the waiting requests, for the hand-over to another owner. */
  waiting (): SlotRequest[] {
    return this.#queue.requests()
  }

  /** Number of busy slots by endpoint id. */
  busySlots (): ReadonlyMap<string, number> {
    return new Map([...this.#endpoints].map(([id, endpoint]) => [id, endpoint.busySlots]))
  }

  #apply (event: CellEvent, now: number): CellEffect[] {
    switch (event.kind) {
      case CellEventKind.Request: return this.#admitRequest(event.request, now)
      case CellEventKind.Cancel: return this.#cancel(event.requestId, now)
      case CellEventKind.Release: return this.#release(event.slotId, event.end, event.actualTokens, now)
      case CellEventKind.EndpointUp: return this.#addEndpoint(event.endpoint)
      case CellEventKind.EndpointLeaving: return this.#drainEndpoint(event.endpointId)
      case CellEventKind.EndpointDown: return this.#removeEndpoint(event.endpointId, now)
      case CellEventKind.LoadReport: return this.#addLoadReport(event.endpointId, event.running, event.observedAt, now)
      case CellEventKind.GatewayDown: return this.#releaseGateway(event.gateway, now)
      case CellEventKind.Held: return this.#adoptSlots(event.gateway, event.slots, now)
      case CellEventKind.Open: return this.#startGranting(now)
      case CellEventKind.Tick: return this.#tick(now)
      default: return unreachable(event)
    }
  }

  #admitRequest (request: SlotRequest, now: number): CellEffect[] {
    const refusal = this.#admissionRefusal(request, now)
    if (refusal !== undefined) return this.#refuse(request, refusal)
    this.#queue.push(request, laneName(request))
    this.#waitingDeadlines.put(request)
    if (request.suspect) this.#suspects.add(request.requestId)
    return [this.#recordDecision(request, DecisionKind.Queued, '', 'arrived')]
  }

  /** Returns why a request can't be served, as far as that is known on arrival. */
  #admissionRefusal (request: SlotRequest, now: number): Refusal | undefined {
    if (request.deadline <= now) return notRun(RefusalReason.DeadlineExceeded, 'the deadline had already passed on arrival')
    if (this.#queue.has(request.requestId)) return notRun(RefusalReason.InProgress, 'a request with this id is already waiting')
    if (this.#endpoints.size === 0) return notRun(RefusalReason.NoEndpoint, 'the cell has no endpoints', 1000)
    if (this.#queue.size >= this.#settings.queueLimit) return notRun(RefusalReason.Overloaded, 'the queue of the cell is full', 500)
    // No other request may be left to correct the estimate, and a sample that is refused now only asks again.
    if (request.origin === RequestOrigin.Batch && this.#queue.size < this.summary(now).freeSlots) return undefined
    const neededMs = this.#estimateDurationMs(request, now)
    if (now + ADMISSION_CONFIDENCE * neededMs <= request.deadline) return undefined
    const lateMs = Math.ceil(now + neededMs - request.deadline)
    return notRun(RefusalReason.DeadlineExceeded, `waiting and running would take about ${Math.round(neededMs)} ms, which exceeds the deadline`, lateMs)
  }

  /** Estimates the time until a request that arrives now has ended, in milliseconds; 0 without enough observations. */
  #estimateDurationMs (request: SlotRequest, now: number): number {
    const overallMsPerToken = this.#rate.overallMsPerToken()
    const entryMsPerToken = this.#rate.msPerToken(request.entry)
    if (overallMsPerToken === undefined || entryMsPerToken === undefined) return 0
    const { freeSlots, totalSlots, waiting } = this.summary(now)
    const tokensAhead = waiting < freeSlots ? 0 : this.#queue.tokensAhead(request)
    return tokensAhead * overallMsPerToken / Math.max(totalSlots, 1) + request.expectedTokens * entryMsPerToken
  }

  /** Cancels a request; a slot that it already holds is released. */
  #cancel (requestId: string, now: number): CellEffect[] {
    const waiting = this.#removeFromQueue(requestId)
    if (waiting !== undefined) return [this.#recordDecision(waiting, DecisionKind.Cancelled, '', 'cancelled by the caller')]
    const held = [...this.#held.values()].find((slot) => slot.request.requestId === requestId)
    return held === undefined ? [] : this.#release(held.grant.slotId, SlotEnd.Cancelled, 0, now)
  }

  #release (slotId: string, end: SlotEnd, actualTokens: number, now: number): CellEffect[] {
    const held = this.#held.get(slotId)
    if (held === undefined) return []
    this.#held.delete(slotId)
    this.#leases.delete(held)
    const endpoint = this.#endpoints.get(held.grant.endpoint.id)
    endpoint?.removeSlot(held, now)
    if (end === SlotEnd.EndpointLost) endpoint?.markLost(now)
    if (end === SlotEnd.Finished) {
      endpoint?.markAvailable()
      if (!held.adopted) this.#rate.observe(held.request.entry, held.request.expectedTokens, now - held.grantedAt)
    }
    if (!held.adopted) this.#queue.settleCost(held.request, actualTokens)
    return [this.#recordDecision(held.request, DecisionKind.Released, held.grant.endpoint.id, end)]
  }

  #addEndpoint (endpoint: Endpoint): CellEffect[] {
    const known = this.#endpoints.get(endpoint.id)
    if (known === undefined) {
      this.#endpoints.set(endpoint.id, new CellEndpoint(endpoint))
      return []
    }
    if (known.endpoint.url !== endpoint.url) known.prefixes.clear()
    known.endpoint = endpoint
    known.leaving = false
    return []
  }

  #drainEndpoint (endpointId: string): CellEffect[] {
    const endpoint = this.#endpoints.get(endpointId)
    if (endpoint !== undefined) endpoint.leaving = true
    if (this.#suspectEndpoint === endpoint) this.#suspectEndpoint = undefined
    return []
  }

  #removeEndpoint (endpointId: string, now: number): CellEffect[] {
    const endpoint = this.#endpoints.get(endpointId)
    if (endpoint === undefined) return []
    const effects = [...endpoint.held.keys()].flatMap((slotId) => this.#release(slotId, SlotEnd.EndpointLost, 0, now))
    this.#endpoints.delete(endpointId)
    if (this.#suspectEndpoint === endpoint) this.#suspectEndpoint = undefined
    return effects
  }

  #addLoadReport (endpointId: string, running: number, observedAt: number, now: number): CellEffect[] {
    const endpoint = this.#endpoints.get(endpointId)
    if (endpoint === undefined) return []
    endpoint.addReport(running, observedAt)
    return this.#evaluateReport(endpoint, now)
  }

  #evaluateReport (endpoint: CellEndpoint, now: number): CellEffect[] {
    return endpoint.evaluateReport(now).flatMap((slot) => this.#release(slot.grant.slotId, SlotEnd.Cancelled, 0, now))
  }

  #releaseGateway (gateway: string, now: number): CellEffect[] {
    const slots = [...this.#held.values()].filter((held) => held.request.gateway === gateway)
    const waiting = this.#queue.requests().filter((request) => request.gateway === gateway)
    return [
      ...slots.flatMap((held) => this.#release(held.grant.slotId, SlotEnd.Cancelled, 0, now)),
      ...waiting.flatMap((request) => this.#cancel(request.requestId, now))
    ]
  }

  /** Adopts the slots of previous owners that a gateway still holds, and releases adopted ones that it no longer holds. */
  #adoptSlots (gateway: string, claims: readonly SlotClaim[], now: number): CellEffect[] {
    const claimed = new Set(claims.map((claim) => claim.slotId))
    const noLongerHeld = [...this.#held.values()].filter((held) => held.adopted && held.request.gateway === gateway && !claimed.has(held.grant.slotId))
    const effects = noLongerHeld.flatMap((held) => this.#release(held.grant.slotId, SlotEnd.Cancelled, 0, now))
    for (const claim of claims) {
      const endpoint = this.#endpoints.get(claim.endpointId)
      if (endpoint === undefined || this.#held.has(claim.slotId) || this.#isOwnSlot(claim.slotId)) continue
      this.#holdSlot(endpoint, claim.slotId, claim.request, true, now)
    }
    return effects
  }

  #startGranting (now: number): CellEffect[] {
    this.#opensAt = now
    return []
  }

  #tick (now: number): CellEffect[] {
    const effects = [...this.#endpoints.values()].flatMap((endpoint) => this.#evaluateReport(endpoint, now))
    for (const [id, endpoint] of this.#endpoints) {
      if (endpoint.leaving && endpoint.busySlots === 0) this.#endpoints.delete(id)
    }
    for (let first = this.#waitingDeadlines.peek(); first !== undefined && first.deadline <= now; first = this.#waitingDeadlines.peek()) {
      this.#removeFromQueue(first.requestId)
      effects.push(...this.#refuse(first, notRun(RefusalReason.DeadlineExceeded, 'the deadline passed while the request was queued')))
    }
    for (let first = this.#leases.peek(); first !== undefined && first.grant.leaseDeadline <= now; first = this.#leases.peek()) {
      effects.push(...this.#release(first.grant.slotId, SlotEnd.Cancelled, 0, now))
    }
    return effects
  }

  /** Grants free slots to waiting requests in fair order until there are no slots or no requests left. */
  #dispatch (now: number): CellEffect[] {
    const effects: CellEffect[] = []
    if (now < this.#opensAt) return effects
    this.#chooseSuspectEndpoint(now)
    while (this.#queue.size > 0) {
      const request = this.#queue.take((candidate) => this.#chooseEndpoint(candidate, now) !== undefined)
      if (request === undefined) break
      const endpoint = this.#chooseEndpoint(request, now)
      invariant(endpoint !== undefined, 'a request taken from the queue has an endpoint')
      this.#waitingDeadlines.delete(request)
      this.#suspects.delete(request.requestId)
      effects.push(...this.#grant(request, endpoint, now))
    }
    return effects
  }

  #grant (request: SlotRequest, endpoint: CellEndpoint, now: number): CellEffect[] {
    this.#slotSequence += 1
    const slotId = `${this.#slotPrefix()}${this.#slotSequence}`
    const grant = this.#holdSlot(endpoint, slotId, request, false, now)
    return [
      this.#recordDecision(request, DecisionKind.Granted, endpoint.endpoint.id, 'next in fair order'),
      { kind: CellEffectKind.Grant, grant }
    ]
  }

  #holdSlot (endpoint: CellEndpoint, slotId: string, request: SlotRequest, adopted: boolean, now: number): SlotGrant {
    const leaseDeadline = Math.max(request.deadline, now) + this.#settings.leaseGraceMs
    const grant: SlotGrant = { slotId, requestId: request.requestId, endpoint: endpoint.endpoint, leaseDeadline }
    const slot: HeldSlot = { grant, request, grantedAt: now, adopted }
    endpoint.addSlot(slot, now)
    this.#held.set(slotId, slot)
    this.#leases.put(slot)
    return grant
  }

  #chooseEndpoint (request: SlotRequest, now: number): CellEndpoint | undefined {
    const context = { now, msPerToken: this.#rate.msPerToken(request.entry) }
    if (!request.suspect) return chooseEndpoint(this.#regularEndpoints(), request, context)
    const suspectEndpoint = this.#suspectEndpoint
    return suspectEndpoint !== undefined && suspectEndpoint.busySlots === 0 ? chooseEndpoint([suspectEndpoint], request, context) : undefined
  }

  /** Endpoints that are not reserved for suspect requests. */
  * #regularEndpoints (): Generator<CellEndpoint> {
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint !== this.#suspectEndpoint) yield endpoint
    }
  }

  /** Reserves the least busy suitable endpoint for suspect requests while there are any: for the first one that fits an endpoint. */
  #chooseSuspectEndpoint (now: number): void {
    const reserved = this.#suspectEndpoint
    if (reserved !== undefined && runsSuspect(reserved)) return
    this.#suspectEndpoint = undefined
    const usable = [...this.#endpoints.values()].filter((endpoint) => endpoint.isUsable(now))
    for (const requestId of this.#suspects) {
      const request = this.#queue.find(requestId)
      const fitting = usable.filter(({ endpoint }) => request?.excluded.includes(endpoint.id) === false)
      if (fitting.length === 0) continue
      this.#suspectEndpoint = reserved !== undefined && fitting.includes(reserved) ? reserved : fitting.sort((a, b) => a.busySlots - b.busySlots)[0]
      return
    }
  }

  #removeFromQueue (requestId: string): SlotRequest | undefined {
    const request = this.#queue.remove(requestId)
    if (request === undefined) return undefined
    this.#waitingDeadlines.delete(request)
    this.#suspects.delete(requestId)
    return request
  }

  #slotPrefix (): string {
    return `${this.#settings.name}/${this.#settings.incarnation}/`
  }

  #isOwnSlot (slotId: string): boolean {
    return slotId.startsWith(this.#slotPrefix())
  }

  #refuse (request: SlotRequest, refusal: Refusal): CellEffect[] {
    return [
      this.#recordDecision(request, DecisionKind.Refused, '', refusal.reason),
      { kind: CellEffectKind.Refuse, requestId: request.requestId, refusal }
    ]
  }

  #recordDecision (request: SlotRequest, kind: DecisionKind, endpoint: string, reason: string): CellEffect {
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

/** Name of a request's lane: all requests of a lane may use the same endpoints. */
function laneName (request: SlotRequest): string {
  return `${request.suspect ? 'suspect' : ''}\u0000${[...request.excluded].sort().join('\u0000')}`
}

/** Whether a suspect request runs on the endpoint. */
function runsSuspect (endpoint: CellEndpoint): boolean {
  return [...endpoint.held.values()].some((slot) => slot.request.suspect)
}
