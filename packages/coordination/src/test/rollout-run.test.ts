import test from 'ava'
import { CallTask, IGNORED_NOTICES, LogEvent, NO_CRASHES, NO_RELAY, RolloutRun, RolloutStore, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { StoreFailure, StreamPartKind, WriteStatus } from '@cyclamenthread/protocol'
import { failure, RolloutProgress, SampleState, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints, streamOf, waitUnlessAborted } from './scripted-endpoints.js'
import type { LogFields, RolloutContext } from '@cyclamenthread/coordination'
import type { ObjectStore } from '@cyclamenthread/protocol'
import type { RolloutOrder } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }

const sleep = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

interface Fixture {
  readonly endpoints: ScriptedEndpoints
  readonly store: ReturnType<typeof openDeployment>['store']
  readonly context: RolloutContext
  /** Lines of the log of the runs and their store. */
  readonly lines: ReadonlyArray<LogFields & { readonly event: LogEvent }>
  open (order: RolloutOrder): RolloutRun
}

async function openFixture (t: ExecutionContext, ids: readonly string[]): Promise<Fixture> {
  const { store, view } = openDeployment(t)
  for (const id of ids) store.set(`servers/${id}`, endpointEntry(id))
  await waitUntil(t, () => view.endpointTable.endpointsOfService('models').length === ids.length)
  const endpoints = new ScriptedEndpoints()
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  const lines: Array<LogFields & { event: LogEvent }> = []
  const log = {
    record: (event: LogEvent, fields: LogFields) => {
      lines.push({ ...fields, event })
    }
  }
  const context = { deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(store, log), networkLocation: LOCATION, writer: 'w', log }
  return {
    endpoints,
    store,
    context,
    lines,
    open: (order) => {
      const run = new RolloutRun(context, order, new RolloutProgress())
      t.teardown(() => run.stop())
      return run
    }
  }
}

test('each sample of a step is listed once, with the weight versions that generated it', async (t) => {
  const { open } = await openFixture(t, ['a', 'bb'])
  const run = open(rolloutOrder(3, 4))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(run.progress.results.length, 12)
  t.is(new Set(run.progress.results.map(({ id }) => id)).size, 12)
  t.deepEqual(run.progress.results[0], { id: run.progress.results[0]?.id ?? '', state: SampleState.Completed, output: 'e1\ne2\ne3', versions: [3] })
})

test('when an endpoint crashes in mid-stream, the sample resumes elsewhere after its last event', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a', 'bb'])
  let hasCrashed = false
  const crashing: Parameters<typeof endpoints.streamScripts.set>[1] = async function * (request, resumeAfter) {
    if (hasCrashed) {
      yield * streamOf(4, 3)(request, resumeAfter)
      return
    }
    hasCrashed = true
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    yield { kind: StreamPartKind.Event, id: 1, data: 'e1', version: undefined }
    yield { kind: StreamPartKind.Event, id: 2, data: 'e2', version: undefined }
    yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
  }
  for (const id of ['a', 'bb']) endpoints.streamScripts.set(id, crashing)
  const run = open(rolloutOrder(1, 1))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.deepEqual(endpoints.streams.map(({ resumeAfter }) => resumeAfter), [0, 2])
  t.is(run.progress.results[0]?.output, 'e1\ne2\ne3\ne4')
})

test('a duplicate or out-of-order event is never added to a text', async (t) => {
  for (const wrong of [1, 3]) {
    const { endpoints, open } = await openFixture(t, ['a'])
    let isFirst = true
    endpoints.streamScripts.set('a', async function * (request, resumeAfter) {
      if (!isFirst) {
        yield * streamOf(3, 3)(request, resumeAfter)
        return
      }
      isFirst = false
      yield { kind: StreamPartKind.Start, version: 3, load: undefined }
      yield { kind: StreamPartKind.Event, id: 1, data: 'e1', version: undefined }
      yield { kind: StreamPartKind.Event, id: wrong, data: 'wrong', version: undefined }
      yield { kind: StreamPartKind.End }
    })
    const run = open(rolloutOrder(1, 1))
    run.start()
    await waitUntil(t, () => run.isFinished)
    t.is(run.progress.results[0]?.output, 'e1\ne2\ne3')
  }
})

test('text from weights that are too old is discarded and generated again', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a', 'bb'])
  endpoints.streamScripts.set('a', streamOf(3, 2))
  const run = open(rolloutOrder(1, 2))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.true(run.progress.results.every(({ versions }) => versions.every((version) => version >= 3)))
})

