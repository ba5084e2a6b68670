import test from 'ava'
import { CallTask, IGNORED_NOTICES, NO_CRASHES, NO_RELAY, RolloutRun, RolloutStore, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { adoptRolloutSchema, StreamPartKind } from '@cyclamenthread/protocol'
import { EndpointPhase, RolloutProgress, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints, waitUnlessAborted } from './scripted-endpoints.js'
import type { EndpointEntry, RolloutOrder } from '@cyclamenthread/state'
import type { RolloutContext } from '@cyclamenthread/coordination'
import type { StreamScript } from './scripted-endpoints.js'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }

/** Options of {@link markedStream}. */
interface MarkedStream {
  /** Software version that is really running, whatever the registry says. */
  readonly mark: string
  readonly count: number
  readonly pauseMs?: number
  /** Number of events after which the connection breaks. */
  readonly breakAfter?: number
}

/** Creates a script whose events carry the mark of a software version; they continue after the event that the caller already has. */
function markedStream ({ mark, count, pauseMs = 1, breakAfter = Infinity }: MarkedStream): StreamScript {
  return async function * (request, resumeAfter) {
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    for (let id = resumeAfter + 1; id <= count; id += 1) {
      if (id - resumeAfter > breakAfter || !await waitUnlessAborted(pauseMs, request.signal)) {
        yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
        return
      }
      yield { kind: StreamPartKind.Event, id, data: `${mark}:${id}`, version: undefined }
    }
    yield { kind: StreamPartKind.End }
  }
}

/** Returns the marks of the software versions that wrote a text. */
function marksOf (output: string): string[] {
  return [...new Set(output.split('\n').map((piece) => piece.slice(0, piece.indexOf(':'))))]
}

/** Counts the events that a script has yielded to each request. */
function countEvents (script: StreamScript): { readonly script: StreamScript, leastEvents (requests: number): number } {
  const counts = new Map<string, number>()
  return {
    script: async function * (request, resumeAfter) {
      for await (const part of script(request, resumeAfter)) {
        yield part
        if (part.kind === StreamPartKind.Event) counts.set(request.requestId, (counts.get(request.requestId) ?? 0) + 1)
      }
    },
    leastEvents: (requests) => counts.size < requests ? 0 : Math.min(...counts.values())
  }
}

/** Time within which the registry shows a restart of an endpoint, in milliseconds, as the platform's heartbeats bound it. */
const REGISTRATION_BOUND_MS = 1_400

/** A script of an endpoint that has restarted, and when it was first asked. */
interface RestartedEndpoint {
  readonly script: StreamScript
  /** Whether a registry entry that is written now is within the bound. */
  isInTime (): boolean
}

function restartedEndpoint (script: StreamScript): RestartedEndpoint {
  let askedAt = Infinity
  return {
    script: async function * (request, resumeAfter) {
      askedAt = Math.min(askedAt, performance.now())
      yield * script(request, resumeAfter)
    },
    isInTime: () => performance.now() - askedAt < REGISTRATION_BOUND_MS
  }
}

/** Repeats a scenario that a stall of the machine has moved beyond the bound of the registry. */
async function repeatUntilInTime (t: ExecutionContext, scenario: () => Promise<boolean>): Promise<void> {
  for (let attempt = 0; attempt < 8; attempt += 1) {
    if (await scenario()) return
  }
  t.fail('the registry was late in every attempt')
}

interface Fixture {
  readonly endpoints: ScriptedEndpoints
  readonly context: RolloutContext
  readonly store: ReturnType<typeof openDeployment>['store']
  /** Changes the registry and waits until the view shows it. */
  register (entries: readonly EndpointEntry[]): Promise<void>
  /** Sets the measured paces, so that the fastest endpoint is preferred. */
  setPaces (paces: Readonly<Record<string, number>>): void
  open (order: RolloutOrder, writer?: string): Promise<RolloutRun>
}

async function openFixture (t: ExecutionContext, entries: readonly EndpointEntry[], quietMs?: number): Promise<Fixture> {
  const { store, view } = openDeployment(t, quietMs)
  const endpoints = new ScriptedEndpoints()
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  const context = { deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(store), networkLocation: LOCATION, writer: 'w', log: SILENT_LOG }
  const register = async (changed: readonly EndpointEntry[]): Promise<void> => {
    for (const entry of changed) store.set(`servers/${entry.id}`, entry)
    await waitUntil(t, () => changed.every(({ id, bornAt, phase }) => {
      const known = view.endpointTable.find(id)?.entry
      return known?.bornAt === bornAt && known.phase === phase
    }))
  }
  await register(entries)
  return {
    endpoints,
    context,
    store,
    register,
    setPaces: (paces) => {
      for (const [id, paceMs] of Object.entries(paces)) {
        const record = view.endpointTable.find(id)
        if (record !== undefined) record.paceMs = undefined
        view.endpointTable.recordPace(id, paceMs, performance.now())
      }
    },
    open: async (order, writer = 'w') => {
      const progress = new RolloutProgress()
      await context.store.catchUp(order.id, progress, Infinity)
      const run = new RolloutRun({ ...context, writer }, order, progress)
      t.teardown(() => run.stop())
      return run
    }
  }
}

