import test from 'ava'
import { DeploymentView, LogEvent, StoreMirror } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { success } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { waitUntil } from './deployment-fixture.js'
import type { DeploymentDecoder, LogFields } from '@cyclamenthread/coordination'
import type { Declaration, EndpointEntry } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const DECODER: DeploymentDecoder = {
  declaration: (object) => success(object.value as Declaration),
  endpoint: (object) => success(object.value as EndpointEntry)
}

interface Fixture {
  readonly view: DeploymentView
  /** Lines about evacuations. */
  readonly lines: LogFields[]
  readonly evacuations: StoreMirror
}

function createStore (): MemoryStore {
  const store = new MemoryStore({ sleep: async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds)) }, seededRandom(1))
  store.set('config/main', { version: 1, routes: [], services: [], workspaces: undefined, limits: {} })
  store.set('servers/a', endpointEntry('a', { failureDomain: 'leith-walk' }))
  store.set('servers/bb', endpointEntry('bb', { failureDomain: 'grassmarket' }))
  return store
}

/** Opens the view of a host; its mirror of the evacuations isn't started. */
function openView (t: ExecutionContext, store: MemoryStore): Fixture {
  const lines: LogFields[] = []
  const log = {
    record: (event: LogEvent, fields: LogFields) => {
      if (event === LogEvent.DomainEvacuated) lines.push(fields)
    }
  }
  const [declarations, endpoints, evacuations] = ['config/', 'servers/', 'evacuations/'].map((prefix) => new StoreMirror({ prefix, waitMs: 50, noticeMs: 5_000, changePauseMs: 0 }, store, log, () => 0))
  if (declarations === undefined || endpoints === undefined || evacuations === undefined) throw new Error('expected three mirrors')
  const view = new DeploymentView({ declarations, endpoints, evacuations, decoder: DECODER, log })
  declarations.start()
  endpoints.start()
  t.teardown(() => {
    for (const mirror of [declarations, endpoints, evacuations]) mirror.stop()
  })
  return { view, lines, evacuations }
}

const servedIds = ({ view }: Fixture): string[] => view.endpointTable.endpointsInService().map(({ entry }) => entry.id).sort()

// Guards against a host that restarts during an evacuation and serves with evacuated endpoints until it has read which they are.
test('a host is not ready and knows no endpoint until it has read the evacuations', async (t) => {
  const store = createStore()
  store.set('evacuations/leith-walk', {})
  const fixture = openView(t, store)
  await waitUntil(t, () => fixture.view.routeTable !== undefined)
  await new Promise((resolve) => setTimeout(resolve, 50))
  t.false(fixture.view.ready)
  t.deepEqual(servedIds(fixture), [])
  fixture.evacuations.start()
  await waitUntil(t, () => fixture.view.ready)
  t.deepEqual(servedIds(fixture), ['bb'])
})

// Guards against an evacuation that is ignored because of its value, and against endpoints that stay out of service after the removal.
test('an object whose key names a failure domain takes its endpoints out of service until it is removed, whatever its value', async (t) => {
  const store = createStore()
  const fixture = openView(t, store)
  fixture.evacuations.start()
  await waitUntil(t, () => fixture.view.ready)
  t.deepEqual(servedIds(fixture), ['a', 'bb'])
  for (const value of [{}, null, 'odd', [1]]) {
    store.set('evacuations/leith-walk', value)
    await waitUntil(t, () => servedIds(fixture).join() === 'bb')
    const [object] = fixture.evacuations.objects()
    store.delete('evacuations/leith-walk')
    await waitUntil(t, () => servedIds(fixture).join() === 'a,bb')
    const [begun, lifted] = fixture.lines.splice(0)
    t.like(begun, { failureDomain: 'leith-walk', outcome: 'begun', version: object?.version, endpoints: 1, evacuated: ['leith-walk'] })
    t.like(lifted, { failureDomain: 'leith-walk', outcome: 'lifted', version: object?.version, evacuated: [] })
  }
})

// Guards against an evacuation that a host forgets when it loses the store.
test('a host without access to the store keeps the evacuations that it read last, also for endpoints that it learns of later', async (t) => {
  const store = createStore()
  store.set('evacuations/leith-walk', {})
  const fixture = openView(t, store)
  fixture.evacuations.start()
  await waitUntil(t, () => fixture.view.ready)
  store.faults.down = true
  await new Promise((resolve) => setTimeout(resolve, 100))
  t.deepEqual(servedIds(fixture), ['bb'])
  fixture.view.endpointTable.update([endpointEntry('ccc', { failureDomain: 'leith-walk' }), endpointEntry('bb', { failureDomain: 'grassmarket' })])
  t.deepEqual(servedIds(fixture), ['bb'])
})

// Guards against an endpoint that never gets warm, since the remaining time of its entry counts anew with each change of another one.
test('the remaining cold time of an entry counts from the first read of its version', async (t) => {
  const store = createStore()
  store.set('config/main', { version: 2, routes: [], services: [{ name: 'models', maxConnections: 1, models: [], capacity: undefined, cold: { durationMs: 10_000, requestsPerSecond: 8 } }], workspaces: undefined, limits: {} })
  store.set('servers/a', endpointEntry('a', { coldLeftMs: 60_000 }))
  const fixture = openView(t, store)
  fixture.evacuations.start()
  await waitUntil(t, () => fixture.view.ready)
  const table = fixture.view.endpointTable
  const untilOf = (id: string): number | undefined => table.limitedEndpoints(performance.now()).find(([{ entry }]) => entry.id === id)?.[1].cold?.until
  const until = untilOf('a') ?? 0
  t.true(until > performance.now() + 50_000 && until <= performance.now() + 60_000)
  await new Promise((resolve) => setTimeout(resolve, 50))
  store.set('servers/ccc', endpointEntry('ccc'))
  await waitUntil(t, () => table.find('ccc') !== undefined)
  t.is(untilOf('a'), until)
  store.set('servers/a', endpointEntry('a', { coldLeftMs: 60_000 }))
  await waitUntil(t, () => (untilOf('a') ?? 0) > until)
  store.set('servers/a', endpointEntry('a', { coldLeftMs: 0 }))
  await waitUntil(t, () => untilOf('a') === undefined)
})

// Guards against an old entry that makes an endpoint pass for a warm one when the evacuation is lifted.
test('after the lift of an evacuation, an entry that was written before it does not show that its endpoint is warm', async (t) => {
  const store = createStore()
  store.set('config/main', { version: 2, routes: [], services: [{ name: 'models', maxConnections: 1, models: [], capacity: undefined, cold: { durationMs: 10_000, requestsPerSecond: 8 } }], workspaces: undefined, limits: {} })
  store.set('evacuations/leith-walk', {})
  const fixture = openView(t, store)
  fixture.evacuations.start()
  await waitUntil(t, () => fixture.view.ready)
  const table = fixture.view.endpointTable
  const coldIds = (): string => table.limitedEndpoints(performance.now()).map(([{ entry }]) => entry.id).join()
  t.is(coldIds(), '')
  store.delete('evacuations/leith-walk')
  await waitUntil(t, () => servedIds(fixture).join() === 'a,bb')
  store.set('servers/a', endpointEntry('a', { failureDomain: 'leith-walk', coldLeftMs: 0 }))
  store.set('servers/ccc', endpointEntry('ccc'))
  await waitUntil(t, () => table.find('ccc') !== undefined)
  t.is(coldIds(), 'a')
})
