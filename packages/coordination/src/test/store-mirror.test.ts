import test from 'ava'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { endpointEntry } from '@cyclamenthread/state/testing'

test('endpoints are added and removed with their registry entries', async (t) => {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a'))
  await waitUntil(t, () => view.endpointTable.find('a') !== undefined)
  store.set('servers/b', endpointEntry('b'))
  await waitUntil(t, () => view.endpointTable.find('b') !== undefined)
  store.delete('servers/a')
  await waitUntil(t, () => view.endpointTable.find('a') === undefined)
  t.pass()
})

test('after the store has lost its history, the objects are listed again', async (t) => {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a'))
  await waitUntil(t, () => view.endpointTable.find('a') !== undefined)
  store.delete('servers/a')
  store.set('servers/b', endpointEntry('b'))
  store.compactHistory()
  await waitUntil(t, () => view.endpointTable.find('b') !== undefined)
  t.is(view.endpointTable.find('a'), undefined)
})

test('while the store is down, the last copy stays in use', async (t) => {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a'))
  await waitUntil(t, () => view.endpointTable.find('a') !== undefined)
  store.faults.down = true
  await new Promise((resolve) => setTimeout(resolve, 100))
  t.truthy(view.endpointTable.find('a'))
  store.faults.down = false
  store.set('servers/b', endpointEntry('b'))
  await waitUntil(t, () => view.endpointTable.find('b') !== undefined)
})

test('entries that expired during a store outage are kept for the time in which endpoints register again', async (t) => {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a'))
  store.set('servers/b', endpointEntry('b'))
  await waitUntil(t, () => view.endpointTable.find('b') !== undefined)
  store.faults.down = true
  await new Promise((resolve) => setTimeout(resolve, 150))
  store.delete('servers/a')
  store.delete('servers/b')
  store.faults.down = false
  await new Promise((resolve) => setTimeout(resolve, 400))
  t.is(view.endpointTable.usableEndpoints('models', performance.now()).length, 2)
  store.set('servers/a', endpointEntry('a'))
  // An endpoint that is still missing after that time is removed.
  await new Promise((resolve) => setTimeout(resolve, 2_800))
  t.deepEqual(view.endpointTable.usableEndpoints('models', performance.now()).map((record) => record.entry.id), ['a'])
})

// Guards against joined texts: right after an outage of the store, endpoints that restarted in it haven't registered again.
test('for as long as endpoints register again after a store outage, the registry proves no endpoint to be the same', async (t) => {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a'))
  await waitUntil(t, () => view.registeredUntil > 0)
  store.faults.down = true
  await new Promise((resolve) => setTimeout(resolve, 300))
  store.faults.down = false
  const backAt = performance.now()
  await waitUntil(t, () => view.registeredUntil === -Infinity)
  await waitUntil(t, () => view.registeredUntil > 0)
  t.true(performance.now() - backAt > 2_400, `${Math.round(performance.now() - backAt)} ms after the outage`)
})