/** Fails unless each listed text was written by one software version, without a gap. */
function assertWholeTexts (t: ExecutionContext, run: RolloutRun, count: number): void {
  for (const { id, output } of run.progress.results) {
    t.is(marksOf(output).length, 1, `${id} was written by ${marksOf(output).join(' and ')}`)
    t.deepEqual(output.split('\n').map((piece) => Number(piece.slice(piece.indexOf(':') + 1))), Array.from({ length: count }, (_, index) => index + 1))
  }
}

// Guards against joined texts: endpoints of two software versions wrote parts of one sample after the first one had crashed.
test('when an endpoint crashes in mid-stream, its texts never go on at an endpoint of another software version', async (t) => {
  const { endpoints, open, setPaces } = await openFixture(t, [
    endpointEntry('old', { softwareVersion: 's1' }), endpointEntry('older', { softwareVersion: 's1' }), endpointEntry('new', { softwareVersion: 's2', slots: 16 })
  ])
  endpoints.streamScripts.set('old', markedStream({ mark: 's1', count: 30, pauseMs: 10, breakAfter: 12 }))
  endpoints.streamScripts.set('older', markedStream({ mark: 's1', count: 30, pauseMs: 10 }))
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 30, pauseMs: 10 }))
  setPaces({ old: 10, older: 90, new: 90 })
  const run = await open(rolloutOrder(1, 4))
  run.start()
  await waitUntil(t, () => endpoints.streams.length === 4)
  t.true(endpoints.streams.every(({ request }) => request.endpoint.id === 'old'))
  setPaces({ old: 90, older: 90, new: 10 })
  await waitUntil(t, () => run.isFinished)
  t.is(run.progress.results.length, 4)
  assertWholeTexts(t, run, 30)
  t.deepEqual(endpoints.streams.slice(4).map(({ request, resumeAfter }) => [request.endpoint.id, resumeAfter]), Array.from({ length: 4 }, () => ['older', 12]))
})

// Guards against joined texts: a straggler was moved to the fastest endpoint, of whichever software version.
test('a straggler is never moved to an endpoint of another software version', async (t) => {
  const { endpoints, open, setPaces } = await openFixture(t, [endpointEntry('slow', { softwareVersion: 's1' }), endpointEntry('new', { softwareVersion: 's2' })])
  endpoints.streamScripts.set('slow', markedStream({ mark: 's1', count: 60, pauseMs: 30 }))
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 60, pauseMs: 2 }))
  setPaces({ slow: 30, new: 90 })
  const run = await open(rolloutOrder(1, 1))
  run.start()
  await waitUntil(t, () => endpoints.streams.length === 1)
  t.is(endpoints.streams[0]?.request.endpoint.id, 'slow')
  setPaces({ slow: 900, new: 1 })
  await waitUntil(t, () => run.isFinished)
  assertWholeTexts(t, run, 60)
})

// Guards against joined texts: the next owner continued the text of a handover wherever there was room.
test('a text that is handed over never goes on at an endpoint of another software version', async (t) => {
  const { endpoints, open, register, setPaces } = await openFixture(t, [endpointEntry('old', { softwareVersion: 's1' })])
  const old = countEvents(markedStream({ mark: 's1', count: 40, pauseMs: 20 }))
  endpoints.streamScripts.set('old', old.script)
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 40 }))
  const order = rolloutOrder(1, 2)
  const first = await open(order)
  first.start()
  await waitUntil(t, () => old.leastEvents(2) > 4)
  const handover = first.handOver()
  t.true((handover.texts[0]?.pieces.length ?? 0) > 2)
  await register([endpointEntry('new', { softwareVersion: 's2', slots: 16 })])
  setPaces({ old: 90, new: 10 })
  const second = await open(order, 'v')
  second.adopt(handover)
  second.start()
  await waitUntil(t, () => second.isFinished)
  assertWholeTexts(t, second, 40)
})