test('a sample that fails in every attempt is abandoned after the maximum number of attempts', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a'])
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.Failure, status: 500 }
  })
  const run = open(rolloutOrder(1, 1, { maxAttempts: 3 }))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.streams.length, 3)
  t.deepEqual(run.progress.results.map(({ state }) => state), [SampleState.Abandoned])
})

// Guards against an item that fails at each run and gets as many runs again from each owner (BUDGET).
for (const change of ['crash', 'planned stop'] as const) {
  test(`a sample that fails in every attempt has no more of them after changes of its owner (${change})`, async (t) => {
    const { endpoints, context, open } = await openFixture(t, ['a'])
    endpoints.streamScripts.set('a', async function * () {
      // Each run takes longer than the store needs for the failure before.
      await sleep(200)
      yield { kind: StreamPartKind.Failure, status: 500 }
    })
    const order = rolloutOrder(1, 1, { maxAttempts: 3 })
    const first = open(order)
    first.start()
    await waitUntil(t, () => endpoints.streams.length === 2)
    if (change === 'crash') await waitUntil(t, () => first.progress.failures.get('g0.0') === 1)
    const handover = first.handOver()
    const progress = new RolloutProgress()
    await context.store.catchUp(order.id, progress, performance.now() + 1_000)
    const second = change === 'crash' ? new RolloutRun(context, order, progress) : open(order)
    t.teardown(() => second.stop())
    if (change === 'planned stop') second.adopt(handover)
    second.start()
    await waitUntil(t, () => second.isFinished)
    // The run that was cut off by the change is no failure.
    t.is(endpoints.streams.length, 4)
    t.deepEqual(second.progress.results.map(({ state }) => state), [SampleState.Abandoned])
  })
}

/** Creates a script that breaks off after one event, the given number of times over all endpoints, and then completes the sample. */
function crashingOf (crashes: number): Parameters<ScriptedEndpoints['streamScripts']['set']>[1] {
  let left = crashes
  return async function * (request, resumeAfter) {
    if (left === 0) {
      yield * streamOf(20, 3)(request, resumeAfter)
      return
    }
    left -= 1
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    yield { kind: StreamPartKind.Event, id: resumeAfter + 1, data: `e${resumeAfter + 1}`, version: undefined }
    yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
  }
}

// Guards against giving up a sound sample because several endpoints crashed while they ran it.
test('a sample under which more endpoints crash than it may fail is placed again, and completed', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a', 'bb', 'ccc'])
  const script = crashingOf(7)
  for (const id of ['a', 'bb', 'ccc']) endpoints.streamScripts.set(id, script)
  const run = open(rolloutOrder(1, 1, { maxAttempts: 3 }))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.streams.length, 8)
  t.is(run.progress.results[0]?.state, SampleState.Completed)
  t.is(run.progress.results[0]?.output, Array.from({ length: 20 }, (_, index) => `e${index + 1}`).join('\n'))
})

// Guards against counting the answers of a proxy whose endpoint has crashed as failed runs of the sample.
test('answers of 502, 503 and 504 are no failed runs, so the sample is placed again', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a', 'bb', 'ccc'])
  const statuses = [502, 503, 504]
  for (const id of ['a', 'bb', 'ccc']) {
    endpoints.streamScripts.set(id, async function * (request, resumeAfter) {
      const status = statuses.pop()
      if (status === undefined) yield * streamOf(3, 3)(request, resumeAfter)
      else yield { kind: StreamPartKind.Failure, status }
    })
  }
  const run = open(rolloutOrder(1, 1, { maxAttempts: 3 }))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.streams.length, 4)
  t.is(run.progress.results[0]?.state, SampleState.Completed)
})

// Guards against the bytes of an endpoint in trouble in a listed text, and against the memory that they take (MIXED, LOST).
test('a sample whose endpoint sends events without end runs once more, elsewhere and from its start', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a', 'bb'])
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    for (let id = 1; ; id += 1) yield { kind: StreamPartKind.Event, id, data: 'x'.repeat(1_000), version: undefined }
  })
  const run = open(rolloutOrder(1, 4))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.deepEqual(run.progress.results.map(({ output }) => output), Array.from({ length: 4 }, () => 'e1\ne2\ne3'))
  const overrun = endpoints.streams.filter(({ request }) => request.endpoint.id === 'a').map(({ request }) => request.requestId)
  t.true(overrun.length > 0)
  t.is(new Set(overrun).size, overrun.length)
  t.true(endpoints.streams.every(({ resumeAfter }) => resumeAfter === 0))
})

