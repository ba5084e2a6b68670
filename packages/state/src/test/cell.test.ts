import test from 'ava'
import fc from 'fast-check'
import { Cell } from '../lib/cell.js'
import { CellEffectKind, CellEventKind, SlotEnd } from '../lib/cell-event.js'
import { FencingSupport } from '../lib/catalogue.js'
import { RequestOrigin } from '../lib/request-origin.js'
import { slotRequest } from './slot-request.js'
import type { Endpoint } from '../lib/catalogue.js'
import type { CellEvent, SlotClaim, SlotGrant, SlotRequest } from '../lib/cell-event.js'

const SEED = 20_261_204
const RUNS = 1_000
const SLOTS = 2
const ENDPOINTS = ['a', 'b', 'c']

function endpoint (id: string): Endpoint {
  return { id, url: `http://127.0.0.1/${id}`, region: 'r', failureDomain: 'd', slots: SLOTS, cheap: false, fencing: FencingSupport.Checked }
}

function openCell (): Cell {
  const cell = new Cell({ name: 'cell', incarnation: 'life', queueLimit: 1_000, leaseGraceMs: 100, opensAt: 0 })
  for (const id of ENDPOINTS) cell.step({ kind: CellEventKind.EndpointUp, endpoint: endpoint(id) }, 0)
  return cell
}

/** Model of a cell that checks its effects from the view of its task and its endpoints. */
class CellModel {
  readonly cell = openCell()
  readonly requests = new Map<string, SlotRequest>()
  readonly answered = new Set<string>()
  readonly cancelled = new Set<string>()
  readonly slots = new Map<string, SlotGrant>()
  readonly leaving = new Set<string>()
  readonly violations: string[] = []
  now = 0

  step (event: CellEvent): void {
    for (const effect of this.cell.step(event, this.now)) {
      if (effect.kind === CellEffectKind.Grant) this.#recordGrant(effect.grant)
      if (effect.kind === CellEffectKind.Refuse) this.#recordAnswer(effect.requestId)
      if (effect.kind === CellEffectKind.Record && effect.decision.kind === 'released') this.#recordRelease(effect.decision.requestId)
    }
    for (const [id, busy] of this.cell.busySlots()) {
      const held = [...this.slots.values()].filter((slot) => slot.endpoint.id === id).length
      if (busy !== held) this.violations.push(`${id} is busy with ${busy}, held ${held}`)
      if (busy > SLOTS) this.violations.push(`${id} has more than its slots`)
    }
  }

  #recordGrant (grant: SlotGrant): void {
    this.#recordAnswer(grant.requestId)
    if (this.leaving.has(grant.endpoint.id)) this.violations.push('granted to a leaving endpoint')
    if (this.requests.get(grant.requestId)?.excluded.includes(grant.endpoint.id) === true) this.violations.push('granted to an excluded endpoint')
    this.slots.set(grant.slotId, grant)
  }

  #recordRelease (requestId: string): void {
    for (const [slotId, grant] of this.slots) {
      if (grant.requestId === requestId) this.slots.delete(slotId)
    }
  }

  #recordAnswer (requestId: string): void {
    if (this.answered.has(requestId) || this.cancelled.has(requestId)) this.violations.push(`${requestId} was answered twice or after its cancellation`)
    this.answered.add(requestId)
  }

  /** Whether a waiting request fits a free slot, which must never be the case. */
  get hasOverlookedRequest (): boolean {
    const busy = this.cell.busySlots()
    const free = ENDPOINTS.filter((id) => !this.leaving.has(id) && (busy.get(id) ?? SLOTS) < SLOTS)
    return this.cell.waiting().some((request) => !request.suspect && free.some((id) => !request.excluded.includes(id)))
  }
}

const anyRequest = fc.record({
  excluded: fc.subarray(ENDPOINTS, { maxLength: 2 }),
  workspace: fc.constantFrom('w1', 'w2'),
  gateway: fc.constantFrom('g1', 'g2'),
  lifeMs: fc.integer({ min: 1, max: 500 }),
  expectedTokens: fc.integer({ min: 1, max: 50 })
})

