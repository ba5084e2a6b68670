import test from 'ava'
import { CallTask, DeploymentView, IGNORED_NOTICES, MirrorRole, NO_CRASHES, NO_RELAY, RolloutRun, RolloutStore, SILENT_LOG, StoreMirror, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { StreamPartKind } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { RolloutProgress, success, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints, waitUnlessAborted } from './scripted-endpoints.js'
import type { DeploymentDecoder, RolloutContext } from '@cyclamenthread/coordination'
import type { Declaration, EndpointEntry } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'
import type { StreamScript } from './scripted-endpoints.js'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }
const TIME = { sleep: async (milliseconds: number) => await new Promise<void>((resolve) => setTimeout(resolve, milliseconds)) }
const DECODER: DeploymentDecoder = { declaration: (object) => success(object.value as Declaration), endpoint: (object) => success(object.value as EndpointEntry) }
const SETTINGS = { waitMs: 50, noticeMs: 2_000, changePauseMs: 0 }

interface Fixture {
  readonly store: MemoryStore
  readonly endpoints: ScriptedEndpoints
  readonly context: RolloutContext
}

/** Opens the view of a host that gets its registry from a relay, or of one that watches the store itself. */
async function openHost (t: ExecutionContext, role: MirrorRole, entries: readonly EndpointEntry[]): Promise<Fixture> {
  const store = new MemoryStore(TIME, seededRandom(1))
  for (const entry of entries) store.set(`servers/${entry.id}`, entry)
  const relay = new StoreMirror({ ...SETTINGS, prefix: 'servers/' }, store, SILENT_LOG, () => 0)
  const registry = new StoreMirror({ ...SETTINGS, prefix: 'servers/' }, store, SILENT_LOG, () => 0)
  const declarations = new StoreMirror({ ...SETTINGS, prefix: 'config/' }, store, SILENT_LOG, () => 0)
  relay.setRole(() => MirrorRole.Relay)
  registry.setRole(() => role)
  relay.onUpdate((update) => {
    if (role === MirrorRole.Follower) registry.applyUpdate(update)
  })
  const view = new DeploymentView({ declarations, endpoints: registry, decoder: DECODER, log: SILENT_LOG })
  for (const mirror of [registry, declarations, relay]) {
    mirror.start()
    t.teardown(() => mirror.stop())
  }
  await waitUntil(t, () => entries.every(({ id }) => view.endpointTable.find(id) !== undefined))
  const endpoints = new ScriptedEndpoints()
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  return { store, endpoints, context: { deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(store), networkLocation: LOCATION, writer: 'w', log: SILENT_LOG } }
}

function streamOf (count: number, pauseMs: number, breakAfter = Infinity): StreamScript {
  return async function * (request, resumeAfter) {
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    for (let id = resumeAfter + 1; id <= count; id += 1) {
      if (id - resumeAfter > breakAfter || !await waitUnlessAborted(pauseMs, request.signal)) {
        yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
        return
      }
      yield { kind: StreamPartKind.Event, id, data: `e${id}`, version: undefined }
    }
    yield { kind: StreamPartKind.End }
  }
}

for (const role of [MirrorRole.Independent, MirrorRole.Follower]) {
  // Guards against the loss of all unfinished texts with all hosts: nothing of them was stored.
  test(`the text of a running sample is stored after a few seconds on a host that learns of endpoints in the role ${role}`, async (t) => {
    const { endpoints, context } = await openHost(t, role, [endpointEntry('a')])
    endpoints.streamScripts.set('a', streamOf(200, 40))
    const run = new RolloutRun(context, rolloutOrder(1, 1), new RolloutProgress())
    t.teardown(() => run.stop())
    run.start()
    await TIME.sleep(6_500)
    t.true((run.progress.texts.get('g0.0')?.pieces.length ?? 0) >= 14, `${run.progress.texts.get('g0.0')?.pieces.length ?? 0} events stored after 6.5 s`)
  })

  // Guards against texts that are thrown away although endpoints of their version serve.
  test(`a text of seconds goes on although its first endpoint is back under its id with the same version, in the role ${role}`, async (t) => {
    const { store, endpoints, context } = await openHost(t, role, [endpointEntry('a'), endpointEntry('bb')])
    endpoints.streamScripts.set('a', streamOf(200, 40, 100))
    endpoints.streamScripts.set('bb', streamOf(200, 40))
    context.deployment.endpointTable.recordPace('a', 10, performance.now())
    context.deployment.endpointTable.recordPace('bb', 90, performance.now())
    const run = new RolloutRun(context, rolloutOrder(1, 1), new RolloutProgress())
    t.teardown(() => run.stop())
    run.start()
    await waitUntil(t, () => endpoints.streams.length === 2)
    t.is(endpoints.streams[1]?.resumeAfter, 100)
    store.set('servers/a', endpointEntry('a', { bornAt: 2 }))
    await TIME.sleep(1_500)
    t.deepEqual(endpoints.streams.slice(2).map(({ resumeAfter }) => resumeAfter), [])
  })
}
