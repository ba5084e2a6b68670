import test from 'ava'
import { CallTask, IGNORED_NOTICES, LocalBroker, NO_CRASHES, NO_RELAY, RolloutStore, RolloutTask, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { PeerMessageKind, RolloutReadStatus, StoreFailure, StreamPartKind, WriteStatus } from '@cyclamenthread/protocol'
import { failure, Ran, rankWeightedOwners, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { timeLeft } from '@cyclamenthread/transport'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints, streamOf, waitUnlessAborted } from './scripted-endpoints.js'
import type { MemberView, MessageBus } from '@cyclamenthread/coordination'
import type { MemoryStore } from '@cyclamenthread/standins'
import type { ObjectStore, RolloutPage } from '@cyclamenthread/protocol'
import type { Host, RolloutOrder } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }
const IDS = ['h1', 'h2', 'h3']

interface Fixture {
  readonly tasks: ReadonlyMap<string, RolloutTask>
  readonly endpoints: ScriptedEndpoints
  /** Hosts that answer no messages. */
  readonly silent: Set<string>
  /** Hosts whose requests the store refuses. */
  readonly refused: Set<string>
  /** Directions in which messages get no answer, as `from>to`. */
  readonly cut: Set<string>
  /** Number of the next reads of a host that the store leaves without an answer. */
  readonly unanswered: Map<string, number>
  /** Number of reads of a host that the store has answered. */
  readonly answeredReads: Map<string, number>
  readonly store: ReturnType<typeof openDeployment>['store']
}

function createHost (id: string): Host {
  return { id, region: 'lothian', failureDomain: id === 'h3' ? 'grassmarket' : 'leith-walk', peerAddress: id, callerUrl: '', hasDataFolder: false }
}

/** Creates a view of the store that may refuse one host while it serves the others. */
function createStoreView (store: MemoryStore, isRefused: () => boolean, read: ObjectStore['read']): ObjectStore {
  return {
    read: async (key, call) => {
      if (!isRefused()) return await read(key, call)
      call.observer?.onSent(performance.now())
      return failure(StoreFailure.Unavailable)
    },
    list: async (prefix, call) => isRefused() ? failure(StoreFailure.Unavailable) : await store.list(prefix, call),
    write: async (key, value, expectation, call) => {
      if (!isRefused()) return await store.write(key, value, expectation, call)
      call.observer?.onSent(performance.now())
      return { status: WriteStatus.NotWritten, detail: 'refused' }
    },
    remove: async (key, version, call) => await store.remove(key, version, call),
    watch: async (prefix, after, call) => await store.watch(prefix, after, call)
  }
}

/** Creates three hosts that share a store and reach each other unless one is silent. */
async function openFixture (t: ExecutionContext): Promise<Fixture> {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a', { slots: 32 }))
  await waitUntil(t, () => view.endpointTable.find('a') !== undefined)
  const endpoints = new ScriptedEndpoints()
  const silent = new Set<string>()
  const refused = new Set<string>()
  const cut = new Set<string>()
  const unanswered = new Map<string, number>()
  const answeredReads = new Map<string, number>()
  const readAs = (id: string): ObjectStore['read'] => async (key, call) => {
    const left = unanswered.get(id) ?? 0
    if (left > 0) {
      unanswered.set(id, left - 1)
      call.observer?.onSent(performance.now())
      await new Promise((resolve) => setTimeout(resolve, timeLeft(call.deadline)))
      return failure(StoreFailure.Timeout)
    }
    const found = await store.read(key, call)
    answeredReads.set(id, (answeredReads.get(id) ?? 0) + 1)
    return found
  }
  const brokers = new Map(IDS.map((id) => [id, new LocalBroker()]))
  const busOf = (from: string): MessageBus => ({
    send: async (host: Host, message: { readonly kind: string }) => {
      const broker = brokers.get(host.id)
      if (silent.has(host.id) || cut.has(`${from}>${host.id}`) || broker === undefined) return { ok: false, failure: 'no-reply' }
      if (message.kind === PeerMessageKind.Probe) return { ok: true, value: { hostId: host.id, state: 'alive', catalogueRevision: 0 } }
      return { ok: true, value: await broker.call(message.kind, message, { meta: { from: '', deadline: Infinity, traceparent: '', signal: new AbortController().signal } }) }
    }
  } as unknown as MessageBus)
  const members = { workers: () => IDS.map(createHost), isSuspected: () => false, reportSilence: () => {} } as unknown as MemberView
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  const tasks = new Map(IDS.map((id) => {
    const task = new RolloutTask({
      self: createHost(id), members, bus: busOf(id), deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(createStoreView(store, () => refused.has(id), readAs(id))), networkLocation: LOCATION, writer: id, log: SILENT_LOG
    })
    brokers.get(id)?.createService(task.service())
    t.teardown(() => task.stop())
    return [id, task] as const
  }))
  return { tasks, endpoints, silent, refused, cut, unanswered, answeredReads, store }
}

