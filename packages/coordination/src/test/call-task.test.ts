import test from 'ava'
import { CallOrigin, CallTask, EndpointNoticeTask, LogEvent, NO_CRASHES, NO_RELAY, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { BreakCause, EndpointReplyKind, PeerMessageKind } from '@cyclamenthread/protocol'
import { AdmissionKind, notRun, Ran, RefusalReason, RouteKind, UsageTally } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { suspendAwareNow, toSuspendAware } from '@cyclamenthread/transport'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { answerWith, ScriptedEndpoints, waitUnlessAborted } from './scripted-endpoints.js'
import type { CallOutcome, CallRelay, CrashGuard, EventLog, PlainCall } from '@cyclamenthread/coordination'
import type { PeerMessage } from '@cyclamenthread/protocol'
import type { CallScript } from './scripted-endpoints.js'
import type { Host, Route } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian', castlegate: 'grampian' } }

const ROUTE: Route = {
  name: 'desk',
  host: 'desk.example',
  pathPrefix: '/',
  kind: RouteKind.Idempotent,
  shares: [{ service: 'desk', weight: 1 }],
  timeoutMs: 1_000,
  targetMs: 200,
  maxAttempts: 2,
  open: false,
  dueMs: 0,
  sampleLifetimeMs: 0,
  singleVersion: false
}

interface Fixture {
  readonly task: CallTask
  /** Messages to other hosts. */
  readonly reported: PeerMessage[]
  readonly endpoints: ScriptedEndpoints
  readonly tally: UsageTally
  readonly deployment: ReturnType<typeof openDeployment>
  run (changes?: Partial<PlainCall>): Promise<CallOutcome>
}

async function openFixture (t: ExecutionContext, ids: readonly string[], versions: Readonly<Record<string, string>> = {}, crashes: CrashGuard = NO_CRASHES, relay: CallRelay = NO_RELAY, log: EventLog = SILENT_LOG): Promise<Fixture> {
  const deployment = openDeployment(t)
  const { store, view } = deployment
  for (const id of ids) store.set(`servers/${id}`, endpointEntry(id, { service: 'desk', softwareVersion: versions[id] ?? 's1' }))
  await waitUntil(t, () => view.endpointTable.endpointsOfService('desk').length === ids.length)
  const endpoints = new ScriptedEndpoints()
  const tally = new UsageTally(60_000_000)
  const reported: PeerMessage[] = []
  const bus = {
    post: async (_host: Host, message: PeerMessage) => {
      reported.push(message)
    }
  }
  const members = { workers: () => ['h1', 'h2'].map((id) => ({ id }) as Host) }
  const notices = new EndpointNoticeTask({ self: { id: 'h1' }, deployment: view, sends: UNLIMITED_SENDS, members, bus, log: SILENT_LOG })
  const task = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices, relay, crashes, networkLocation: LOCATION, tally, log })
  return {
    task,
    reported,
    endpoints,
    tally,
    deployment,
    run: async (changes = {}) => await task.run({
      requestId: 'r1',
      route: ROUTE,
      origin: CallOrigin.Caller,
      workspace: 'office',
      method: 'POST',
      path: '/1',
      headers: [],
      body: new Uint8Array(),
      deadline: performance.now() + 800,
      signal: new AbortController().signal,
      ...changes
    })
  }
}

test('a call whose connection broke is retried at another endpoint, no more often than its route allows', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a', 'bb', 'ccc'])
  for (const id of ['a', 'bb', 'ccc']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' }))
  const outcome = await run()
  t.is(endpoints.calls.length, 2)
  t.is(outcome.ok ? undefined : outcome.refusal.ran, Ran.Maybe)
})

// Guards against a call that runs at more endpoints than its route allows, because endpoints that weren't reached are taken off its attempts twice (BUDGET).
test('a call that has run here is passed on only with the attempts that are left', async (t) => {
  const forwarded: number[] = []
  const relay: CallRelay = {
    ...NO_RELAY,
    forward: async (_call, maxAttempts) => {
      forwarded.push(maxAttempts)
      return undefined
    }
  }
  const { endpoints, run } = await openFixture(t, ['a', 'bb', 'ccc'], {}, NO_CRASHES, relay)
  let sends = 0
  for (const id of ['a', 'bb', 'ccc']) {
    endpoints.callScripts.set(id, async () => {
      sends += 1
      return { kind: EndpointReplyKind.Broken, sent: sends === 1, detail: 'reset' }
    })
  }
  await run()
  t.deepEqual(forwarded, [1])
})

