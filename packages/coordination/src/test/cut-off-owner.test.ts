import test from 'ava'
import { CallTask, IGNORED_NOTICES, LocalBroker, NO_CRASHES, NO_RELAY, RolloutStore, RolloutTask, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { StreamPartKind } from '@cyclamenthread/protocol'
import { UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints, streamOf } from './scripted-endpoints.js'
import type { CallRelay, MemberView, MessageBus } from '@cyclamenthread/coordination'
import type { Host } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }
const IDS = ['h1', 'h2', 'h3']

interface Fixture {
  readonly tasks: ReadonlyMap<string, RolloutTask>
  /** Endpoints as each host reaches them. */
  readonly endpoints: ReadonlyMap<string, ScriptedEndpoints>
  /** Cuts a host off from all endpoints. */
  readonly cutOff: (id: string) => void
}

function createHost (id: string): Host {
  return { id, region: 'lothian', failureDomain: 'leith-walk', peerAddress: id, callerUrl: '', hasDataFolder: false }
}

/** Creates three hosts that share a store, and each of which may be cut off from its endpoint. */
async function openFixture (t: ExecutionContext): Promise<Fixture> {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a', { slots: 32 }))
  await waitUntil(t, () => view.endpointTable.find('a') !== undefined)
  const cutOffHosts = new Set<string>()
  const listeners = new Map<string, () => void>()
  const brokers = new Map(IDS.map((id) => [id, new LocalBroker()]))
  const bus = {
    send: async (host: Host, message: { readonly kind: string }) => ({ ok: true, value: await brokers.get(host.id)?.call(message.kind, message, { meta: { from: '', deadline: Infinity, traceparent: '', signal: new AbortController().signal } }) })
  } as unknown as MessageBus
  const members = { workers: () => IDS.map(createHost), isSuspected: () => false, reportSilence: () => {} } as unknown as MemberView
  const endpoints = new Map(IDS.map((id) => [id, new ScriptedEndpoints()]))
  const tasks = new Map(IDS.map((id) => {
    const relay: CallRelay = {
      ...NO_RELAY,
      get isCutOff () {
        return cutOffHosts.has(id)
      },
      onCutOff: (listener) => listeners.set(id, listener)
    }
    const reached = endpoints.get(id) ?? new ScriptedEndpoints()
    const shared = { deployment: view, endpoints: reached, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay, networkLocation: LOCATION, log: SILENT_LOG }
    const calls = new CallTask({ ...shared, crashes: NO_CRASHES, tally: new UsageTally(60_000) })
    const task = new RolloutTask({ ...shared, self: createHost(id), members, bus, calls, store: new RolloutStore(store), writer: id })
    brokers.get(id)?.createService(task.service())
    t.teardown(() => task.stop())
    return [id, task] as const
  }))
  const cutOff = (id: string): void => {
    cutOffHosts.add(id)
    endpoints.get(id)?.streamScripts.set('a', async function * () {
      yield { kind: StreamPartKind.Broken, sent: false, detail: 'connection refused' }
    })
    const timer = setInterval(() => listeners.get(id)?.(), 100)
    t.teardown(() => clearInterval(timer))
  }
  return { tasks, endpoints, cutOff }
}

/** Returns the hosts that run rollouts. */
function runnersOf (tasks: ReadonlyMap<string, RolloutTask>): string[] {
  return IDS.filter((id) => (tasks.get(id)?.running ?? 0) > 0)
}

// Guards against a step that runs out of time (LOST) because its owner reaches no endpoint while other hosts do.
test('the rollout of an owner that is cut off from all endpoints is completed by another host', async (t) => {
  const { tasks, endpoints, cutOff } = await openFixture(t)
  for (const id of IDS) endpoints.get(id)?.streamScripts.set('a', streamOf(20, 3, 50))
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => runnersOf(tasks).length === 1)
  const [owner = ''] = runnersOf(tasks)
  await waitUntil(t, () => endpoints.get(owner)?.streams.length === 4)
  cutOff(owner)
  await waitUntil(t, () => runnersOf(tasks).some((id) => id !== owner))
  const reader = tasks.get(IDS.find((id) => id !== owner) ?? '')
  let listed = 0
  const deadline = performance.now() + 5_000
  while (listed < 4 && performance.now() < deadline) listed = (await reader?.readResults(order.id, order.workspace, 0, performance.now() + 200))?.results.length ?? 0
  t.is(listed, 4)
  t.false(runnersOf(tasks).includes(owner))
})

// Guards against rollouts that are stopped for a successor that reaches no endpoint either.
test('a rollout stays with its owner while all hosts are cut off, and a new one is assigned to a host that reaches endpoints', async (t) => {
  const { tasks, endpoints, cutOff } = await openFixture(t)
  for (const id of IDS) endpoints.get(id)?.streamScripts.set('a', streamOf(60, 3, 50))
  t.true((await tasks.get('h1')?.accept(rolloutOrder(1, 4)))?.ok)
  await waitUntil(t, () => runnersOf(tasks).length === 1)
  const [owner = ''] = runnersOf(tasks)
  const others = IDS.filter((id) => id !== owner)
  for (const id of others) cutOff(id)
  t.true((await tasks.get(others[0] ?? '')?.accept({ ...rolloutOrder(1, 4), id: 'r2' }))?.ok)
  await waitUntil(t, () => tasks.get(owner)?.running === 2)
  cutOff(owner)
  await new Promise((resolve) => setTimeout(resolve, 1_000))
  t.deepEqual(runnersOf(tasks), [owner])
})