async function readAll (t: ExecutionContext, task: RolloutTask | undefined, order: RolloutOrder): Promise<RolloutPage> {
  let page: RolloutPage | undefined
  const deadline = performance.now() + 8_000
  while (page?.results.length !== order.samples.length && performance.now() < deadline) {
    page = await task?.readResults(order.id, order.workspace, 0, performance.now())
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
  t.truthy(page)
  return page ?? { status: RolloutReadStatus.Unknown, total: 0, results: [], ended: false, owner: '', loading: false }
}

test('every host reads the same results at the same positions', async (t) => {
  const { tasks } = await openFixture(t)
  const order = rolloutOrder(2, 3)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  const pages = await Promise.all(IDS.map(async (id) => await readAll(t, tasks.get(id), order)))
  for (const page of pages) t.deepEqual(page.results, pages[0]?.results)
})

test('when an owner falls silent, the next read makes another host continue from the listed results', async (t) => {
  const { tasks, endpoints, silent } = await openFixture(t)
  endpoints.streamScripts.set('a', streamOf(6, 3, 40))
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => [...tasks.values()].some((task) => task.running > 0))
  const owner = IDS.find((id) => (tasks.get(id)?.running ?? 0) > 0) ?? ''
  silent.add(owner)
  tasks.get(owner)?.stop()
  const reader = IDS.find((id) => id !== owner) ?? ''
  const page = await readAll(t, tasks.get(reader), order)
  t.is(page.results.length, 4)
})

test('a rollout that is sent again is accepted again but runs only once', async (t) => {
  const { tasks, endpoints } = await openFixture(t)
  const order = rolloutOrder(1, 3)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  t.true((await tasks.get('h2')?.accept(order))?.ok)
  await readAll(t, tasks.get('h3'), order)
  t.is(endpoints.streams.length, 3)
})

test('a read with another workspace or an unknown id finds no rollout', async (t) => {
  const { tasks } = await openFixture(t)
  const order = rolloutOrder(1, 1)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  for (const id of IDS) {
    t.is((await tasks.get(id)?.readResults(order.id, 'stranger', 0, performance.now()))?.status, RolloutReadStatus.Unknown)
    t.is((await tasks.get(id)?.readResults('no-such', order.workspace, 0, performance.now()))?.status, RolloutReadStatus.Unknown)
  }
})

test('while the store is down a rollout is refused, and reads answer "unavailable" instead of "unknown"', async (t) => {
  const { tasks, store } = await openFixture(t)
  store.faults.down = true
  const accepted = await tasks.get('h1')?.accept(rolloutOrder(1, 1))
  t.is(accepted?.ok === false ? accepted.failure.ran : undefined, Ran.No)
  t.is((await tasks.get('h2')?.readResults('r1', 'office', 0, performance.now()))?.status, RolloutReadStatus.Unavailable)
})

test('an end is visible on every host, whichever host was asked for it', async (t) => {
  const { tasks, endpoints } = await openFixture(t)
  endpoints.streamScripts.set('a', streamOf(50, 3, 50))
  const order = rolloutOrder(1, 2)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  t.true((await tasks.get('h2')?.endRollout(order.id, order.workspace))?.ok)
  t.true((await tasks.get('h3')?.endRollout(order.id, order.workspace))?.ok)
  for (const id of IDS) t.true((await tasks.get(id)?.readResults(order.id, order.workspace, 0, performance.now()))?.ended)
  await waitUntil(t, () => [...tasks.values()].every((task) => task.running === 0))
})

/** Ids of the hosts that run a rollout. */
function runnersOf (tasks: ReadonlyMap<string, RolloutTask>): string[] {
  return IDS.filter((id) => (tasks.get(id)?.running ?? 0) > 0)
}