// Guards against endpoints that are given more time than is left, because a host that got no processor retries before it notices the deadline (BUDGET).
test.serial('a call is not sent once more after its deadline, even if the event loop is late', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a', 'bb'])
  const deadline = performance.now() + 100
  for (const id of ['a', 'bb']) {
    endpoints.callScripts.set(id, async () => {
      while (performance.now() < deadline + 50);
      return { kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' }
    })
  }
  const outcome = await run({ deadline })
  t.is(endpoints.calls.length, 1)
  t.is(endpoints.calls[0]?.startBefore, toSuspendAware(deadline))
  t.is(outcome.ok ? undefined : outcome.refusal.ran, Ran.Maybe)
})

test('a non-idempotent call is not retried once it may have run', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a', 'bb'])
  for (const id of ['a', 'bb']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' }))
  const outcome = await run({ route: { ...ROUTE, kind: RouteKind.NonIdempotent } })
  t.is(endpoints.calls.length, 1)
  t.is(outcome.ok ? undefined : outcome.refusal.ran, Ran.Maybe)
})

test('a call that an endpoint reports as not run is retried at the next one, whatever the kind of its route', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a', 'bb'])
  endpoints.callScripts.set('a', async () => ({ kind: EndpointReplyKind.NotRun, status: 503, load: undefined }))
  endpoints.callScripts.set('bb', async () => {
    endpoints.callScripts.set('bb', async () => answerWith(200))
    return { kind: EndpointReplyKind.NotRun, status: 503, load: undefined }
  })
  const outcome = await run({ route: { ...ROUTE, kind: RouteKind.NonIdempotent, maxAttempts: 1 }, deadline: performance.now() + 8_000 })
  t.true(outcome.ok)
})

// Guards against a non-idempotent call that is refused because it may not go back to an endpoint that rejected it, and against another id there, by which no copy could be told from an answer (TWICE).
test('a non-idempotent call goes back to an endpoint that rejected it, under its id', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a'])
  endpoints.callScripts.set('a', async () => endpoints.calls.length < 3 ? { kind: EndpointReplyKind.NotRun, status: 503, load: undefined } : answerWith(200))
  t.true((await run({ route: { ...ROUTE, kind: RouteKind.NonIdempotent }, deadline: performance.now() + 8_000 })).ok)
  t.is(endpoints.calls.length, 3)
  t.is(new Set(endpoints.calls.map(({ requestId }) => requestId)).size, 1)
})

// Guards against a call that crashes endpoints and is sent to one more (BUDGET).
test('a call that is held back goes to no endpoint; one that may have run before is not reported as not run', async (t) => {
  let losses = 0
  const crashes: CrashGuard = {
    ...NO_CRASHES,
    admit: () => losses < 3 ? { kind: AdmissionKind.Free } : { kind: AdmissionKind.Held, retryAt: performance.now() + 600_000 },
    recordLoss: () => {
      losses += 1
    }
  }
  const { endpoints, run } = await openFixture(t, ['a', 'bb', 'ccc', 'dddd'], {}, crashes)
  for (const id of ['a', 'bb', 'ccc', 'dddd']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' }))
  const route = { ...ROUTE, maxAttempts: 9 }
  const first = await run({ route })
  t.is(endpoints.calls.length, 3)
  t.is(first.ok ? undefined : first.refusal.ran, Ran.Maybe)
  const second = await run({ route })
  t.is(endpoints.calls.length, 3)
  t.deepEqual(second.ok ? undefined : [second.refusal.reason, second.refusal.ran], [RefusalReason.HeldBack, Ran.No])
})

// Guards against a trial that crashes several endpoints (BUDGET), and against one that is used up although nothing ran.
test('a trial runs at one endpoint that gave signs until now, and says whether it ran', async (t) => {
  const ends: boolean[] = []
  const crashes: CrashGuard = { ...NO_CRASHES, admit: () => ({ kind: AdmissionKind.TrialDue }), sightedEndpoints: () => ['a'], endTrial: (_call, mayHaveRun) => ends.push(mayHaveRun) }
  const { endpoints, run } = await openFixture(t, ['a', 'bb'], {}, crashes)
  const refused = await openFixture(t, ['a'], {}, { ...crashes, takeTrial: async () => notRun(RefusalReason.HeldBack, 'taken', 500) })
  for (const id of ['a', 'bb']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' }))
  await run()
  t.deepEqual(endpoints.calls.map(({ endpoint }) => endpoint.id), ['bb'])
  for (const id of ['a', 'bb']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.NotRun, status: 503, load: undefined }))
  await run()
  t.deepEqual(ends, [true, false])
  const outcome = await refused.run()
  t.deepEqual(outcome.ok ? undefined : [outcome.refusal.reason, outcome.refusal.ran], [RefusalReason.HeldBack, Ran.No])
  t.is(refused.endpoints.calls.length, 0)
})