// Guards against joined texts: after a loss of all hosts the stored text went on wherever there was room.
test('a text from the log never goes on at an endpoint of another software version', async (t) => {
  const { endpoints, open, register, setPaces } = await openFixture(t, [endpointEntry('old', { softwareVersion: 's1' })])
  endpoints.streamScripts.set('old', markedStream({ mark: 's1', count: 80, pauseMs: 40 }))
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 80 }))
  const order = rolloutOrder(1, 2)
  const first = await open(order)
  first.start()
  await waitUntil(t, () => first.progress.texts.size === 2)
  first.stop()
  await register([endpointEntry('new', { softwareVersion: 's2', slots: 16 })])
  setPaces({ old: 90, new: 10 })
  const second = await open(order, 'v')
  t.true((second.progress.texts.get('g0.0')?.pieces.length ?? 0) >= 14)
  second.start()
  await waitUntil(t, () => second.isFinished)
  assertWholeTexts(t, second, 80)
})

// Guards against joined texts: a host of earlier code hands over, or has stored, a text without its software version.
test('an unfinished text without a software version starts anew; a whole one is listed as it is', async (t) => {
  const { endpoints, open } = await openFixture(t, [endpointEntry('new', { softwareVersion: 's2' })])
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 20 }))
  const run = await open(rolloutOrder(1, 2))
  const known = { versions: [3], rewardFailures: 0 }
  run.adopt({ results: [], texts: [{ sampleId: 'g0.0', pieces: ['s1:1', 's1:2'], complete: false, ...known }, { sampleId: 'g0.1', pieces: ['s1:1'], complete: true, ...known }] })
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.deepEqual(endpoints.streams.map(({ resumeAfter }) => resumeAfter), [0])
  t.deepEqual(marksOf(run.progress.results.find(({ id }) => id === 'g0.0')?.output ?? ''), ['s2'])
  t.is(run.progress.results.find(({ id }) => id === 'g0.1')?.output, 's1:1')
})

test('a text whose software version is only at endpoints that leave starts anew at once', async (t) => {
  const { endpoints, open, register } = await openFixture(t, [endpointEntry('old', { softwareVersion: 's1' })])
  let brokenAt = Infinity
  endpoints.streamScripts.set('old', async function * (request, resumeAfter) {
    for await (const part of markedStream({ mark: 's1', count: 60, pauseMs: 20, breakAfter: 30 })(request, resumeAfter)) {
      if (part.kind === StreamPartKind.Broken) brokenAt = performance.now()
      yield part
    }
  })
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 60 }))
  const run = await open(rolloutOrder(1, 1))
  run.start()
  await waitUntil(t, () => endpoints.streams.length === 1)
  await register([endpointEntry('old', { softwareVersion: 's1', phase: EndpointPhase.Draining }), endpointEntry('new', { softwareVersion: 's2' })])
  await waitUntil(t, () => endpoints.streams.length === 2)
  t.true(performance.now() - brokenAt < 400, `${Math.round(performance.now() - brokenAt)} ms after the break`)
  t.is(endpoints.streams[1]?.resumeAfter, 0)
  await waitUntil(t, () => run.isFinished)
  assertWholeTexts(t, run, 60)
})

// Guards against a starved step: a text that waited for its software version kept all other samples from starting.
test('a text that waits for an endpoint of its software version lets other samples start, and starts anew when waiting costs more', async (t) => {
  const { endpoints, open, setPaces } = await openFixture(t, [endpointEntry('old', { softwareVersion: 's1', slots: 1 }), endpointEntry('new', { softwareVersion: 's2', slots: 1 })])
  endpoints.streamScripts.set('old', async function * () {
    yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
  })
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 10 }))
  const run = await open(rolloutOrder(1, 4))
  setPaces({ old: 40, new: 40 })
  const pieces = Array.from({ length: 30 }, (_, index) => `s1:${index + 1}`)
  run.adopt({ results: [], texts: [{ sampleId: 'g0.0', pieces, versions: [3], complete: false, rewardFailures: 0, softwareVersion: 's1' }] })
  const startedAt = performance.now()
  run.start()
  await waitUntil(t, () => endpoints.streams.filter(({ request }) => request.endpoint.id === 'new').length === 3)
  t.true(performance.now() - startedAt < 1_000, `${Math.round(performance.now() - startedAt)} ms`)
  t.false(endpoints.streams.some(({ request, resumeAfter }) => request.requestId === 'g0.0' && resumeAfter === 0))
  await waitUntil(t, () => run.isFinished)
  t.true(performance.now() - startedAt > 1_000, `${Math.round(performance.now() - startedAt)} ms`)
  assertWholeTexts(t, run, 10)
})