test('when a silent owner is replaced, it stops, its text goes to the new owner, and each sample is completed once', async (t) => {
  const { tasks, endpoints, silent } = await openFixture(t)
  endpoints.streamScripts.set('a', streamOf(60, 3, 100))
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => runnersOf(tasks).length === 1 && endpoints.streams.length === 4)
  const [owner = ''] = runnersOf(tasks)
  await new Promise((resolve) => setTimeout(resolve, 1_000))
  silent.add(owner)
  const reader = tasks.get(IDS.find((id) => id !== owner) ?? '')
  await waitUntil(t, () => {
    void reader?.readResults(order.id, order.workspace, 0, performance.now())
    return runnersOf(tasks).some((id) => id !== owner)
  })
  await waitUntil(t, () => runnersOf(tasks).length === 1)
  t.false(runnersOf(tasks).includes(owner))
  silent.delete(owner)
  const page = await readAll(t, reader, order)
  t.is(page.results.length, 4)
  t.true(page.results.every((result) => result.output.split('\n').length === 60))
  t.deepEqual(runnersOf(tasks).filter((id) => id === owner), [])
})

test('a reader that gets no answer appoints nobody while another host reaches the owner', async (t) => {
  const { tasks, endpoints, cut } = await openFixture(t)
  endpoints.streamScripts.set('a', streamOf(40, 3, 50))
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => runnersOf(tasks).length === 1 && endpoints.streams.length === 4)
  const [owner = ''] = runnersOf(tasks)
  // The reader can't reach the owner; its reads go to the next host in order of preference, which can.
  const reader = rankWeightedOwners('rollouts/office', IDS.map((name) => ({ name, weight: 1 })))[2] ?? ''
  cut.add(`${reader}>${owner}`)
  for (let read = 0; read < 5; read += 1) {
    const page = await tasks.get(reader)?.readResults(order.id, order.workspace, 0, performance.now())
    t.not(page?.status, RolloutReadStatus.Unknown)
    t.deepEqual(runnersOf(tasks), [owner])
  }
  const page = await readAll(t, tasks.get(reader), order)
  t.is(page.results.length, 4)
  t.is(endpoints.streams.length, 4)
})

test('an owner that the store refuses is replaced by a host that the store serves', async (t) => {
  const { tasks, endpoints, refused } = await openFixture(t)
  endpoints.streamScripts.set('a', streamOf(20, 3, 50))
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => runnersOf(tasks).length === 1 && endpoints.streams.length === 4)
  const [owner = ''] = runnersOf(tasks)
  refused.add(owner)
  const page = await readAll(t, tasks.get(IDS.find((id) => id !== owner) ?? ''), order)
  t.is(page.results.length, 4)
})

test('when many readers lose the owner at once, only one host runs the samples', async (t) => {
  const { tasks, endpoints, silent } = await openFixture(t)
  endpoints.streamScripts.set('a', streamOf(40, 3, 50))
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => runnersOf(tasks).length === 1 && endpoints.streams.length === 4)
  const [owner = ''] = runnersOf(tasks)
  tasks.get(owner)?.stop()
  silent.add(owner)
  const readers = IDS.filter((id) => id !== owner)
  const reads = readers.flatMap((id) => [1, 2, 3].map(async () => await tasks.get(id)?.readResults(order.id, order.workspace, 0, performance.now() + 500)))
  await Promise.all(reads)
  t.is(runnersOf(tasks).length, 1)
  await readAll(t, tasks.get(readers[0] ?? ''), order)
  // Each sample was sent once by the old owner and once by the new one.
  t.is(endpoints.streams.length, 8)
})

test('an end that is acknowledged by another host stops the owner at once, also if the end was not sent through it', async (t) => {
  const { tasks, endpoints, cut } = await openFixture(t)
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
  })
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => endpoints.streams.length > 0)
  const [owner = ''] = runnersOf(tasks)
  const other = IDS.find((id) => id !== owner) ?? ''
  const third = IDS.find((id) => id !== owner && id !== other) ?? ''
  // The end can be sent through neither the owner nor another host.
  for (const to of [owner, third]) cut.add(`${other}>${to}`)
  t.true((await tasks.get(other)?.endRollout(order.id, order.workspace))?.ok)
  const acknowledgedAt = performance.now()
  await waitUntil(t, () => tasks.get(owner)?.running === 0)
  t.true(performance.now() - acknowledgedAt < 2_500)
})