// Guards against a request that hangs one endpoint after the other, without a reset (BUDGET).
test('endpoints that give no sign until a call ends count as lost, unless another one answers it', async (t) => {
  const lost: string[] = []
  const crashes: CrashGuard = { ...NO_CRASHES, recordLoss: (_call, { id }) => lost.push(id) }
  const { endpoints, run } = await openFixture(t, ['a', 'bb'], {}, crashes)
  const hang: CallScript = async (request) => {
    await waitUnlessAborted(5_000, request.signal)
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  }
  for (const id of ['a', 'bb']) endpoints.callScripts.set(id, hang)
  await run({ deadline: performance.now() + 1_000 })
  t.deepEqual(lost.sort(), ['a', 'bb'])
  lost.length = 0
  let calls = 0
  const hangFirst: CallScript = async (request) => {
    calls += 1
    return calls === 1 ? await hang(request) : await waitUnlessAborted(600, request.signal).then(() => answerWith(200))
  }
  for (const id of ['a', 'bb']) endpoints.callScripts.set(id, hangFirst)
  t.true((await run({ deadline: performance.now() + 3_000 })).ok)
  t.is(calls, 2)
  t.deepEqual(lost, [])
})

test('a caller that leaves early says nothing about the endpoint', async (t) => {
  const lost: string[] = []
  const { endpoints, run } = await openFixture(t, ['a'], {}, { ...NO_CRASHES, recordLoss: (_call, { id }) => lost.push(id) })
  endpoints.callScripts.set('a', async (request) => {
    await waitUnlessAborted(5_000, request.signal)
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  })
  await run({ route: { ...ROUTE, maxAttempts: 1 }, signal: AbortSignal.timeout(150) })
  t.is(endpoints.calls.length, 1)
  t.deepEqual(lost, [])
})

test('only a lost connection counts as a crash: neither an overrun nor bytes that are no answer nor an invalid status nor an abort do', async (t) => {
  const causes = [BreakCause.Overrun, BreakCause.NoAnswer, BreakCause.InvalidStatus, undefined]
  let losses = 0
  const crashes: CrashGuard = {
    ...NO_CRASHES,
    recordLoss: () => {
      losses += 1
    }
  }
  const { endpoints, run } = await openFixture(t, ['a'], {}, crashes)
  endpoints.callScripts.set('a', async (request) => {
    if (causes.length === 0) await waitUnlessAborted(5_000, request.signal)
    const cause = causes.shift()
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'broken', ...(cause === undefined ? {} : { cause }) }
  })
  for (let call = 0; call < 5; call += 1) {
    await run({ route: { ...ROUTE, maxAttempts: 1 }, deadline: performance.now() + 700 })
    await new Promise((resolve) => setTimeout(resolve, 400))
  }
  t.is(losses, 1)
})

// Guards against work that runs twice after an answer without a meaning (TWICE), and against a log that doesn't tell why it wasn't retried.
test('a call that may run at most once is not retried after an answer with an invalid status, and its log line tells why', async (t) => {
  const lines: Array<Readonly<Record<string, unknown>>> = []
  const log: EventLog = {
    record: (event, fields) => {
      if (event === LogEvent.RequestEnded) lines.push(fields)
    }
  }
  const { endpoints, run } = await openFixture(t, ['a', 'bb'], {}, NO_CRASHES, NO_RELAY, log)
  for (const id of ['a', 'bb']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.Broken, sent: true, detail: 'invalid status 600', cause: BreakCause.InvalidStatus }))
  const outcome = await run({ route: { ...ROUTE, kind: RouteKind.NonIdempotent } })
  t.like(outcome, { ok: false, refusal: { ran: Ran.Maybe } })
  t.is(endpoints.calls.length, 1)
  t.is(lines.length, 1)
  t.like(lines[0], { requestId: 'r1', outcome: EndpointReplyKind.Broken, cause: BreakCause.InvalidStatus, ran: Ran.Maybe, detail: 'invalid status 600' })
})