const anyStep = fc.oneof(
  { weight: 6, arbitrary: fc.record({ do: fc.constant('request' as const), request: anyRequest, suspect: fc.constant(false) }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('release' as const), pick: fc.nat(), end: fc.constantFrom(SlotEnd.Finished, SlotEnd.Failed, SlotEnd.Cancelled) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('cancel' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constantFrom('up' as const, 'leaving' as const), id: fc.constantFrom(...ENDPOINTS) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('gateway-down' as const), gateway: fc.constantFrom('g1', 'g2') }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('tick' as const), byMs: fc.integer({ min: 0, max: 300 }) }) }
)

function applyStep (model: CellModel, step: typeof anyStep extends fc.Arbitrary<infer Step> ? Step : never, index: number): void {
  switch (step.do) {
    case 'request': {
      const { lifeMs, ...part } = step.request
      const request = slotRequest(`r${index}`, { ...part, deadline: model.now + lifeMs })
      model.requests.set(request.requestId, request)
      model.step({ kind: CellEventKind.Request, request })
      return
    }
    case 'release': {
      const slots = [...model.slots.keys()]
      const slotId = slots[step.pick % Math.max(slots.length, 1)]
      if (slotId !== undefined) model.step({ kind: CellEventKind.Release, slotId, end: step.end, actualTokens: 3 })
      return
    }
    case 'cancel': {
      const waiting = model.cell.waiting()
      const request = waiting[step.pick % Math.max(waiting.length, 1)]
      if (request === undefined) return
      model.cancelled.add(request.requestId)
      model.step({ kind: CellEventKind.Cancel, requestId: request.requestId })
      return
    }
    case 'up':
      model.leaving.delete(step.id)
      model.step({ kind: CellEventKind.EndpointUp, endpoint: endpoint(step.id) })
      return
    case 'leaving':
      model.leaving.add(step.id)
      model.step({ kind: CellEventKind.EndpointLeaving, endpointId: step.id })
      return
    case 'gateway-down':
      for (const request of model.cell.waiting()) {
        if (request.gateway === step.gateway) model.cancelled.add(request.requestId)
      }
      model.step({ kind: CellEventKind.GatewayDown, gateway: step.gateway })
      return
    default:
      model.now += step.byMs
      model.step({ kind: CellEventKind.Tick })
  }
}

