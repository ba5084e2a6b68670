import test from 'ava'
import { CallTask, IGNORED_NOTICES, NO_CRASHES, NO_RELAY, RolloutRun, RolloutStore, SendPermission, SendPermitTask, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { StoreFailure, StreamPartKind, WriteStatus } from '@cyclamenthread/protocol'
import { EndpointTable, failure, RolloutProgress, SendUrgency, success, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints } from './scripted-endpoints.js'
import type { SendPermitContext } from '@cyclamenthread/coordination'
import type { ObjectStore } from '@cyclamenthread/protocol'
import type { Host } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }

/** Length of a suspend, in milliseconds. */
const SUSPEND_MS = 10_000

/** Lets the machine seem to have been suspended: of that time the steady clock shows nothing. */
function suspend (t: ExecutionContext): void {
  const { now } = Date
  t.teardown(() => {
    Date.now = now
  })
  Date.now = () => now() + SUSPEND_MS
}

// Guards against an item that reaches an endpoint after the end of its batch (UNASKED): its host was suspended, and took its log copy for current.
test.serial('a run whose machine was suspended starts nothing until it has read its log again', async (t) => {
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
  isThrottled = true
  suspend(t)
  const before = endpoints.streams.length
  await new Promise((resolve) => setTimeout(resolve, 1_000))
  t.is(endpoints.streams.length, before)
})

// Guards against more requests than an endpoint accepts: the keeper has granted others meanwhile what a suspended host still holds.
test.serial('a grant of a limited endpoint is not used after a suspend', async (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('e1')])
  const record = table.find('e1')
  if (record === undefined) throw new Error('the table has no endpoint')
  record.requestLimit.apply({ requestsPerSecond: 10, sentAt: performance.now() - 1, receivedAt: performance.now() })
  const bus = { send: async () => success({ granted: 2, retryAfterMs: 0 }) } as unknown as SendPermitContext['bus']
  const members = { workers: () => [{ id: 'b' }, { id: 'c' }] as Host[], members: () => [], isSuspected: () => false, onChange: () => {} }
  const permits = new SendPermitTask({ self: { id: 'a' }, members, bus, log: SILENT_LOG })
  const asked = permits.take(record, SendUrgency.Sample, 100)
  if (asked.kind !== SendPermission.Asking) throw new Error(`${asked.kind} instead of a question`)
  await asked.answered
  t.is(permits.take(record, SendUrgency.Sample, 100).kind, SendPermission.Granted)
  suspend(t)
  t.not(permits.take(record, SendUrgency.Sample, 100).kind, SendPermission.Granted)
})

// Guards against a request that is denied or run on a copy of the declaration or the registry from before a suspend (DENIED, TWICE).
test.serial('copies of the declaration and the registry count as old after a suspend', async (t) => {
  const { store, view } = openDeployment(t)
  store.set('config/main', { version: 1, routes: [], services: [], workspaces: undefined, limits: {} })
  store.set('servers/a', endpointEntry('a'))
  await waitUntil(t, () => view.routeTable !== undefined && view.endpointTable.endpointsOfService('models').length === 1)
  t.true(await view.awaitEndpoints(0))
  store.faults.down = true
  t.true(await view.awaitEndpoints(SUSPEND_MS / 2))
  t.true(view.declarationAgeMs < SUSPEND_MS / 2)
  suspend(t)
  t.true(view.declarationAgeMs >= SUSPEND_MS / 2)
  t.false(await view.awaitEndpoints(SUSPEND_MS / 2))
})