test('a sample that can never be completed is sent once', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a'])
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.Failure, status: 422 }
  })
  const run = open(rolloutOrder(1, 1))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.streams.length, 1)
})

test('no sample starts after the end of the rollout, even if another host has written the end', async (t) => {
  const { context, endpoints, open } = await openFixture(t, ['a'])
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
  })
  const run = open(rolloutOrder(1, 2))
  run.start()
  await waitUntil(t, () => endpoints.streams.length > 0)
  const other = open(rolloutOrder(1, 2))
  t.true(await other.appendEnd(performance.now() + 2_000))
  await waitUntil(t, () => run.isFinished)
  const asked = endpoints.streams.length
  await new Promise((resolve) => setTimeout(resolve, 1_200))
  t.is(endpoints.streams.length, asked)
  t.is(context.deployment.endpointTable.find('a')?.activeWork, 0)
})

test('after a planned stop the next owner resumes from the text of the previous one', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a'])
  let requestedParts = 0
  endpoints.streamScripts.set('a', async function * (request, resumeAfter) {
    for await (const part of streamOf(40, 3, 10)(request, resumeAfter)) {
      requestedParts += 1
      yield part
    }
  })
  const order = rolloutOrder(1, 1)
  const first = open(order)
  first.start()
  // The start of the stream and more than two events have been read once the next part is requested.
  await waitUntil(t, () => requestedParts > 4)
  const handover = first.handOver()
  t.true((handover.texts[0]?.pieces.length ?? 0) > 2)
  const second = open(order)
  second.adopt(handover)
  second.start()
  await waitUntil(t, () => second.isFinished)
  t.true((endpoints.streams.at(-1)?.resumeAfter ?? 0) > 2)
  t.is(second.progress.results[0]?.output.split('\n').length, 40)
})

test('a sample whose stream breaks after another host has ended the rollout is not sent again', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a', 'bb'])
  const breaking: Parameters<typeof endpoints.streamScripts.set>[1] = async function * (request) {
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    for (let id = 1; id <= 20; id += 1) {
      await waitUnlessAborted(100, request.signal)
      yield { kind: StreamPartKind.Event, id, data: `e${id}`, version: undefined }
    }
    yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
  }
  for (const id of ['a', 'bb']) endpoints.streamScripts.set(id, breaking)
  const run = open(rolloutOrder(1, 1))
  run.start()
  await waitUntil(t, () => endpoints.streams.length > 0)
  const other = open(rolloutOrder(1, 1))
  t.true(await other.appendEnd(performance.now() + 2_000))
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.streams.length, 1)
})

test('after a planned stop a next owner that has already started adopts the text as well', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a'])
  const begun = new Set<string>()
  endpoints.streamScripts.set('a', async function * (request, resumeAfter) {
    for await (const part of streamOf(40, 3, 10)(request, resumeAfter)) {
      // The event before has been read by then.
      if (part.kind === StreamPartKind.Event && part.id > 1) begun.add(request.requestId)
      yield part
    }
  })
  const order = rolloutOrder(1, 5)
  const first = open(order)
  first.start()
  await waitUntil(t, () => begun.size === 4)
  const handover = first.handOver()
  const second = open(order)
  second.start()
  second.adopt(handover)
  const held = handover.texts.map(({ sampleId }) => sampleId)
  t.is(held.length, 4)
  await waitUntil(t, () => second.isFinished)
  t.is(second.progress.results.length, 5)
  t.true(second.progress.results.every(({ output }) => output.split('\n').length === 40))
})

test('after a planned stop the next owner lists unlisted results and does not run their samples again', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a'])
  const order = rolloutOrder(1, 2)
  const second = open(order)
  endpoints.streamScripts.set('a', streamOf(20, 3, 10))
  second.start()
  second.adopt({ results: [{ id: 'g0.0', state: SampleState.Completed, output: 'kept', versions: [3] }], texts: [] })
  await waitUntil(t, () => second.isFinished)
  t.is(second.progress.results.find(({ id }) => id === 'g0.0')?.output, 'kept')
  t.is(endpoints.streams.length, 1)
})