// Guards against a sound call that is held back for seconds more, because its trial runs at an endpoint that a harmful call brings down at that moment (DENIED).
test('the trial of a call that is held back runs at no endpoint that runs another suspected call', async (t) => {
  const isHarmful = ({ path }: { readonly path: string }): boolean => path === '/harmful'
  const crashes: CrashGuard = { ...NO_CRASHES, admit: (call) => isHarmful(call as PlainCall) ? { kind: AdmissionKind.Free } : { kind: AdmissionKind.TrialDue }, isSuspected: (call) => isHarmful(call as PlainCall) }
  const { endpoints, run } = await openFixture(t, ['a', 'bb'], {}, crashes)
  // Both calls would choose the endpoint that seems faster: as a rule the first one, on a busy machine perhaps the other.
  for (const [id, tookMs] of [['a', 1], ['bb', 60]] as const) {
    endpoints.callScripts.set(id, async (request) => {
      await waitUnlessAborted(request.path === '/harmful' ? 10_000 : tookMs, request.signal)
      return answerWith(200)
    })
  }
  for (let call = 0; call < 6; call += 1) await run()
  const before = endpoints.calls.length
  const ending = new AbortController()
  const harmful = run({ path: '/harmful', route: { ...ROUTE, maxAttempts: 1 }, deadline: performance.now() + 10_000, signal: ending.signal })
  await waitUntil(t, () => endpoints.calls.length === before + 1)
  const outcome = await run({ deadline: performance.now() + 5_000 })
  t.true(outcome.ok)
  const [harmed, tried] = endpoints.calls.slice(before).map(({ endpoint }) => endpoint.id)
  t.not(harmed, undefined)
  t.not(tried, undefined)
  t.not(tried, harmed)
  ending.abort()
  await harmful
})

test('a call to a silent endpoint is hedged at a second one, and the first attempt is aborted', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a', 'bb'])
  let isAborted = false
  const silent = async (request: { readonly signal: AbortSignal }): Promise<ReturnType<typeof answerWith>> => {
    isAborted = !await waitUnlessAborted(5_000, request.signal)
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  }
  endpoints.callScripts.set('a', silent)
  const startedAt = performance.now()
  const outcome = await run()
  t.true(outcome.ok)
  t.true(performance.now() - startedAt < 400)
  await waitUntil(t, () => isAborted || endpoints.calls.length === 1)
})

test('a call to a service without endpoints is refused at once, with a retry delay', async (t) => {
  const { run } = await openFixture(t, [])
  const startedAt = performance.now()
  const outcome = await run()
  t.true(performance.now() - startedAt < 100)
  t.deepEqual(outcome.ok ? undefined : [outcome.refusal.reason, outcome.refusal.ran], [RefusalReason.NoEndpoint, Ran.No])
  t.true(!outcome.ok && (outcome.refusal.retryAfterMs ?? 0) > 0)
})

test('a call that is still running at its deadline is not reported as not run', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a'])
  endpoints.callScripts.set('a', async (request) => {
    await waitUnlessAborted(5_000, request.signal)
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  })
  const outcome = await run({ deadline: performance.now() + 150 })
  t.deepEqual(outcome.ok ? undefined : [outcome.refusal.reason, outcome.refusal.ran], [RefusalReason.DeadlineExceeded, Ran.Maybe])
})

test('a failure answer of an endpoint is returned unchanged if no retry is allowed', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a'])
  endpoints.callScripts.set('a', async () => answerWith(500))
  const outcome = await run({ route: { ...ROUTE, maxAttempts: 1 } })
  t.is(outcome.ok ? outcome.status : 0, 500)
})

test('usage counts a request once, however many attempts were made', async (t) => {
  const { endpoints, run, tally } = await openFixture(t, ['a', 'bb'])
  let calls = 0
  const failsOnce = async (): Promise<ReturnType<typeof answerWith>> => {
    calls += 1
    return answerWith(calls === 1 ? 500 : 200)
  }
  endpoints.callScripts.set('a', failsOnce)
  endpoints.callScripts.set('bb', failsOnce)
  t.true((await run()).ok)
  t.is(calls, 2)
  t.deepEqual(tally.countsOf(tally.windowAt(Date.now())), { office: 1 })
})

