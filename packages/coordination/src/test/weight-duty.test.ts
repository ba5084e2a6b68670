import test from 'ava'
import { IGNORED_NOTICES, SILENT_LOG, UNLIMITED_SENDS, WeightDuty } from '@cyclamenthread/coordination'
import { RouteKind, StepDemand } from '@cyclamenthread/state'
import { WeightOrderStatus } from '@cyclamenthread/protocol'
import { createHeldLease } from '@cyclamenthread/standins'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints } from './scripted-endpoints.js'
import type { DutyContext, MemberView, MessageBus } from '@cyclamenthread/coordination'
import type { EndpointEntry, EndpointTable } from '@cyclamenthread/state'
import type { LeaderLease, EndpointReport, WeightOrder } from '@cyclamenthread/protocol'
import type { ExecutionContext } from 'ava'

/** Duration of a weight change in these tests, in milliseconds. */
const LOAD_MS = 60

/** Endpoints that complete weight orders after `LOAD_MS` and reject orders with an unexpected number of earlier orders. */
class LoadingEndpoints extends ScriptedEndpoints {
  readonly versions = new Map<string, number>()
  readonly acceptedOrders = new Map<string, number>()
  answers = true
  maxLoading = 0
  firstOrderAt: number | undefined
  #loading = 0

  override readReport: (endpoint: EndpointEntry) => Promise<EndpointReport | undefined> = async ({ id }) => ({
    versions: { critic: this.versions.get(id) ?? 1 }, busy: false, orders: this.acceptedOrders.get(id) ?? 0, load: { running: 0, waiting: 0 }
  })

  override async orderWeights (endpoint: EndpointEntry, order: WeightOrder): Promise<WeightOrderStatus> {
    this.orders.push({ endpoint: endpoint.id, order })
    this.firstOrderAt ??= performance.now()
    if (!this.answers) return WeightOrderStatus.Unknown
    if (order.expectedOrders !== (this.acceptedOrders.get(endpoint.id) ?? 0)) return WeightOrderStatus.Busy
    this.acceptedOrders.set(endpoint.id, order.expectedOrders + 1)
    this.#loading += 1
    this.maxLoading = Math.max(this.maxLoading, this.#loading)
    setTimeout(() => {
      this.#loading -= 1
      this.versions.set(endpoint.id, order.version)
    }, LOAD_MS)
    return WeightOrderStatus.Accepted
  }
}

interface Fixture {
  readonly endpoints: LoadingEndpoints
  readonly released: Map<string, number>
  readonly table: EndpointTable
  runOnce (lease?: () => LeaderLease | undefined): Promise<void>
}

async function createFixture (t: ExecutionContext, count: number, singleVersion = false): Promise<Fixture> {
  const { store, view } = openDeployment(t)
  store.set('config/main', {
    version: 1,
    routes: [{ name: 'r', host: 'h', pathPrefix: '/', kind: RouteKind.Rollout, singleVersion, shares: [{ service: 'models', weight: 1 }] }],
    services: [{ name: 'models', maxConnections: 1, models: ['critic'], capacity: undefined }],
    workspaces: undefined,
    limits: {}
  })
  for (let index = 0; index < count; index += 1) store.set(`servers/e${index}`, endpointEntry(`e${index}`, { versions: { critic: 1 } }))
  await waitUntil(t, () => view.endpointTable.endpointsOfService('models').length === count && view.routeTable !== undefined)
  const endpoints = new LoadingEndpoints()
  const released = new Map([['critic', 1]])
  const context: Partial<DutyContext> = {
    hostId: 'a',
    deployment: view,
    endpoints,
    sends: UNLIMITED_SENDS,
    notices: IGNORED_NOTICES,
    demand: new StepDemand(),
    log: SILENT_LOG,
    releases: () => released,
    members: { workers: () => [] } as unknown as MemberView,
    bus: {} as unknown as MessageBus
  }
  const duty = new WeightDuty(context as DutyContext)
  return { endpoints, released, table: view.endpointTable, runOnce: async (lease = () => createHeldLease(7, 1_000)) => await duty.runOnce(lease) }
}

async function runTurnsUntil (fixture: Fixture, condition: () => boolean, most = 400): Promise<void> {
  for (let turn = 0; turn < most && !condition(); turn += 1) {
    await fixture.runOnce()
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
}

test('a released version reaches every endpoint after its step has started, at most half of them at a time, with the lease\'s fencing token', async (t) => {
  const fixture = await createFixture(t, 6)
  fixture.released.set('critic', 2)
  const releasedAt = performance.now()
  await runTurnsUntil(fixture, () => [...fixture.endpoints.versions.values()].filter((version) => version === 2).length === 6)
  t.true(fixture.endpoints.maxLoading <= 3)
  t.true((fixture.endpoints.firstOrderAt ?? 0) - releasedAt >= 400, 'the previous version still serves the step that has just started')
  t.true(fixture.endpoints.orders.every(({ order }) => order.lease.fence === 7 && order.version === 2))
  t.deepEqual(fixture.endpoints.orders.map(({ endpoint }) => endpoint).sort(), ['e0', 'e1', 'e2', 'e3', 'e4', 'e5'])
})

test('if each sample must come from a single version, only half of the endpoints get a new version, so that running samples are kept', async (t) => {
  const fixture = await createFixture(t, 6, true)
  fixture.released.set('critic', 2)
  await runTurnsUntil(fixture, () => false, 60)
  t.is(new Set(fixture.endpoints.orders.map(({ endpoint }) => endpoint)).size, 3)
  t.is([...fixture.endpoints.versions.values()].filter((version) => version === 2).length, 3)
})

test('an unanswered order is repeated only with the number of orders that the endpoint reports', async (t) => {
  const fixture = await createFixture(t, 1)
  fixture.released.set('critic', 2)
  fixture.endpoints.answers = false
  await runTurnsUntil(fixture, () => fixture.endpoints.orders.length >= 1)
  fixture.endpoints.answers = true
  // The first order took effect late: the endpoint has accepted an order that the leader does not know of.
  fixture.endpoints.acceptedOrders.set('e0', 1)
  await runTurnsUntil(fixture, () => fixture.endpoints.versions.get('e0') === 2)
  t.is(fixture.endpoints.orders.at(-1)?.order.expectedOrders, 1)
  t.is(fixture.endpoints.versions.get('e0'), 2)
})

test('without the lease no order is sent', async (t) => {
  const fixture = await createFixture(t, 2)
  fixture.released.set('critic', 2)
  for (let turn = 0; turn < 10; turn += 1) await fixture.runOnce(() => undefined)
  t.deepEqual(fixture.endpoints.orders, [])
})

// Guards against orders and reports that reach endpoints of an evacuated failure domain.
test('an evacuated endpoint gets no order and no request for a report, also if it is evacuated while its report is under way', async (t) => {
  const fixture = await createFixture(t, 2)
  let reports = 0
  fixture.endpoints.readReport = async () => {
    reports += 1
    fixture.table.setEvacuatedDomains(new Set(['leith-walk']))
    return { versions: { critic: 1 }, busy: false, orders: 0, load: { running: 0, waiting: 0 } }
  }
  fixture.released.set('critic', 2)
  await runTurnsUntil(fixture, () => reports > 0)
  const reportsBefore = reports
  await runTurnsUntil(fixture, () => false, 40)
  t.is(reports, reportsBefore)
  t.deepEqual(fixture.endpoints.orders, [])
})
