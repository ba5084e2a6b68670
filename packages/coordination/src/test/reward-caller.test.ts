import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import test from 'ava'
import { CallTask, IGNORED_NOTICES, NO_CRASHES, NO_RELAY, RolloutRun, RolloutStore, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { EndpointReplyKind } from '@cyclamenthread/protocol'
import { RolloutProgress, RouteKind, SampleState, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { answerWith, ScriptedEndpoints, streamOf, waitUnlessAborted } from './scripted-endpoints.js'
import type { RolloutContext } from '@cyclamenthread/coordination'
import type { EndpointRequest } from '@cyclamenthread/protocol'
import type { Declaration, RolloutOrder, Route } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }

const LEDGER_ROUTE: Route = {
  name: 'ledger',
  host: 'ledger.example',
  pathPrefix: '/ledger/',
  kind: RouteKind.Idempotent,
  shares: [{ service: 'desk', weight: 1 }],
  timeoutMs: 2_000,
  targetMs: 400,
  maxAttempts: 4,
  open: false,
  dueMs: 0,
  sampleLifetimeMs: 0,
  singleVersion: false
}

function declarationOf (version: number, routes: readonly Route[]): Declaration {
  return { version, routes, services: [], workspaces: [{ name: 'office', keys: ['k'] }], limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
}

/** An order whose samples each carry a reward request. */
function rewardedOrder (groups: number, size: number, changes: Partial<RolloutOrder> = {}): RolloutOrder {
  const order = rolloutOrder(groups, size, changes)
  return {
    ...order,
    samples: order.samples.map((sample) => ({ ...sample, reward: { id: `w-${sample.id}`, host: 'ledger.example', path: `/ledger/${sample.id}`, body: Buffer.from(sample.id).toString('base64') } }))
  }
}

interface Fixture {
  readonly endpoints: ScriptedEndpoints
  readonly context: RolloutContext
  declare (declaration: Declaration): void
  open (order: RolloutOrder, writer?: string, progress?: RolloutProgress): RolloutRun
}

/** Signs each call with its own id, as an endpoint does. */
async function signedAnswer (request: EndpointRequest): Promise<ReturnType<typeof answerWith>> {
  return answerWith(200, `signed ${request.requestId}`)
}

async function openFixture (t: ExecutionContext, desks: readonly string[] = ['desk1']): Promise<Fixture> {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a'))
  for (const id of desks) store.set(`servers/${id}`, endpointEntry(id, { service: 'desk' }))
  const declare = (declaration: Declaration): void => store.set('config/main', declaration)
  declare(declarationOf(1, [LEDGER_ROUTE]))
  await waitUntil(t, () => view.routeTable !== undefined && view.endpointTable.find('a') !== undefined && view.endpointTable.endpointsOfService('desk').length === desks.length)
  const endpoints = new ScriptedEndpoints()
  for (const id of desks) endpoints.callScripts.set(id, signedAnswer)
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  const context = { deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(store), networkLocation: LOCATION, writer: 'w', log: SILENT_LOG }
  return {
    endpoints,
    context,
    declare,
    open: (order, writer = 'w', progress = new RolloutProgress()) => {
      const run = new RolloutRun({ ...context, writer }, order, progress)
      t.teardown(() => run.stop())
      return run
    }
  }
}

test('a result carries the signature of its own reward call, which has its id, host and body, and neither key nor workspace', async (t) => {
  const { endpoints, open } = await openFixture(t)
  const run = open(rewardedOrder(2, 2))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(run.progress.results.length, 4)
  for (const { id, score, output, state } of run.progress.results) t.deepEqual({ score, output, state }, { score: `signed w-${id}`, output: 'e1\ne2\ne3', state: SampleState.Completed })
  for (const call of endpoints.calls) {
    t.is(call.workspace, undefined)
    t.is(call.path, `/ledger/${call.requestId.slice(2)}`)
    t.is(Buffer.from(call.body).toString(), call.requestId.slice(2))
    t.deepEqual(call.headers, [['Host', 'ledger.example']])
  }
})

test('a reward is not requested before the text of its sample is whole', async (t) => {
  const { endpoints, open } = await openFixture(t)
  endpoints.streamScripts.set('a', streamOf(30, 3, 20))
  const run = open(rewardedOrder(1, 1))
  run.start()
  await new Promise((resolve) => setTimeout(resolve, 250))
  t.is(endpoints.calls.length, 0)
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.calls.length, 1)
})

test('a successful answer without a signature is no score, so the reward is requested again', async (t) => {
  const { endpoints, open } = await openFixture(t)
  let count = 0
  endpoints.callScripts.set('desk1', async (request) => {
    count += 1
    return count === 1 ? answerWith(200) : await signedAnswer(request)
  })
  const run = open(rewardedOrder(1, 1))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(run.progress.results[0]?.score, 'signed w-g0.0')
  t.is(count, 2)
})

test('a sample whose reward calls always fail is abandoned after the maximum number of answers of 500', async (t) => {
  const { endpoints, open } = await openFixture(t)
  endpoints.callScripts.set('desk1', async () => answerWith(500, 'signed anyway'))
  const run = open(rewardedOrder(1, 1))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.deepEqual(run.progress.results, [{ id: 'g0.0', state: SampleState.Abandoned, output: '', versions: [] }])
  t.is(endpoints.calls.length, LEDGER_ROUTE.maxAttempts)
})

test('refusals and broken connections are no failures of the reward: its sample is completed once the service is back', async (t) => {
  const { endpoints, open } = await openFixture(t)
  let count = 0
  endpoints.callScripts.set('desk1', async (request) => {
    count += 1
    if (count > 4) return await signedAnswer(request)
    return count % 2 === 0 ? { kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' } : { kind: EndpointReplyKind.NotRun, status: 503, load: undefined }
  })
  const run = open(rewardedOrder(1, 1))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(run.progress.results[0]?.state, SampleState.Completed)
})

// Guards against abandoning a sample because several endpoints crashed while they scored it.
test('a reward request under which more endpoints crash than it may fail is sent again, and its sample completed', async (t) => {
  const crashes = LEDGER_ROUTE.maxAttempts + 2
  const desks = Array.from({ length: crashes }, (_, index) => `desk${index}`)
  const { endpoints, open } = await openFixture(t, desks)
  let count = 0
  for (const id of desks) {
    endpoints.callScripts.set(id, async (request) => {
      count += 1
      return count > crashes ? await signedAnswer(request) : { kind: EndpointReplyKind.Broken, sent: true, detail: 'reset' }
    })
  }
  const run = open(rewardedOrder(1, 1))
  run.start()
  await waitUntil(t, () => run.isFinished)
  t.is(endpoints.calls.length, crashes + 1)
  t.is(run.progress.results[0]?.state, SampleState.Completed)
})

test('rewards leave slots of each endpoint to callers, however many texts are whole', async (t) => {
  const { endpoints, context, open } = await openFixture(t)
  let running = 0
  let most = 0
  endpoints.callScripts.set('desk1', async (request) => {
    running += 1
    most = Math.max(most, running)
    await waitUnlessAborted(60, request.signal)
    running -= 1
    return await signedAnswer(request)
  })
  const run = open(rewardedOrder(2, 8))
  run.start()
  await waitUntil(t, () => run.isFinished)
  const slots = context.deployment.endpointTable.find('desk1')?.entry.slots ?? 0
  t.is(most, slots - 2)
  t.is(run.progress.results.length, 16)
})

test('a reward that waits follows its route to another service, and waits while no route matches', async (t) => {
  const { endpoints, declare, open } = await openFixture(t)
  declare(declarationOf(2, []))
  await new Promise((resolve) => setTimeout(resolve, 120))
  const run = open(rewardedOrder(1, 1))
  run.start()
  await new Promise((resolve) => setTimeout(resolve, 400))
  t.is(endpoints.calls.length, 0)
  endpoints.callScripts.set('a', signedAnswer)
  declare(declarationOf(3, [{ ...LEDGER_ROUTE, shares: [{ service: 'models', weight: 1 }] }]))
  await waitUntil(t, () => run.isFinished)
  t.deepEqual(endpoints.calls.map(({ endpoint }) => endpoint.id), ['a'])
  t.is(run.progress.results[0]?.score, 'signed w-g0.0')
})

test('after a planned stop between text and score, the next owner only requests the reward', async (t) => {
  const { endpoints, open } = await openFixture(t)
  endpoints.callScripts.set('desk1', async (request) => {
    await waitUnlessAborted(2_000, request.signal)
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  })
  const order = rewardedOrder(1, 2)
  const first = open(order)
  first.start()
  await waitUntil(t, () => endpoints.calls.length === 2)
  const handover = first.handOver()
  t.true(handover.texts.every(({ complete }) => complete))
  endpoints.callScripts.set('desk1', signedAnswer)
  const second = open(order, 'v')
  second.adopt(handover)
  second.start()
  await waitUntil(t, () => second.isFinished)
  t.is(endpoints.streams.length, 2)
  t.true(second.progress.results.every(({ output, score }) => output === 'e1\ne2\ne3' && score !== undefined))
})

test('after a crash of all hosts, a stored whole text is not generated again, and its failures still count', async (t) => {
  const { endpoints, context, open } = await openFixture(t)
  let answers = 0
  endpoints.callScripts.set('desk1', async (request) => {
    answers += 1
    if (answers <= 2) return answerWith(500)
    await waitUnlessAborted(60_000, request.signal)
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  })
  const order = rewardedOrder(1, 1)
  const run = open(order)
  run.start()
  await waitUntil(t, () => run.progress.texts.get('g0.0')?.rewardFailures === 2)
  run.stop()
  const progress = new RolloutProgress()
  await context.store.catchUp(order.id, progress, Infinity)
  t.true(progress.texts.get('g0.0')?.complete)
  endpoints.callScripts.set('desk1', async () => answerWith(500))
  const callsBefore = endpoints.calls.length
  const next = open(order, 'v', progress)
  next.start()
  await waitUntil(t, () => next.isFinished)
  t.is(endpoints.streams.length, 1)
  t.is(next.progress.results[0]?.state, SampleState.Abandoned)
  t.true(endpoints.calls.length - callsBefore <= LEDGER_ROUTE.maxAttempts)
})

test('no reward is requested after the end of the rollout, and running requests are cancelled', async (t) => {
  const { endpoints, open } = await openFixture(t)
  let cancelled = 0
  endpoints.callScripts.set('desk1', async (request) => {
    if (!await waitUnlessAborted(60_000, request.signal)) cancelled += 1
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  })
  const run = open(rewardedOrder(2, 4))
  run.start()
  await waitUntil(t, () => endpoints.calls.length > 0)
  t.true(await run.appendEnd(performance.now() + 2_000))
  await waitUntil(t, () => cancelled > 0 && run.isFinished)
  const sent = endpoints.calls.length
  await new Promise((resolve) => setTimeout(resolve, 300))
  t.is(endpoints.calls.length, sent)
})

test('once a scored sample is listed, the owner no longer holds a copy of its text', async (t) => {
  const { open } = await openFixture(t)
  const order = rewardedOrder(2, 2)
  const run = open(order)
  run.start()
  await waitUntil(t, () => run.progress.results.length > 0)
  await waitUntil(t, () => run.isFinished)
  t.deepEqual(run.handOver().texts, [])
})

test('a reward request whose endpoint stays silent is given up in time, also when memory is collected meanwhile', async (t) => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  const { endpoints, open } = await openFixture(t)
  const order = rewardedOrder(1, 1)
  endpoints.callScripts.set('desk1', async (request) => {
    if (performance.now() - startedAt > 1_000) return await signedAnswer(request)
    await waitUnlessAborted(60_000, request.signal)
    return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
  })
  const startedAt = performance.now()
  const run = open(order)
  run.start()
  const timer = setInterval(collect, 50)
  await waitUntil(t, () => run.isFinished)
  clearInterval(timer)
  t.is(run.progress.results[0]?.state, SampleState.Completed)
  t.true(performance.now() - startedAt < 4_000)
})