// Guards against joining the text of two software versions when a call is retried or hedged.
test('retries and hedges of a call that takes a stream up reach only the software version that began it', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a', 'bb', 'ccc', 'dddd'], { ccc: 's2', dddd: 's2' })
  for (const id of ['a', 'bb']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' }))
  const outcome = await run({ continues: { service: 'desk', softwareVersion: 's1' }, route: { ...ROUTE, maxAttempts: 4 } })
  t.false(outcome.ok)
  t.deepEqual(new Set(endpoints.calls.map(({ endpoint }) => endpoint.softwareVersion)), new Set(['s1']))
})

// Guards against waiting for, or replacing, a software version that has left service.
test('a call that takes a stream up is refused at once as not run if no endpoint of its software version is registered', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a', 'bb'])
  const startedAt = performance.now()
  const outcome = await run({ continues: { service: 'desk', softwareVersion: 's0' }, deadline: startedAt + 60_000 })
  t.true(performance.now() - startedAt < 5_000)
  t.is(outcome.ok ? undefined : outcome.refusal.ran, Ran.No)
  t.is(outcome.ok ? undefined : outcome.refusal.reason, RefusalReason.NoEndpoint)
  t.is(endpoints.calls.length, 0)
})

// Guards against joining the answer of an endpoint that came back under its id with another software version meanwhile.
test('the answer of an endpoint that was replaced under its id is not used for a stream that is taken up', async (t) => {
  const { endpoints, run, deployment: { store, view } } = await openFixture(t, ['a'])
  endpoints.callScripts.set('a', async () => {
    store.set('servers/a', endpointEntry('a', { service: 'desk', softwareVersion: 's2', bornAt: 2 }))
    await waitUntil(t, () => view.endpointTable.find('a')?.entry.softwareVersion === 's2')
    return answerWith(200)
  })
  const outcome = await run({ continues: { service: 'desk', softwareVersion: 's1' } })
  t.false(outcome.ok)
  t.is(endpoints.calls.length, 1)
})

// Guards against a reward request that reaches an endpoint after the end of its batch (UNASKED) as a retry or a hedge.
test('neither a retry nor a hedge of a call begins after its time to start', async (t) => {
  const broken = { kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' } as const
  for (const silentMs of [200, 600]) {
    const { endpoints, run } = await openFixture(t, ['a', 'bb'])
    for (const id of ['a', 'bb']) {
      endpoints.callScripts.set(id, async (request) => {
        await waitUnlessAborted(silentMs, request.signal)
        return broken
      })
    }
    const startBefore = suspendAwareNow() + 100
    const outcome = await run({ startBefore })
    t.is(endpoints.calls.length, 1)
    t.is(endpoints.calls[0]?.startBefore, startBefore)
    t.is(outcome.ok ? undefined : outcome.refusal.ran, Ran.Maybe)
  }
})

test('a call that was not written in time has not run', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a'])
  const startBefore = suspendAwareNow() + 60
  endpoints.callScripts.set('a', async (request) => {
    await waitUnlessAborted(startBefore - suspendAwareNow() + 20, request.signal)
    return { kind: EndpointReplyKind.NotSent }
  })
  const outcome = await run({ startBefore })
  t.is(outcome.ok ? undefined : outcome.refusal.ran, Ran.No)
})

// Guards against calls that a host takes late in its planned stop and can't answer any more, although they may not be repeated (LOST).
test('a host that stops refuses, as not run, calls that may outlast it, and ends the others in time', async (t) => {
  const { endpoints, run, task } = await openFixture(t, ['a'])
  endpoints.callScripts.set('a', async (request) => {
    await waitUnlessAborted(5_000, request.signal)
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  })
  const endsAt = performance.now() + 600
  task.stopAt(endsAt)
  const deadline = endsAt + 2_000
  const refused = await run({ route: { ...ROUTE, kind: RouteKind.NonIdempotent }, deadline })
  t.deepEqual(refused.ok ? undefined : [refused.refusal.reason, refused.refusal.ran], [RefusalReason.Leaving, Ran.No])
  t.is(endpoints.calls.length, 0)
  const ended = await run({ deadline })
  t.is(ended.ok ? undefined : ended.refusal.ran, Ran.Maybe)
  t.true(performance.now() < endsAt + 200)
  t.true((endpoints.calls[0]?.deadline ?? Infinity) <= endsAt)
  const late = await run({ deadline })
  t.is(late.ok ? undefined : late.refusal.ran, Ran.No)
})