test('when the store refuses the hosts of a failure domain, a rollout is accepted through another one, and refused only if no host can have stored it', async (t) => {
  const { tasks, refused, silent, store } = await openFixture(t)
  const order = rolloutOrder(1, 3)
  refused.add('h1')
  refused.add('h2')
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  t.truthy(store.peek('rollouts/r1') ?? store.keys('').find((key) => key.endsWith('rollouts/r1')))
  refused.add('h3')
  const second = await tasks.get('h1')?.accept({ ...order, id: 'r2' })
  t.true(second?.ok === false && second.failure.ran === Ran.No)
  // A host that gives no answer may have stored the rollout, so the refusal must not say "not run".
  silent.add('h3')
  const third = await tasks.get('h1')?.accept({ ...order, id: 'r3' })
  t.true(third?.ok === false && third.failure.ran === Ran.Maybe)
})

/** Time after the acknowledgement of an end from which no sample may reach an endpoint, in milliseconds, as the platform's pages state it. */
const CANCEL_BOUND_MS = 3_000

for (const lostReads of [0, 1]) {
  // Guards against an item that reaches an endpoint later than the bound after the acknowledged end of its batch (UNASKED), sent by an earlier owner.
  test(`an owner that was replaced sends no sample later than the bound after an end that its successor acknowledged, with ${lostReads} of its reads lost`, async (t) => {
    const { tasks, endpoints, silent, unanswered, answeredReads, store } = await openFixture(t)
    const sentAt: number[] = []
    // An endpoint whose stream breaks is avoided for a while, so there are many.
    const ids = Array.from({ length: 80 }, (_, index) => `a${index}`)
    for (const id of ids) store.set(`servers/${id}`, endpointEntry(id))
    const breaking: Parameters<typeof endpoints.streamScripts.set>[1] = async function * (request) {
      sentAt.push(performance.now())
      yield { kind: StreamPartKind.Start, version: 3, load: undefined }
      await waitUnlessAborted(100, request.signal)
      yield { kind: StreamPartKind.Broken, sent: true, detail: 'reset' }
    }
    for (const id of ['a', ...ids]) endpoints.streamScripts.set(id, breaking)
    const order = rolloutOrder(1, 4)
    t.true((await tasks.get('h1')?.accept(order))?.ok)
    await waitUntil(t, () => endpoints.streams.length > 0)
    const owner = IDS.find((id) => (tasks.get(id)?.running ?? 0) > 0) ?? ''
    silent.add(owner)
    const successor = (): string | undefined => IDS.find((id) => id !== owner && (tasks.get(id)?.running ?? 0) > 0)
    const reader = tasks.get(IDS.find((id) => id !== owner) ?? '')
    // The end follows at once on a read of the earlier owner, so that its log copy is as old as it may get.
    const before = answeredReads.get(owner) ?? 0
    await waitUntil(t, () => {
      if (successor() === undefined) void reader?.readResults(order.id, order.workspace, 0, performance.now())
      return successor() !== undefined && ((answeredReads.get(owner) ?? 0) > before || tasks.get(owner)?.running === 0)
    })
    unanswered.set(owner, lostReads)
    t.true((await tasks.get(successor() ?? '')?.endRollout(order.id, order.workspace))?.ok)
    const acknowledgedAt = performance.now()
    await new Promise((resolve) => setTimeout(resolve, CANCEL_BOUND_MS + 800))
    const latest = Math.max(...sentAt) - acknowledgedAt
    t.log(`last sample sent ${Math.round(latest)} ms after the acknowledgement; runs left: ${[...tasks.values()].reduce((sum, task) => sum + task.running, 0)}`)
    t.true(latest < CANCEL_BOUND_MS)
  })
}

/** Time after which an end without an acknowledgement counts as acknowledged, in milliseconds, as the platform's pages state it. */
const ACK_BOUND_MS = 5_000

/** Makes an endpoint refuse all samples, so that they are sent again and again; returns the times at which they were. */
function refuseSamples (endpoints: ScriptedEndpoints): readonly number[] {
  const sentAt: number[] = []
  endpoints.streamScripts.set('a', async function * () {
    sentAt.push(performance.now())
    yield { kind: StreamPartKind.NotRun, status: 503, load: undefined }
  })
  return sentAt
}

