import test from 'ava'
import { CapacityDuty, LogEvent } from '@cyclamenthread/coordination'
import { StepDemand } from '@cyclamenthread/state'
import { PlatformCallStatus } from '@cyclamenthread/protocol'
import { createHeldLease } from '@cyclamenthread/standins'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { monotonicNow } from '@cyclamenthread/transport'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import type { DeploymentView, DutyContext, EventLog, LogFields } from '@cyclamenthread/coordination'
import type { CapacityOrder, LeaderLease } from '@cyclamenthread/protocol'
import type { CapacityBounds } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

/** Endpoints that the demand of these tests needs in each of three failure domains. */
const ENDPOINTS_PER_DOMAIN = 4

const DOMAINS = ['castlegate', 'grassmarket', 'leith-walk'] as const

/** Fails orders as a test says, and records all. */
class ScriptedPlatform {
  readonly orders: CapacityOrder[] = []
  answer: (order: CapacityOrder) => PlatformCallStatus = () => PlatformCallStatus.Done

  async orderCapacity (order: CapacityOrder): Promise<PlatformCallStatus> {
    this.orders.push(order)
    return this.answer(order)
  }

  /** Number of endpoints in the last order of each failure domain. */
  latest (): Record<string, number> {
    return Object.fromEntries(this.orders.map(({ failureDomain, count }) => [failureDomain, count]))
  }
}

interface Fixture {
  readonly view: DeploymentView
  readonly platform: ScriptedPlatform
  readonly lines: LogFields[]
  readonly duty: CapacityDuty
  /** Declares a version of the service with other bounds, and waits until it is in force. */
  declare (version: number, bounds?: Partial<CapacityBounds>): Promise<void>
  runOnce (lease?: () => LeaderLease | undefined): Promise<void>
}

async function createFixture (t: ExecutionContext, samples = ENDPOINTS_PER_DOMAIN * DOMAINS.length * 4): Promise<Fixture> {
  const { store, view } = openDeployment(t)
  const declare = async (version: number, bounds: Partial<CapacityBounds> = {}): Promise<void> => {
    const capacity = { minimum: 1, maximum: 16, startMs: 4_000, prices: { 'leith-walk': 1, grassmarket: 1.25, castlegate: 0.8 }, ...bounds }
    store.set('config/main', { version, routes: [], services: [{ name: 'models', maxConnections: 1, models: ['critic'], capacity }], workspaces: undefined, limits: {} })
    await waitUntil(t, () => view.routeTable?.declaration.version === version)
  }
  await declare(1)
  const names = DOMAINS.flatMap((failureDomain) => Array.from({ length: ENDPOINTS_PER_DOMAIN }, (_, index) => [`${failureDomain}-${index}`, failureDomain] as const))
  for (const [name, failureDomain] of names) store.set(`servers/${name}`, endpointEntry(name, { failureDomain }))
  await waitUntil(t, () => view.endpointTable.endpointsOfService('models').length === names.length)
  const platform = new ScriptedPlatform()
  const demand = new StepDemand()
  demand.recordStep('models', 'critic', { tokens: 1, samples }, monotonicNow())
  const lines: LogFields[] = []
  const log = { record: (event: LogEvent, fields: LogFields) => lines.push({ event, ...fields }) } as unknown as EventLog
  const duty = new CapacityDuty({ hostId: 'a', deployment: view, platform, demand, log } as unknown as DutyContext)
  return { view, platform, lines, duty, declare, runOnce: async (lease = () => createHeldLease(7, 1_000)) => await duty.runOnce(lease) }
}

test('nothing is missing: each failure domain gets one order for its demand', async (t) => {
  const { platform, runOnce } = await createFixture(t)
  await runOnce()
  await runOnce()
  t.deepEqual(platform.orders.map(({ failureDomain, count }) => [failureDomain, count]), [['leith-walk', 4], ['grassmarket', 4], ['castlegate', 4]])
})

test('the platform has no capacity in one domain (409): what is missing there is ordered in the others in the same turn', async (t) => {
  const { platform, lines, runOnce } = await createFixture(t, 2 * ENDPOINTS_PER_DOMAIN * DOMAINS.length * 4)
  platform.answer = ({ failureDomain }) => failureDomain === 'leith-walk' ? PlatformCallStatus.Refused : PlatformCallStatus.Done
  await runOnce()
  t.deepEqual(platform.latest(), { 'leith-walk': 8, grassmarket: 10, castlegate: 10 })
  await runOnce()
  t.is(platform.orders.length, 3, 'a refused order is not repeated at once')
  const line = lines.find(({ event, failureDomain }) => event === LogEvent.CapacityOrdered && failureDomain === 'castlegate')
  t.like(line, { count: 10, demand: 8, extra: 2, inService: 4, missing: ['leith-walk=4'], unplaced: 0, outcome: PlatformCallStatus.Done })
})

test('an evacuation: the demand of the domain is ordered in the others, and its own order is not sent again', async (t) => {
  const { view, platform, lines, runOnce } = await createFixture(t)
  await runOnce()
  platform.orders.length = 0
  view.endpointTable.setEvacuatedDomains(new Set(['leith-walk']))
  await runOnce()
  t.deepEqual(platform.latest(), { grassmarket: 6, castlegate: 6 })
  t.is(lines.filter(({ event }) => event === LogEvent.CapacityMissing).length, 1)
})

test('a new leader during an evacuation sends the same orders, and none to the evacuated domain', async (t) => {
  const { view, platform, duty, runOnce } = await createFixture(t)
  view.endpointTable.setEvacuatedDomains(new Set(['leith-walk']))
  await runOnce()
  const orders = platform.latest()
  duty.reset()
  platform.orders.length = 0
  await runOnce()
  t.deepEqual(platform.latest(), orders)
  t.deepEqual(Object.keys(orders).sort(), ['castlegate', 'grassmarket'])
})

test('endpoints that say that they leave, before the registry knows: their replacement is ordered at once', async (t) => {
  const { view, platform, runOnce } = await createFixture(t)
  await runOnce()
  for (const index of [0, 1]) view.endpointTable.recordLeaving(`leith-walk-${index}`, 1)
  await runOnce()
  t.deepEqual(platform.latest(), { 'leith-walk': 4, grassmarket: 5, castlegate: 5 })
})

test('an order without an answer may have taken effect: the number before it is sent again once that is due', async (t) => {
  const { platform, declare, runOnce } = await createFixture(t)
  await runOnce()
  platform.answer = () => PlatformCallStatus.Failed
  await declare(2, { minimum: 10 })
  await runOnce()
  t.deepEqual(platform.latest(), { 'leith-walk': 10, grassmarket: 10, castlegate: 10 })
  platform.answer = () => PlatformCallStatus.Done
  await declare(3, { minimum: 1 })
  const sent = platform.orders.length
  await runOnce()
  t.is(platform.orders.length, sent, 'not before the delay')
  for (const deadline = monotonicNow() + 5_000; platform.orders.length < sent + DOMAINS.length && monotonicNow() < deadline;) {
    await new Promise((resolve) => setTimeout(resolve, 50))
    await runOnce()
  }
  t.deepEqual(platform.latest(), { 'leith-walk': 4, grassmarket: 4, castlegate: 4 })
})

test('without the lease no order is sent', async (t) => {
  const { platform, runOnce } = await createFixture(t)
  await runOnce(() => undefined)
  t.deepEqual(platform.orders, [])
})