// Guards against requests that reach an endpoint long after it has said that it is leaving, as only the registry counted (DRAIN).
test('an endpoint that has said that it is leaving gets no more calls, whatever the registry says', async (t) => {
  const { endpoints, run, reported, deployment: { store, view } } = await openFixture(t, ['a', 'bb'])
  const notice = { requestsPerSecond: undefined, leaving: true }
  for (const id of ['a', 'bb']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.NotRun, status: 503, load: undefined, notice: id === 'a' ? notice : undefined }))
  await run()
  t.true(endpoints.calls.some(({ endpoint }) => endpoint.id === 'a'))
  t.is(endpoints.calls.filter(({ endpoint }) => endpoint.id === 'a').length, 1)
  t.deepEqual(reported, [{ kind: PeerMessageKind.ReportEndpointLeaving, endpointId: 'a', bornAt: 1 }])
  store.set('servers/a', endpointEntry('a', { service: 'desk', slots: 9 }))
  await waitUntil(t, () => view.endpointTable.find('a')?.entry.slots === 9)
  await run()
  t.is(endpoints.calls.filter(({ endpoint }) => endpoint.id === 'a').length, 1)
  endpoints.callScripts.set('a', async () => answerWith(200))
  store.set('servers/a', endpointEntry('a', { service: 'desk', bornAt: 2 }))
  await waitUntil(t, () => view.endpointTable.find('a')?.entry.bornAt === 2)
  t.true((await run()).ok)
})

// Guards against calls that are refused although each endpoint could serve most of them (SHORT).
test('while a third of the connections breaks, calls are served', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a', 'bb'])
  for (const id of ['a', 'bb']) {
    endpoints.callScripts.set(id, async () => endpoints.calls.length % 3 === 0 ? { kind: EndpointReplyKind.Broken, sent: false, detail: 'reset' } : answerWith(200))
  }
  let served = 0
  for (let call = 0; call < 30; call += 1) {
    if ((await run({ requestId: `r${call}`, deadline: performance.now() + 400 })).ok) served += 1
  }
  t.is(served, 30)
})

// Guards against a call that runs at an endpoint outside its homes: at first, when it is retried, or because a host that lags behind passed it on (HOME).
test('a call with homes runs only at endpoints there, also when it is sent once more', async (t) => {
  const { endpoints, run, deployment } = await openFixture(t, ['a', 'bb', 'ccc'])
  deployment.store.set('servers/bb', endpointEntry('bb', { service: 'desk', failureDomain: 'castlegate' }))
  deployment.store.set('servers/ccc', endpointEntry('ccc', { service: 'desk', failureDomain: 'castlegate' }))
  await waitUntil(t, () => deployment.view.endpointTable.find('ccc')?.entry.failureDomain === 'castlegate')
  for (const id of ['a', 'bb', 'ccc']) endpoints.callScripts.set(id, async () => ({ kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' }))
  await run({ route: { ...ROUTE, homes: ['grampian'] } })
  t.deepEqual(endpoints.calls.map(({ endpoint }) => endpoint.id).sort(), ['bb', 'ccc'])
  endpoints.calls.length = 0
  await run({ homes: ['grampian'] })
  t.deepEqual(endpoints.calls.map(({ endpoint }) => endpoint.id).sort(), ['bb', 'ccc'])
})

// Guards against a caller that waits for an endpoint which can't come: no endpoint in a home is in service.
test('a call with no endpoint in its homes is refused at once, with a reason that names them', async (t) => {
  const { endpoints, run } = await openFixture(t, ['a'])
  const outcome = await run({ route: { ...ROUTE, homes: ['grampian'] }, deadline: performance.now() + 60_000 })
  t.is(endpoints.calls.length, 0)
  t.is(outcome.ok ? undefined : outcome.refusal.ran, Ran.No)
  t.regex(outcome.ok ? '' : outcome.refusal.detail, /homes \(grampian\)/)
})

// Guards against callers that wait for endpoints which the operator has evacuated.
test('a call whose endpoints are all evacuated is refused at once', async (t) => {
  const { endpoints, run, deployment } = await openFixture(t, ['a'])
  deployment.view.endpointTable.setEvacuatedDomains(new Set(['leith-walk']))
  const outcome = await run({ deadline: performance.now() + 60_000 })
  t.is(endpoints.calls.length, 0)
  t.like(outcome, { ok: false, refusal: { ran: Ran.No, reason: RefusalReason.NoEndpoint } })
})
