import test from 'ava'
import { CallTask, IGNORED_NOTICES, LocalBroker, NO_CRASHES, NO_RELAY, RolloutStore, RolloutTask, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { RefusalReason, RouteKind, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints, streamOf } from './scripted-endpoints.js'
import type { MemberView, MessageBus } from '@cyclamenthread/coordination'
import type { Declaration, Host } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const REGIONS = { 'leith-walk': 'lothian', castlegate: 'grampian' }
const IDS = ['h1', 'h2', 'h3', 'h4']

/** Two hosts in each region. */
function createHost (id: string): Host {
  const isFirst = id === 'h1' || id === 'h2'
  return { id, region: isFirst ? 'lothian' : 'grampian', failureDomain: isFirst ? 'leith-walk' : 'castlegate', peerAddress: id, callerUrl: '', hasDataFolder: false }
}

function declaration (version: number, homes: readonly string[]): Declaration {
  return {
    version,
    routes: [{ name: 'drafts', host: 'drafts.example', pathPrefix: '/drafts/', kind: RouteKind.Rollout, shares: [{ service: 'models', weight: 1 }], timeoutMs: 10_000, targetMs: 400, maxAttempts: 3, open: false, dueMs: 7_500, sampleLifetimeMs: 40_000, singleVersion: false, ...(homes.length === 0 ? {} : { homes }) }],
    services: [],
    workspaces: [{ name: 'office', keys: [] }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  }
}

interface Fixture {
  readonly tasks: ReadonlyMap<string, RolloutTask>
  readonly endpoints: ScriptedEndpoints
  /** Hosts that got a message with bodies. */
  readonly receivers: Set<string>
  readonly deployment: ReturnType<typeof openDeployment>
}

/** Creates hosts that share a store and a view of the deployment, with an endpoint in each region. */
async function openFixture (t: ExecutionContext, homes: readonly string[]): Promise<Fixture> {
  const deployment = openDeployment(t)
  const { store, view } = deployment
  store.set('config/main', declaration(1, homes))
  store.set('servers/a', endpointEntry('a', { slots: 32 }))
  store.set('servers/bb', endpointEntry('bb', { slots: 32, failureDomain: 'castlegate' }))
  await waitUntil(t, () => view.endpointTable.find('bb') !== undefined && view.routeTable !== undefined)
  const endpoints = new ScriptedEndpoints()
  for (const id of ['a', 'bb']) endpoints.streamScripts.set(id, streamOf(12, 3, 40))
  const receivers = new Set<string>()
  const brokers = new Map(IDS.map((id) => [id, new LocalBroker()]))
  const bus = {
    send: async (host: Host, message: { readonly kind: string }) => {
      if ('order' in message) receivers.add(host.id)
      return { ok: true, value: await brokers.get(host.id)?.call(message.kind, message, { meta: { from: '', deadline: Infinity, traceparent: '', signal: new AbortController().signal } }) }
    }
  } as unknown as MessageBus
  const members = { workers: () => IDS.map(createHost), isSuspected: () => false, reportSilence: () => {} } as unknown as MemberView
  const tasks = new Map(IDS.map((id) => {
    const self = createHost(id)
    const networkLocation = { failureDomain: self.failureDomain, region: self.region, regions: REGIONS }
    const shared = { deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, networkLocation, log: SILENT_LOG }
    const calls = new CallTask({ ...shared, crashes: NO_CRASHES, tally: new UsageTally(60_000) })
    const task = new RolloutTask({ ...shared, self, members, bus, calls, store: new RolloutStore(store), writer: id })
    brokers.get(id)?.createService(task.service())
    t.teardown(() => task.stop())
    return [id, task] as const
  }))
  return { tasks, endpoints, receivers, deployment }
}

function runnersOf (tasks: ReadonlyMap<string, RolloutTask>): string[] {
  return IDS.filter((id) => (tasks.get(id)?.running ?? 0) > 0)
}

// Guards against samples, and bodies of a rollout, that leave its homes because a host elsewhere accepts it (HOME).
test('a rollout that a host outside its homes accepts is owned and run in a home', async (t) => {
  const { tasks, endpoints, receivers } = await openFixture(t, ['grampian'])
  const order = rolloutOrder(2, 3)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => runnersOf(tasks).length === 1)
  t.true(['h3', 'h4'].includes(runnersOf(tasks)[0] ?? ''))
  await waitUntil(t, () => endpoints.streams.length === 6)
  t.true(endpoints.streams.every(({ request }) => request.endpoint.id === 'bb'))
  t.deepEqual([...receivers].filter((id) => id === 'h1' || id === 'h2'), [])
  const deadline = performance.now() + 4_000
  let results = 0
  while (results < 6 && performance.now() < deadline) {
    results = (await tasks.get('h2')?.readResults(order.id, order.workspace, 0, performance.now()))?.results.length ?? 0
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
  t.is(results, 6)
})

// Guards against a rollout that goes on where only an earlier declaration allowed it (HOME, CONFIG).
test('a change of the homes moves a running rollout and its streams', async (t) => {
  const { tasks, endpoints, deployment } = await openFixture(t, ['grampian'])
  for (const id of ['a', 'bb']) endpoints.streamScripts.set(id, streamOf(60, 3, 40))
  t.true((await tasks.get('h3')?.accept(rolloutOrder(1, 2)))?.ok)
  await waitUntil(t, () => endpoints.streams.length === 2)
  deployment.store.set('config/main', declaration(2, ['lothian']))
  await waitUntil(t, () => ['h1', 'h2'].includes(runnersOf(tasks).join()))
  await waitUntil(t, () => endpoints.streams.slice(2).length >= 2)
  t.true(endpoints.streams.slice(2).every(({ request }) => request.endpoint.id === 'a'))
})

// Guards against a rollout that is accepted although nothing in its homes can serve it.
test('a rollout without an endpoint in service in its homes is refused, with a reason that names them', async (t) => {
  const { tasks, deployment } = await openFixture(t, ['grampian'])
  deployment.view.endpointTable.setEvacuatedDomains(new Set(['castlegate']))
  const accepted = await tasks.get('h1')?.accept(rolloutOrder(1, 2))
  t.like(accepted, { ok: false, failure: { reason: RefusalReason.NoEndpoint, ran: 'no' } })
  t.regex(accepted?.ok === false ? accepted.failure.detail : '', /homes of the rollout \(grampian\)/)
})

// Guards against a trainer that is told "not run" of a rollout which an earlier attempt of it has stored (REFUSED).
test('a rollout that is stored already is accepted again, also without an endpoint in its homes', async (t) => {
  const { tasks, deployment } = await openFixture(t, ['grampian'])
  const order = rolloutOrder(1, 2)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  deployment.view.endpointTable.setEvacuatedDomains(new Set(['castlegate']))
  t.true((await tasks.get('h2')?.accept(order))?.ok)
})

// Guards against work that stays in a failure domain which the operator wants empty.
test('samples leave an evacuated failure domain, with the text that they have', async (t) => {
  const { tasks, endpoints, deployment } = await openFixture(t, [])
  for (const id of ['a', 'bb']) endpoints.streamScripts.set(id, streamOf(60, 3, 40))
  t.true((await tasks.get('h1')?.accept(rolloutOrder(1, 2)))?.ok)
  await waitUntil(t, () => endpoints.streams.length === 2)
  const [first] = endpoints.streams
  await new Promise((resolve) => setTimeout(resolve, 200))
  deployment.view.endpointTable.setEvacuatedDomains(new Set([first?.request.endpoint.failureDomain ?? '']))
  await waitUntil(t, () => endpoints.streams.length >= 4)
  t.true(endpoints.streams.slice(2).every(({ request, resumeAfter }) => request.endpoint.id !== first?.request.endpoint.id && resumeAfter > 0))
})