test('after a crash of all hosts the next owner resumes from the stored text, with correct versions', async (t) => {
  const { endpoints, context, open } = await openFixture(t, ['a'])
  endpoints.streamScripts.set('a', streamOf(80, 3, 50))
  const order = rolloutOrder(1, 2)
  const run = open(order)
  run.start()
  await waitUntil(t, () => run.progress.texts.size === 2)
  run.stop()
  endpoints.streamScripts.set('a', streamOf(80, 4))
  const progress = new RolloutProgress()
  await context.store.catchUp(order.id, progress, Infinity)
  const held = progress.texts.get('g0.0')?.pieces.length ?? 0
  t.true(held >= 14)
  const next = new RolloutRun({ ...context, writer: 'v' }, order, progress)
  t.teardown(() => next.stop())
  next.start()
  await waitUntil(t, () => next.isFinished)
  t.true(endpoints.streams.slice(2).every(({ resumeAfter }) => resumeAfter >= 14))
  for (const result of next.progress.results) {
    t.is(result.output, Array.from({ length: 80 }, (_, index) => `e${index + 1}`).join('\n'))
    t.deepEqual(result.versions, [3, 4])
  }
})

test('a text that restarted under other weights is never joined to the part stored before the restart', async (t) => {
  const { endpoints, context, open } = await openFixture(t, ['a'])
  let streams = 0
  endpoints.streamScripts.set('a', async function * (request, resumeAfter) {
    streams += 1
    if (streams > 1) return yield * streamOf(90, 4, 40)(request, resumeAfter)
    // Ends with a failure of the endpoint, after which the sample starts from the beginning.
    for await (const part of streamOf(60, 3, 45)(request, resumeAfter)) {
      if (part.kind === StreamPartKind.End) yield { kind: StreamPartKind.Failure, status: 500 }
      else yield part
    }
  })
  const order = rolloutOrder(1, 1)
  const run = open(order)
  run.start()
  await waitUntil(t, () => (run.progress.texts.get('g0.0')?.versions[0] ?? 0) === 3)
  await waitUntil(t, () => streams === 2 && run.progress.texts.get('g0.0')?.versions[0] === 4)
  const progress = new RolloutProgress()
  await context.store.catchUp(order.id, progress, Infinity)
  const text = progress.texts.get('g0.0')
  t.deepEqual(text?.versions, [4])
  t.deepEqual(text?.pieces, text?.pieces.map((_, index) => `e${index + 1}`))
})

// Guards against joined texts: the log continued the text that this owner had stored with the text of a late handover.
test('a late handover replaces a text and is never joined to the part that this owner has stored', async (t) => {
  const { context, endpoints, open } = await openFixture(t, ['a'])
  endpoints.streamScripts.set('a', async function * (request, resumeAfter) {
    for await (const part of streamOf(60, 3, 40)(request, resumeAfter)) {
      if (part.kind === StreamPartKind.End) yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
      else yield part
    }
  })
  const order = rolloutOrder(1, 1)
  const run = open(order)
  run.start()
  await waitUntil(t, () => run.progress.texts.size === 1)
  await waitUntil(t, () => context.deployment.endpointTable.find('a')?.activeWork === 0)
  const pieces = Array.from({ length: 100 }, (_, index) => `late${index + 1}`)
  endpoints.streamScripts.set('a', streamOf(200, 3, 40))
  run.adopt({ results: [], texts: [{ sampleId: 'g0.0', pieces, versions: [3], complete: false, rewardFailures: 0, softwareVersion: 's1' }] })
  await waitUntil(t, () => (run.progress.texts.get('g0.0')?.pieces.length ?? 0) > 100)
  const progress = new RolloutProgress()
  await context.store.catchUp(order.id, progress, Infinity)
  t.deepEqual(progress.texts.get('g0.0')?.pieces.slice(0, 100), pieces)
})