// Guards against lost texts: many streams that broke at once were generated again, although endpoints of their software version served.
test('when many streams break at once, at least as large a share of them goes on as of new samples begins', async (t) => {
  const { endpoints, open, setPaces } = await openFixture(t, [
    endpointEntry('crashing', { softwareVersion: 's1', slots: 16 }),
    endpointEntry('left', { softwareVersion: 's1', slots: 8 }),
    endpointEntry('right', { softwareVersion: 's1', slots: 8 }),
    endpointEntry('new', { softwareVersion: 's2', slots: 64 })
  ])
  let isDown = false
  const running = markedStream({ mark: 's1', count: 30, pauseMs: 10, breakAfter: 20 })
  endpoints.streamScripts.set('crashing', async function * (request, resumeAfter) {
    if (isDown) yield { kind: StreamPartKind.Broken, sent: false, detail: 'refused' }
    else yield * running(request, resumeAfter)
  })
  for (const id of ['left', 'right']) endpoints.streamScripts.set(id, markedStream({ mark: 's1', count: 30, pauseMs: 10 }))
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 30, pauseMs: 10 }))
  setPaces({ crashing: 10, left: 90, right: 90, new: 90 })
  const run = await open(rolloutOrder(2, 16))
  run.start()
  await waitUntil(t, () => endpoints.streams.length === 32)
  const broken = new Set(endpoints.streams.filter(({ request }) => request.endpoint.id === 'crashing').map(({ request }) => request.requestId))
  isDown = true
  setPaces({ crashing: 90, left: 90, right: 90, new: 10 })
  await waitUntil(t, () => run.isFinished)
  assertWholeTexts(t, run, 30)
  const goneOn = new Set(endpoints.streams.filter(({ request, resumeAfter }) => resumeAfter >= 20 && request.endpoint.id !== 'crashing').map(({ request }) => request.requestId))
  t.is(broken.size, 16)
  t.is(goneOn.size, broken.size, 'every new sample began at once, so every broken stream has to go on')
})

// Guards against joined texts: an endpoint had restarted with another software version under its id, and the registry showed it late.
test('a part of a text from an endpoint that turns out to have restarted with another software version is dropped', async (t) => {
  for (const { name, pauseMs, noticeMs } of [{ name: 'noticed in mid-stream', pauseMs: 20, noticeMs: 700 }, { name: 'noticed after the end', pauseMs: 1, noticeMs: 1_000 }]) {
    await repeatUntilInTime(t, async () => {
      const { endpoints, open, register } = await openFixture(t, [endpointEntry('a', { softwareVersion: 's1' })])
      endpoints.streamScripts.set('a', markedStream({ mark: 's1', count: 60, pauseMs: 5, breakAfter: 20 }))
      const run = await open(rolloutOrder(1, 2))
      run.start()
      await waitUntil(t, () => endpoints.streams.length === 2)
      const restarted = restartedEndpoint(markedStream({ mark: 's2', count: 60, pauseMs }))
      endpoints.streamScripts.set('a', restarted.script)
      await waitUntil(t, () => endpoints.streams.some(({ resumeAfter }) => resumeAfter === 20))
      await new Promise((resolve) => setTimeout(resolve, noticeMs))
      if (!restarted.isInTime()) return false
      await register([endpointEntry('a', { softwareVersion: 's2', bornAt: 2 })])
      await waitUntil(t, () => run.isFinished)
      t.is(run.progress.results.length, 2, name)
      assertWholeTexts(t, run, 60)
      return true
    })
  }
})

// Guards against joined texts: the first part came from a restarted endpoint whose new software version the registry didn't show yet.
test('a text whose beginning turns out to be from another software version starts anew', async (t) => {
  await repeatUntilInTime(t, async () => {
    const { endpoints, open, register, setPaces } = await openFixture(t, [endpointEntry('a', { softwareVersion: 's1' }), endpointEntry('b', { softwareVersion: 's1' })])
    const restarted = restartedEndpoint(markedStream({ mark: 's2', count: 60, pauseMs: 5, breakAfter: 20 }))
    endpoints.streamScripts.set('a', restarted.script)
    endpoints.streamScripts.set('b', markedStream({ mark: 's1', count: 60, pauseMs: 5 }))
    setPaces({ a: 10, b: 90 })
    const run = await open(rolloutOrder(1, 2))
    run.start()
    await waitUntil(t, () => endpoints.streams.some(({ request, resumeAfter }) => request.endpoint.id === 'b' && resumeAfter === 20))
    await new Promise((resolve) => setTimeout(resolve, 600))
    if (!restarted.isInTime()) return false
    endpoints.streamScripts.set('a', markedStream({ mark: 's2', count: 60 }))
    await register([endpointEntry('a', { softwareVersion: 's2', bornAt: 2 })])
    await waitUntil(t, () => run.isFinished)
    assertWholeTexts(t, run, 60)
    return true
  })
})