test(`for any sequence of events, slots are counted correctly, requests answered once, exclusions respected and free slots used (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.array(anyStep, { maxLength: 120, size: 'max' }), (steps) => {
    const model = new CellModel()
    steps.forEach((step, index) => {
      applyStep(model, step, index)
      if (model.hasOverlookedRequest) model.violations.push(`a waiting request fits a free slot after ${step.do}`)
    })
    // Let every deadline and lease expire, so that all requests must be answered and no slot may be held.
    model.now += 10_000
    model.step({ kind: CellEventKind.Tick })
    for (const requestId of model.requests.keys()) {
      if (!model.answered.has(requestId) && !model.cancelled.has(requestId)) model.violations.push(`${requestId} was never answered`)
    }
    if (model.slots.size > 0) model.violations.push('a slot outlived its lease')
    if (model.violations.length > 0) throw new Error(model.violations.join('; '))
  }), { seed: SEED, numRuns: 2 * RUNS })
  t.pass()
})

function grantsFrom (cell: Cell, event: CellEvent, now: number): SlotGrant[] {
  return cell.step(event, now).flatMap((effect) => effect.kind === CellEffectKind.Grant ? [effect.grant] : [])
}

function requestSlots (cell: Cell, count: number, now = 0): SlotGrant[] {
  return Array.from({ length: count }, (_, index) => index).flatMap((index) => {
    return grantsFrom(cell, { kind: CellEventKind.Request, request: slotRequest(`f${now}/${index}`, {}) }, now)
  })
}

test('a late report frees a slot that the endpoint no longer runs, but not one that is still running', (t) => {
  const cell = openCell()
  const grants = requestSlots(cell, SLOTS * ENDPOINTS.length)
  t.is(grants.length, SLOTS * ENDPOINTS.length)
  const early = { kind: CellEventKind.LoadReport as const, endpointId: 'a', running: 0, observedAt: 1_000 }
  cell.step(early, 16_000)
  t.is(cell.busySlots().get('a'), SLOTS, 'the report was taken before the requests had to appear in it')
  cell.step({ ...early, observedAt: 10_000, running: 1 }, 25_000)
  t.is(cell.busySlots().get('a'), SLOTS - 1)
  cell.step({ ...early, observedAt: 12_000, running: 1 }, 27_000)
  t.is(cell.busySlots().get('a'), SLOTS - 1)
})

test('load from other clients reduces the free slots, but own work that ended after the report does not count as such', (t) => {
  const cell = openCell()
  const [first] = requestSlots(cell, 1)
  t.is(first?.endpoint.id, 'a')
  cell.step({ kind: CellEventKind.Release, slotId: first?.slotId ?? '', end: SlotEnd.Finished, actualTokens: 1 }, 9_000)
  cell.step({ kind: CellEventKind.LoadReport, endpointId: 'a', running: 1, observedAt: 8_000 }, 20_000)
  t.is(cell.summary(20_000).freeSlots, SLOTS * ENDPOINTS.length)
  cell.step({ kind: CellEventKind.LoadReport, endpointId: 'a', running: SLOTS, observedAt: 15_000 }, 30_000)
  t.is(cell.summary(30_000).freeSlots, SLOTS * (ENDPOINTS.length - 1))
  t.true(requestSlots(cell, 10, 30_000).every((grant) => grant.endpoint.id !== 'a'))
})

test('a new owner grants nothing until it knows the held slots, and then only free ones', (t) => {
  const cell = new Cell({ name: 'cell', incarnation: 'next', queueLimit: 10, leaseGraceMs: 100, opensAt: 1_000 })
  for (const id of ENDPOINTS) cell.step({ kind: CellEventKind.EndpointUp, endpoint: endpoint(id) }, 0)
  t.is(requestSlots(cell, 6, 10).length, 0)
  const claims = ENDPOINTS.map((id): SlotClaim => ({ slotId: `cell/life/${id}`, endpointId: id, request: slotRequest(`old-${id}`, {}) }))
  cell.step({ kind: CellEventKind.Held, gateway: 'g0', slots: claims }, 20)
  t.is(grantsFrom(cell, { kind: CellEventKind.Open }, 30).length, 3)
  t.is(grantsFrom(cell, { kind: CellEventKind.Held, gateway: 'g0', slots: claims.slice(1) }, 40).length, 1, 'a slot released in the meantime is free')
})

test('a suspect request runs alone on its endpoint, and other endpoints continue', (t) => {
  const cell = openCell()
  const first = requestSlots(cell, 4)
  t.is(grantsFrom(cell, { kind: CellEventKind.Request, request: slotRequest('s1', { suspect: true }) }, 1).length, 0)
  t.is(grantsFrom(cell, { kind: CellEventKind.Request, request: slotRequest('s2', { suspect: true }) }, 1).length, 0)
  const granted = [...first]
  const suspects: SlotGrant[] = []
  for (let next = granted.shift(); next !== undefined && suspects.length === 0; next = granted.shift()) {
    suspects.push(...grantsFrom(cell, { kind: CellEventKind.Release, slotId: next.slotId, end: SlotEnd.Finished, actualTokens: 1 }, 2))
  }
  t.deepEqual(suspects.map((grant) => grant.requestId), ['s1'])
  const others = requestSlots(cell, 10, 3)
  t.true(others.length > 0)
  t.true(others.every((grant) => grant.endpoint.id !== suspects[0]?.endpoint.id))
  const next = grantsFrom(cell, { kind: CellEventKind.Release, slotId: suspects[0]?.slotId ?? '', end: SlotEnd.Finished, actualTokens: 1 }, 4)
  t.deepEqual(next.map((grant) => grant.requestId), ['s2'])
})

test('a lost endpoint gets no work until a load report shows that it is available again', (t) => {
  const cell = openCell()
  const [grant] = requestSlots(cell, 1)
  cell.step({ kind: CellEventKind.LoadReport, endpointId: 'a', running: 0, observedAt: 1 }, 1)
  cell.step({ kind: CellEventKind.Release, slotId: grant?.slotId ?? '', end: SlotEnd.EndpointLost, actualTokens: 0 }, 10)
  t.is(cell.summary(60_000).freeSlots, SLOTS * (ENDPOINTS.length - 1))
  cell.step({ kind: CellEventKind.LoadReport, endpointId: 'a', running: 0, observedAt: 60_001 }, 60_001)
  t.is(cell.summary(60_001).freeSlots, SLOTS * ENDPOINTS.length)
})

test('a request that cannot end before its deadline is refused on arrival as not run', (t) => {
  const cell = openCell()
  for (let index = 0; index < 20; index++) {
    const [grant] = requestSlots(cell, 1, index * 1_000)
    cell.step({ kind: CellEventKind.Release, slotId: grant?.slotId ?? '', end: SlotEnd.Finished, actualTokens: 10 }, index * 1_000 + 500)
  }
  const refusals = (deadline: number): string[] => cell.step({ kind: CellEventKind.Request, request: slotRequest(`d${deadline}`, { deadline }) }, 30_000)
    .flatMap((effect) => effect.kind === CellEffectKind.Refuse ? [effect.refusal.reason, effect.refusal.ran] : [])
  t.deepEqual(refusals(30_100), ['deadline-exceeded', 'no'])
  t.deepEqual(refusals(31_000), [])
})

// Guards against refusing a sample again and again by an estimate that nothing updates while no request runs.
test('with free slots a sample is placed although requests were slow before, and a caller\'s request is still refused', (t) => {
  const cell = openCell()
  for (let index = 0; index < 20; index++) {
    const [grant] = grantsFrom(cell, { kind: CellEventKind.Request, request: slotRequest(`slow${index}`, { expectedTokens: 1 }) }, index * 2_000)
    cell.step({ kind: CellEventKind.Release, slotId: grant?.slotId ?? '', end: SlotEnd.Finished, actualTokens: 1 }, index * 2_000 + 2_000)
  }
  const long = { expectedTokens: 1_000, deadline: 160_000 }
  t.is(grantsFrom(cell, { kind: CellEventKind.Request, request: slotRequest('caller', long) }, 100_000).length, 0)
  t.is(grantsFrom(cell, { kind: CellEventKind.Request, request: slotRequest('sample', { ...long, origin: RequestOrigin.Batch }) }, 100_000).length, 1)
})

// Guards against holding back all samples under which endpoints crashed behind one that fits no endpoint at the moment.
test('a suspect request that fits no usable endpoint doesn\'t keep other suspects from running', (t) => {
  const cell = openCell()
  const held = requestSlots(cell, SLOTS * ENDPOINTS.length)
  const suspects = [slotRequest('s1', { suspect: true, excluded: ['a', 'b'] }), slotRequest('s2', { suspect: true })]
  for (const request of suspects) t.is(grantsFrom(cell, { kind: CellEventKind.Request, request }, 1).length, 0)
  const granted = held.flatMap(({ slotId, endpoint: { id } }) => {
    return grantsFrom(cell, { kind: CellEventKind.Release, slotId, end: id === 'c' ? SlotEnd.EndpointLost : SlotEnd.Finished, actualTokens: 1 }, 2)
  })
  t.deepEqual(granted.map(({ requestId }) => requestId), ['s2'])
})