// Guards against joined texts: a checkpoint that lost its place in the log to another writer counted as stored.
test('a text whose checkpoint another writer has overtaken is never joined to an earlier text of this owner', async (t) => {
  const { context, endpoints, open } = await openFixture(t, ['a'])
  let streams = 0
  const markedStream = (count: number, version: number, pauseMs: number): ReturnType<typeof streamOf> => async function * (request, resumeAfter) {
    for await (const part of streamOf(count, version, pauseMs)(request, resumeAfter)) yield part.kind === StreamPartKind.Event ? { ...part, data: `${part.data} of ${version}` } : part
  }
  endpoints.streamScripts.set('a', async function * (request, resumeAfter) {
    streams += 1
    if (streams > 1) return yield * markedStream(150, 4, 30)(request, resumeAfter)
    for await (const part of markedStream(60, 3, 45)(request, resumeAfter)) {
      if (part.kind === StreamPartKind.End) yield { kind: StreamPartKind.Failure, status: 500 }
      else yield part
    }
  })
  const order = rolloutOrder(1, 1)
  const other = new RolloutProgress()
  const { append } = context.store
  let isOvertaken = false
  context.store.append = async (id, progress, segment, deadline) => {
    if (!isOvertaken && segment.texts[0]?.versions[0] === 4) {
      isOvertaken = true
      await context.store.catchUp(id, other, deadline)
      await append.call(context.store, id, other, { writer: 'other', results: [], texts: [], ended: false }, deadline)
    }
    return await append.call(context.store, id, progress, segment, deadline)
  }
  const run = open(order)
  run.start()
  await waitUntil(t, () => (run.progress.texts.get('g0.0')?.pieces.length ?? 0) > 0)
  await waitUntil(t, () => streams === 2)
  await waitUntil(t, () => isOvertaken)
  await waitUntil(t, () => run.progress.texts.get('g0.0')?.versions[0] === 4)
  const held = run.progress.texts.get('g0.0')
  t.deepEqual(held?.pieces, held?.pieces.map((_, index) => `e${index + 1} of 4`))
})

test('a wall clock that is seconds or hours off neither abandons a sample early nor keeps it beyond its lifetime', async (t) => {
  for (const offMs of [-3_600_000, -5_000, 5_000, 3_600_000]) {
    const { endpoints, open } = await openFixture(t, ['a'])
    endpoints.streamScripts.set('a', async function * () {
      yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
    })
    const acceptedAt = Date.now() + offMs
    const run = open(rolloutOrder(1, 1, { acceptedAt, expiresAt: acceptedAt + 600 }))
    const startedAt = performance.now()
    run.start()
    await waitUntil(t, () => run.isFinished)
    const tookMs = performance.now() - startedAt
    t.deepEqual(run.progress.results.map(({ state }) => state), [SampleState.Abandoned])
    t.true(tookMs >= 600 && tookMs < 3_000, `${Math.round(tookMs)} ms with a clock off by ${offMs} ms`)
  }
})

test('store that refuses at once: a run with waiting samples asks it a few times a second, and again soon after it is back', async (t) => {
  const { context, endpoints, store, open } = await openFixture(t, ['a'])
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
  })
  let reads = 0
  const { catchUp } = context.store
  context.store.catchUp = async (...given) => {
    reads += 1
    return await catchUp.apply(context.store, given)
  }
  const run = open(rolloutOrder(1, 4))
  run.start()
  await waitUntil(t, () => endpoints.streams.length > 0)
  store.faults.down = true
  await new Promise((resolve) => setTimeout(resolve, 1_700))
  const before = reads
  await new Promise((resolve) => setTimeout(resolve, 2_000))
  t.true(reads - before >= 2 && reads - before <= 8, `${reads - before} reads in 2 s`)
  store.faults.down = false
  endpoints.streamScripts.delete('a')
  await waitUntil(t, () => run.isFinished)
})

// Guards against samples that wait out an outage of the store, and against an outage that the log doesn't show.
test('while the store is down, waiting samples are sent, and the log names the outage once and the permission of each sample', async (t) => {
  const { context, endpoints, lines, store, open } = await openFixture(t, ['a'])
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
  })
  const run = open(rolloutOrder(1, 4))
  run.start()
  await waitUntil(t, () => endpoints.streams.length > 0)
  t.true(lines.filter(({ event }) => event === LogEvent.SampleSent).every(({ outcome, logAgeMs }) => outcome === 'granted' && Number(logAgeMs) <= 1_500))
  store.faults.down = true
  await waitUntil(t, () => context.store.silence !== undefined)
  await waitUntil(t, () => lines.some(({ event, outcome, logAgeMs }) => event === LogEvent.SampleSent && outcome === 'confirm-meanwhile' && Number(logAgeMs) > 2_000))
  store.faults.down = false
  endpoints.streamScripts.delete('a')
  await waitUntil(t, () => run.isFinished)
  t.is(lines.filter(({ event }) => event === LogEvent.DependencyLost).length, 1)
  t.is(lines.filter(({ event }) => event === LogEvent.DependencyRegained).length, 1)
})

/** Time after the acknowledgement of an end from which no sample may reach an endpoint, in milliseconds, as the platform's pages state it. */
const CANCEL_BOUND_MS = 3_000