// Guards against joined texts: the next owner trusted the software version of a text that had only just begun at the previous owner.
test('a text that is handed over before its beginning is confirmed starts anew if it turns out to be from another software version', async (t) => {
  await repeatUntilInTime(t, async () => {
    const { endpoints, open, register } = await openFixture(t, [endpointEntry('a', { softwareVersion: 's1' })])
    const counted = countEvents(markedStream({ mark: 's2', count: 80, pauseMs: 20 }))
    const restarted = restartedEndpoint(counted.script)
    endpoints.streamScripts.set('a', restarted.script)
    const order = rolloutOrder(1, 2)
    const first = await open(order)
    first.start()
    await waitUntil(t, () => counted.leastEvents(2) > 4)
    const handover = first.handOver()
    await register([endpointEntry('bb', { softwareVersion: 's1' })])
    endpoints.streamScripts.set('bb', markedStream({ mark: 's1', count: 80, pauseMs: 2 }))
    const second = await open(order, 'v')
    second.adopt(adoptRolloutSchema.parse(JSON.parse(JSON.stringify(handover))))
    second.start()
    await new Promise((resolve) => setTimeout(resolve, 600))
    if (!restarted.isInTime()) return false
    await register([endpointEntry('a', { softwareVersion: 's2', bornAt: 2 })])
    await waitUntil(t, () => second.isFinished)
    assertWholeTexts(t, second, 80)
    return true
  })
})

test('a text of one stream is listed without a wait for the registry', async (t) => {
  const { endpoints, open } = await openFixture(t, [endpointEntry('a', { softwareVersion: 's1' })])
  endpoints.streamScripts.set('a', markedStream({ mark: 's1', count: 10 }))
  const run = await open(rolloutOrder(1, 2))
  const startedAt = performance.now()
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.true(performance.now() - startedAt < 1_000, `${Math.round(performance.now() - startedAt)} ms`)
})

// Guards against late steps: a text of two streams was whole, but not listed before the next change of the registry.
test('a text of several streams is listed two seconds after its last break, even if the registry is quiet', async (t) => {
  const { endpoints, open } = await openFixture(t, [endpointEntry('a', { softwareVersion: 's1' })], 10_000)
  endpoints.streamScripts.set('a', markedStream({ mark: 's1', count: 20, pauseMs: 5, breakAfter: 12 }))
  const run = await open(rolloutOrder(1, 1))
  run.start()
  await waitUntil(t, () => endpoints.streams.length === 2)
  const resumedAt = performance.now()
  await waitUntil(t, () => run.isFinished)
  t.true(performance.now() - resumedAt < 2_400, `${Math.round(performance.now() - resumedAt)} ms`)
  assertWholeTexts(t, run, 20)
})

// Guards against lost texts: after a pause of this process, texts started anew before it had read that their endpoints have room.
test('a pause of this process is no reason to give up the wait for an endpoint', async (t) => {
  const { endpoints, open, setPaces } = await openFixture(t, [endpointEntry('old', { softwareVersion: 's1', slots: 1 }), endpointEntry('new', { softwareVersion: 's2', slots: 1 })])
  endpoints.streamScripts.set('old', async function * (request, resumeAfter) {
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    await waitUnlessAborted(300, request.signal)
    for (let id = resumeAfter + 1; id <= 20; id += 1) yield { kind: StreamPartKind.Event, id, data: `s1:${id}`, version: undefined }
    yield { kind: StreamPartKind.End }
  })
  endpoints.streamScripts.set('new', markedStream({ mark: 's2', count: 20 }))
  setPaces({ old: 20, new: 20 })
  const run = await open(rolloutOrder(1, 2))
  const texts = ['g0.0', 'g0.1'].map((sampleId) => ({
    sampleId, pieces: Array.from({ length: 10 }, (_, index) => `s1:${index + 1}`), versions: [3], complete: false, rewardFailures: 0, softwareVersion: 's1'
  }))
  run.adopt({ results: [], texts })
  run.start()
  await waitUntil(t, () => endpoints.streams.length === 1)
  await new Promise((resolve) => setTimeout(resolve, 100))
  for (const end = performance.now() + 600; performance.now() < end;);
  await waitUntil(t, () => run.isFinished)
  t.deepEqual(endpoints.streams.map(({ resumeAfter }) => resumeAfter), [10, 10])
  assertWholeTexts(t, run, 20)
})