for (const asked of ['the owner', 'another host']) {
  // Guards against items that reach an endpoint after an end that was never acknowledged (UNASKED): the store was away while the trainer asked for it.
  test(`an end that could not be stored when ${asked} was asked for it stops the rollout, and is stored once the store is back`, async (t) => {
    t.timeout(60_000)
    const { tasks, endpoints, refused } = await openFixture(t)
    const sentAt = refuseSamples(endpoints)
    const order = rolloutOrder(1, 4)
    t.true((await tasks.get('h1')?.accept(order))?.ok)
    await waitUntil(t, () => sentAt.length > 0)
    const [owner = ''] = runnersOf(tasks)
    for (const id of IDS) refused.add(id)
    const host = asked === 'the owner' ? owner : IDS.find((id) => id !== owner) ?? ''
    const ended = await tasks.get(host)?.endRollout(order.id, order.workspace)
    t.true(ended?.ok === false && ended.failure.ran === Ran.Maybe)
    const answeredAt = performance.now()
    await new Promise((resolve) => setTimeout(resolve, CANCEL_BOUND_MS + 1_000))
    refused.clear()
    const backAt = performance.now()
    await waitUntil(t, () => runnersOf(tasks).length === 0)
    t.true(performance.now() - backAt < ACK_BOUND_MS)
    for (const id of IDS) t.true((await tasks.get(id)?.readResults(order.id, order.workspace, 0, performance.now()))?.ended)
    await new Promise((resolve) => setTimeout(resolve, backAt + ACK_BOUND_MS + CANCEL_BOUND_MS + 1_000 - performance.now()))
    const latest = Math.max(...sentAt) - answeredAt
    t.true(latest < CANCEL_BOUND_MS, `a sample was sent ${Math.round(latest)} ms after the answer`)
  })
}

// Guards against items after an end (UNASKED) that reached the log through the host that was asked, while the store refused the owner.
test('an owner that the store refuses sends nothing later than the bound after an end that another host stored', async (t) => {
  const { tasks, endpoints, refused } = await openFixture(t)
  const sentAt = refuseSamples(endpoints)
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => sentAt.length > 0)
  const [owner = ''] = runnersOf(tasks)
  refused.add(owner)
  t.true((await tasks.get(IDS.find((id) => id !== owner) ?? '')?.endRollout(order.id, order.workspace))?.ok)
  const acknowledgedAt = performance.now()
  await new Promise((resolve) => setTimeout(resolve, CANCEL_BOUND_MS + 2_000))
  t.true(Math.max(...sentAt) - acknowledgedAt < CANCEL_BOUND_MS)
})

// Guards against an end that takes effect on a rollout of another workspace because it is kept while the store can't be read.
test('an end of another workspace or of an unknown rollout that could not be checked at first changes nothing', async (t) => {
  const { tasks, endpoints, refused, store } = await openFixture(t)
  const sentAt = refuseSamples(endpoints)
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => sentAt.length > 0)
  for (const id of IDS) refused.add(id)
  for (const id of IDS) {
    t.false((await tasks.get(id)?.endRollout(order.id, 'stranger'))?.ok)
    t.false((await tasks.get(id)?.endRollout('no-such', order.workspace))?.ok)
  }
  refused.clear()
  endpoints.streamScripts.delete('a')
  const page = await readAll(t, tasks.get('h2'), order)
  t.is(page.results.length, 4)
  await new Promise((resolve) => setTimeout(resolve, 3_000))
  t.false((await tasks.get('h3')?.readResults(order.id, order.workspace, 0, performance.now()))?.ended)
  t.deepEqual(store.keys('').filter((key) => key.includes('no-such')), [])
})

// Guards against an end that is lost with the host that was asked for it (UNASKED), when that host stops as planned.
test('a host that stops as planned hands over the ends that it could not store', async (t) => {
  const { tasks, endpoints, refused, cut } = await openFixture(t)
  const sentAt = refuseSamples(endpoints)
  const order = rolloutOrder(1, 4)
  t.true((await tasks.get('h1')?.accept(order))?.ok)
  await waitUntil(t, () => sentAt.length > 0)
  const [owner = ''] = runnersOf(tasks)
  const asked = IDS.find((id) => id !== owner) ?? ''
  refused.add(asked)
  const others = IDS.filter((id) => id !== asked)
  for (const id of others) cut.add(`${asked}>${id}`)
  const ended = await tasks.get(asked)?.endRollout(order.id, order.workspace)
  t.true(ended?.ok === false && ended.failure.ran === Ran.Maybe)
  cut.clear()
  await tasks.get(asked)?.leave(performance.now() + 2_000)
  tasks.get(asked)?.stop()
  await waitUntil(t, () => runnersOf(tasks).length === 0)
  for (const id of others) t.true((await tasks.get(id)?.readResults(order.id, order.workspace, 0, performance.now()))?.ended)
})
