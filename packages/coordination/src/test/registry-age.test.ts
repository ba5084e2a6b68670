import test from 'ava'
import { CallTask, DeploymentView, IGNORED_NOTICES, MirrorRole, NO_CRASHES, NO_RELAY, RolloutRun, RolloutStore, SILENT_LOG, StoreMirror, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { StreamPartKind } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { RolloutProgress, success, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { timeLeft } from '@cyclamenthread/transport'
import { waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints, waitUnlessAborted } from './scripted-endpoints.js'
import type { DeploymentDecoder } from '@cyclamenthread/coordination'
import type { Declaration, EndpointEntry } from '@cyclamenthread/state'
import type { MirrorUpdate } from '@cyclamenthread/protocol'
import type { StreamScript } from './scripted-endpoints.js'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }
const TIME = { sleep: async (milliseconds: number) => await new Promise<void>((resolve) => setTimeout(resolve, milliseconds)) }
const DECODER: DeploymentDecoder = { declaration: (object) => success(object.value as Declaration), endpoint: (object) => success(object.value as EndpointEntry) }

/** Settings of the registry's mirror on the platform; drainNoticeMs as for a bound of 2,500 ms. */
const SETTINGS = { prefix: 'servers/', waitMs: 3_000, noticeMs: 2_000, changePauseMs: 800 }

/** A store whose watches wait for a change as the platform's do, and whose answers to watches may be under way for a while. */
function openLateStore (): { readonly store: MemoryStore, readonly proxy: MemoryStore, readonly delay: { ms: number } } {
  const store = new MemoryStore(TIME, seededRandom(1))
  const delay = { ms: 0 }
  const proxy = new Proxy(store, {
    get: (target, name) => {
      const value = Reflect.get(target, name) as unknown
      if (typeof value !== 'function') return value
      if (name !== 'watch') return value.bind(target) as unknown
      return async (...[prefix, after, call]: Parameters<MemoryStore['watch']>) => {
        for (;;) {
          const answer = await target.watch(prefix, after, call)
          const isOver = !answer.ok || answer.value.changes.length > 0 || timeLeft(call.deadline) <= 800
          if (!isOver) {
            await TIME.sleep(10)
            continue
          }
          // The state is that of now; the answer arrives before the deadline of the call.
          await TIME.sleep(Math.max(0, Math.min(delay.ms, timeLeft(call.deadline) - 20)))
          return answer
        }
      }
    }
  })
  return { store, proxy, delay }
}

// Guards against joined texts: the answer to a watch was late, and its copy counted as current when it arrived.
test('a copy of the registry is not called current for the time in which the answer to a watch was under way', async (t) => {
  const { store, proxy, delay } = openLateStore()
  const mirror = new StoreMirror(SETTINGS, proxy, SILENT_LOG, () => 0)
  mirror.start()
  t.teardown(() => mirror.stop())
  await waitUntil(t, () => mirror.loaded)
  delay.ms = 2_000
  store.set('servers/z', 1)
  await TIME.sleep(200)
  store.set('servers/a', 1)
  const changedAt = performance.now()
  await waitUntil(t, () => mirror.objects().length > 0)
  t.false(mirror.objects().some(({ key }) => key === 'servers/a'))
  t.true(mirror.currentAt < changedAt, `called current ${Math.round(mirror.currentAt - changedAt)} ms after a change that it doesn't contain`)
})

// Guards against joined texts: a relay's update was late, and its copy counted as current when it arrived.
test('a follower does not call its copy current for the time in which a relay\'s update was under way', async (t) => {
  const store = new MemoryStore(TIME, seededRandom(1))
  store.set('servers/z', 1)
  const relay = new StoreMirror(SETTINGS, store, SILENT_LOG, () => 0)
  const follower = new StoreMirror(SETTINGS, store, SILENT_LOG, () => 0)
  const updates: MirrorUpdate[] = []
  relay.onUpdate((update) => updates.push(update))
  t.true(await relay.refresh())
  t.true(await follower.refresh())
  const [update] = updates
  t.truthy(update)
  store.set('servers/a', 1)
  const changedAt = performance.now()
  await TIME.sleep(1_800)
  if (update !== undefined) follower.applyUpdate(update)
  t.false(follower.objects().some(({ key }) => key === 'servers/a'))
  t.true(follower.currentAt < changedAt, `called current ${Math.round(follower.currentAt - changedAt)} ms after a change that it doesn't contain`)
})

// Guards against joined texts, and against a list call of every host: a follower's copy is dated by when it asked its relay.
test('a follower asks a relay for the age of its copy and counts it from the question; without an answer it lists the objects', async (t) => {
  const store = new MemoryStore(TIME, seededRandom(1))
  store.set('servers/z', 1)
  const follower = new StoreMirror(SETTINGS, store, SILENT_LOG, () => 0)
  follower.setRole(() => MirrorRole.Follower)
  t.true(await follower.refresh())
  const { next } = follower
  await TIME.sleep(300)
  follower.setRelayQuery(async () => {
    await TIME.sleep(600)
    return { next, ageMs: 100 }
  })
  const askedAt = performance.now()
  t.true(await follower.confirm())
  t.true(Math.abs(follower.currentAt - (askedAt - 100)) < 50, `${Math.round(follower.currentAt - askedAt)} ms from the question`)
  store.set('servers/a', 1)
  t.is(follower.objects().length, 1)
  follower.setRelayQuery(async () => ({}))
  t.true(await follower.confirm())
  t.is(follower.objects().length, 2)
})

function markedStream (mark: string, count: number, breakAfter = Infinity): StreamScript {
  return async function * (request, resumeAfter) {
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    for (let id = resumeAfter + 1; id <= count; id += 1) {
      if (id - resumeAfter > breakAfter || !await waitUnlessAborted(5, request.signal)) {
        yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
        return
      }
      yield { kind: StreamPartKind.Event, id, data: `${mark}:${id}`, version: undefined }
    }
    yield { kind: StreamPartKind.End }
  }
}

// Guards against joined texts: the registry's answer was late, so a restart with another software version looked ruled out.
test('a text is not confirmed by an answer of the registry that was under way when an endpoint restarted', async (t) => {
  const { store, proxy, delay } = openLateStore()
  const mirrors = [new StoreMirror({ ...SETTINGS, prefix: 'config/' }, store, SILENT_LOG, () => 0), new StoreMirror(SETTINGS, proxy, SILENT_LOG, () => 0)] as const
  const view = new DeploymentView({ declarations: mirrors[0], endpoints: mirrors[1], decoder: DECODER, log: SILENT_LOG })
  store.set('servers/a', endpointEntry('a', { softwareVersion: 's1' }))
  for (const mirror of mirrors) {
    mirror.start()
    t.teardown(() => mirror.stop())
  }
  await waitUntil(t, () => view.endpointTable.find('a') !== undefined)
  const endpoints = new ScriptedEndpoints()
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  const context = { deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(store), networkLocation: LOCATION, writer: 'w', log: SILENT_LOG }
  endpoints.streamScripts.set('a', markedStream('s1', 60, 20))
  const run = new RolloutRun(context, rolloutOrder(1, 1), new RolloutProgress())
  t.teardown(() => run.stop())
  // The watch is answered because of another entry, and the answer is under way for longer than a heartbeat and a write.
  delay.ms = 2_400
  store.set('servers/z', endpointEntry('z', { service: 'others' }))
  run.start()
  await waitUntil(t, () => endpoints.streams.length === 1)
  endpoints.streamScripts.set('a', markedStream('s2', 60))
  await waitUntil(t, () => endpoints.streams.length === 2)
  t.is(endpoints.streams[1]?.resumeAfter, 20)
  store.set('servers/a', endpointEntry('a', { softwareVersion: 's2', bornAt: 2 }))
  await waitUntil(t, () => run.isFinished)
  const output = run.progress.results[0]?.output ?? ''
  const marks = [...new Set(output.split('\n').map((piece) => piece.split(':')[0]))]
  t.is(marks.length, 1, `written by ${marks.join(' and ')}`)
})