// Guards against an item that reaches an endpoint later than the bound after the acknowledged end of its batch (UNASKED): its owner hadn't called the store.
test('samples whose streams break after seconds without a call of the store are not sent again if another host has ended the rollout', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a', 'bb'])
  const brokenAt = performance.now() + CANCEL_BOUND_MS + 300
  const breaking: Parameters<typeof endpoints.streamScripts.set>[1] = async function * (request) {
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    await waitUnlessAborted(brokenAt - performance.now(), request.signal)
    yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
  }
  for (const id of ['a', 'bb']) endpoints.streamScripts.set(id, breaking)
  const run = open(rolloutOrder(1, 4))
  run.start()
  await waitUntil(t, () => endpoints.streams.length === 4)
  t.true(await open(rolloutOrder(1, 4)).appendEnd(performance.now() + 2_000))
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.streams.length, 4)
})

// Guards against an item that reaches an endpoint later than the bound after the acknowledged end of its batch (UNASKED): its owner delayed its own calls of the store.
test('a run whose store calls this process refuses itself sends nothing later than the bound after the end by another host', async (t) => {
  const { context, endpoints, store, open } = await openFixture(t, ['a'])
  const sentAt: number[] = []
  endpoints.streamScripts.set('a', async function * () {
    sentAt.push(performance.now())
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
  const run = new RolloutRun({ ...context, store: new RolloutStore(throttled) }, rolloutOrder(1, 4), new RolloutProgress())
  t.teardown(() => run.stop())
  run.start()
  await waitUntil(t, () => sentAt.length > 0)
  isThrottled = true
  t.true(await open(rolloutOrder(1, 4)).appendEnd(performance.now() + 2_000))
  const acknowledgedAt = performance.now()
  await new Promise((resolve) => setTimeout(resolve, CANCEL_BOUND_MS + 800))
  t.true(Math.max(...sentAt) - acknowledgedAt < CANCEL_BOUND_MS, `sent ${Math.round(Math.max(...sentAt) - acknowledgedAt)} ms after the end`)
})

// Guards against a second owner that runs samples beside the first, after the end of their batch (UNASKED): its claim was never written.
test('a claim that the store could not be asked for in time gives neither ownership nor a current log copy', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a'])
  const run = open(rolloutOrder(1, 2))
  t.false(await run.claim(performance.now() - 1))
  t.true(await open(rolloutOrder(1, 2)).appendEnd(performance.now() + 2_000))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.streams.length, 0)
})

// Guards against a sample that is lost, or an endpoint that is avoided, because a request was not written in time.
test('a sample that was not written in time waits again and is sent to the same endpoint, with a later time to start', async (t) => {
  const { endpoints, open } = await openFixture(t, ['a'])
  let isFirst = true
  endpoints.streamScripts.set('a', async function * (request, resumeAfter) {
    if (!isFirst) return yield * streamOf(3, 3)(request, resumeAfter)
    isFirst = false
    await waitUnlessAborted(200, request.signal)
    yield { kind: StreamPartKind.NotSent }
  })
  const run = open(rolloutOrder(1, 1))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.deepEqual(run.progress.results.map(({ state }) => state), [SampleState.Completed])
  const [first, second] = endpoints.streams.map(({ request }) => request.startBefore ?? Infinity)
  t.is(endpoints.streams.length, 2)
  t.true((first ?? 0) <= (second ?? 0) && (second ?? Infinity) < performance.now() + CANCEL_BOUND_MS)
})

// Guards against work after an end that another host has reported (UNASKED): an earlier check of the log ended the wait for a later one.
test('a run that was told to recheck starts nothing before a read of the log that was sent after that', async (t) => {
  const { context, endpoints, open } = await openFixture(t, ['a'])
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
  })
  const run = open(rolloutOrder(1, 4))
  run.start()
  await waitUntil(t, () => endpoints.streams.length > 0)
  const { catchUp } = context.store
  let reads = 0
  context.store.catchUp = async (...given) => {
    reads += 1
    if (reads === 1) {
      const answer = await catchUp.apply(context.store, given)
      await sleep(200)
      return answer
    }
    // The later read gets no answer in time.
    await sleep(1_200)
    return failure(StoreFailure.Timeout)
  }
  const first = run.recheck()
  await sleep(50)
  const second = run.recheck()
  t.true(await first)
  const before = endpoints.streams.length
  await sleep(800)
  t.is(endpoints.streams.length, before)
  t.false(await second)
})
