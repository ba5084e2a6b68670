import test from 'ava'
import { CallTask, IGNORED_NOTICES, NO_CRASHES, NO_RELAY, RolloutRun, RolloutStore, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { StoreFailure, StreamPartKind, WriteStatus } from '@cyclamenthread/protocol'
import { failure, RolloutProgress, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints } from './scripted-endpoints.js'
import type { ObjectStore } from '@cyclamenthread/protocol'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }

// Guards against an item that reaches an endpoint after the end of its batch (UNASKED): its host was suspended, and took its log copy for current.
test('a run whose machine was suspended starts nothing until it has read its log again', async (t) => {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a'))
  await waitUntil(t, () => view.endpointTable.endpointsOfService('models').length === 1)
  const endpoints = new ScriptedEndpoints()
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
  })
  let isThrottled = false
  const throttled: ObjectStore = {
    read: async (key, call) => isThrottled ? failure(StoreFailure.Timeout) : await store.read(key, call),
    list: async (prefix, call) => await store.list(prefix, call),
    write: async (key, value, expectation, call) => isThrottled ? { status: WriteStatus.NotWritten, detail: 'store rate limit exceeded' } : await store.write(key, value, expectation, call),
    remove: async (key, version, call) => await store.remove(key, version, call),
    watch: async (prefix, after, call) => await store.watch(prefix, after, call)
  }
  const run = new RolloutRun({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(throttled), networkLocation: LOCATION, writer: 'w', log: SILENT_LOG }, rolloutOrder(1, 4), new RolloutProgress())
  t.teardown(() => run.stop())
  run.start()
  await waitUntil(t, () => endpoints.streams.length > 0)
  t.true(await run.refreshProgress(0))
  const { now } = Date
  t.teardown(() => {
    Date.now = now
  })
  isThrottled = true
  // Of a suspend of 10 s the steady clock shows nothing.
  Date.now = () => now() + 10_000
  const before = endpoints.streams.length
  await new Promise((resolve) => setTimeout(resolve, 1_000))
  t.is(endpoints.streams.length, before)
})
