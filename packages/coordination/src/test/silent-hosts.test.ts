import test from 'ava'
import { RolloutReadStatus, rolloutSegmentKey, StorePurpose } from '@cyclamenthread/protocol'
import { Ran, rankWeightedOwners, trainerOf } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { waitUntil } from './deployment-fixture.js'
import { streamOf } from './scripted-endpoints.js'
import { openSilentHosts, storeRollout } from './silent-hosts-fixture.js'

/** Time that callers wait beyond the wait that they allow, in milliseconds, as the platform's pages state it. */
const PATIENCE_MS = 1_500

// Guards against results that don't come again (LOST): each read of a long log gave up and threw away what it had read.
test('a long log at a slow store comes whole, read after read', async (t) => {
  const fixture = openSilentHosts(t, 1)
  fixture.latency.storeMs = 150
  const order = storeRollout(fixture, 60)
  let after = 0
  const startedAt = performance.now()
  while (after < 60 && performance.now() - startedAt < 8_000) {
    const readAt = performance.now()
    const page = await fixture.tasks.get('h1')?.readResults(order.id, order.workspace, after, readAt)
    if (performance.now() - readAt < PATIENCE_MS && page?.status === RolloutReadStatus.Found) after += page.results.length
  }
  t.is(after, 60)
})

for (const waitMs of [0, 1_000]) {
  // Guards against reads that are answered after their client has left (LOST): they waited for one silent host after the other, then for the store.
  test(`while half of the hosts are silent, each read is answered in its time and has the results that are stored (wait ${waitMs} ms)`, async (t) => {
    const fixture = openSilentHosts(t, 8)
    const order = storeRollout(fixture, 4, { owner: 'h1' })
    for (const id of ['h1', 'h2', 'h3', 'h4']) fixture.silent.add(id)
    for (const reader of ['h5', 'h6', 'h7', 'h8']) {
      const readAt = performance.now()
      const page = await fixture.tasks.get(reader)?.readResults(order.id, order.workspace, 0, readAt + waitMs)
      t.true(performance.now() - readAt < PATIENCE_MS, `${reader}: ${Math.round(performance.now() - readAt)} ms`)
      t.is(page?.results.length, 4)
    }
  })
}

// Guards against reads that pay for the same silence again and again.
test('a host that found others silent doesn\'t wait for them in its next reads', async (t) => {
  const fixture = openSilentHosts(t, 4)
  const order = storeRollout(fixture, 4, { owner: 'h1' })
  const reader = 'h4'
  for (const id of ['h1', 'h2', 'h3']) fixture.silent.add(id)
  const read = async (): Promise<number> => {
    const readAt = performance.now()
    await fixture.tasks.get(reader)?.readResults(order.id, order.workspace, 0, readAt)
    return performance.now() - readAt
  }
  for (let index = 0; index < 3; index += 1) await read()
  t.true(await read() < 200)
})

// Guards against a read without an answer while the store is slow: no step may begin that can't end in its time.
test('a read that neither a host nor the store answers in its time is refused before its caller leaves', async (t) => {
  const fixture = openSilentHosts(t, 3)
  const order = storeRollout(fixture, 4, { owner: 'h1' })
  fixture.latency.storeMs = 4_000
  for (const id of ['h1', 'h2']) fixture.silent.add(id)
  const readAt = performance.now()
  const page = await fixture.tasks.get('h3')?.readResults(order.id, order.workspace, 0, readAt)
  t.true(performance.now() - readAt < PATIENCE_MS, `${Math.round(performance.now() - readAt)} ms`)
  t.is(page?.status, RolloutReadStatus.Unavailable)
})

// Guards against results that only a host that isn't asked would list: the owner is replaced although reads are answered without it.
test('a silent owner is replaced while reads are answered from the store, and comes back without listing anything twice', async (t) => {
  const fixture = openSilentHosts(t, 3)
  const order = storeRollout(fixture, 4, { owner: 'h1', open: 1 })
  fixture.silent.add('h1')
  const startedAt = performance.now()
  while (['h2', 'h3'].every((id) => fixture.tasks.get(id)?.running === 0) && performance.now() - startedAt < 6_000) {
    for (const id of ['h2', 'h3']) {
      const readAt = performance.now()
      const page = await fixture.tasks.get(id)?.readResults(order.id, order.workspace, 0, readAt)
      t.true(performance.now() - readAt < PATIENCE_MS)
      t.is(page?.results.length, 3)
    }
  }
  t.true(performance.now() - startedAt < 6_000)
})

// Guards against an owner that is replaced because it is slow, and against priced calls of the store in calm.
test('a host that takes long to answer, but shows that it lives, isn\'t passed over', async (t) => {
  const fixture = openSilentHosts(t, 3)
  const order = storeRollout(fixture, 4, { owner: 'h1', open: 1 })
  for (const id of fixture.ids) await fixture.tasks.get(id)?.readResults(order.id, order.workspace, 0, performance.now())
  t.is(fixture.tasks.get('h1')?.running, 1)
  const calls = fixture.reads.length
  for (const id of ['h2', 'h3']) {
    const page = await fixture.tasks.get(id)?.readResults(order.id, order.workspace, 3, performance.now() + 1_000)
    t.deepEqual(page?.results, [])
  }
  t.deepEqual(fixture.ids.map((id) => fixture.tasks.get(id)?.running), [1, 0, 0])
  t.true(fixture.reads.length - calls <= 40, `${fixture.reads.length - calls} calls`)
})

/** Returns hosts in the order in which they are asked about a subject. */
function rank (ids: readonly string[], subject: string): string[] {
  return rankWeightedOwners(`rollouts/${subject}`, ids.map((name) => ({ name, weight: 1 })))
}

// Guards against ends that are acknowledged late because they wait for a silent owner, and again for its notice.
test('an end is stored in its caller\'s time although the owner is silent', async (t) => {
  const fixture = openSilentHosts(t, 4)
  const [owner = '', second = '', ...others] = rank(fixture.ids, 'office')
  const order = storeRollout(fixture, 4, { owner, open: 1 })
  for (const id of [owner, second]) fixture.silent.add(id)
  for (const id of others) {
    const askedAt = performance.now()
    t.true((await fixture.tasks.get(id)?.endRollout(order.id, order.workspace))?.ok)
    t.true(performance.now() - askedAt < PATIENCE_MS, `${Math.round(performance.now() - askedAt)} ms`)
  }
})

// Guards against submissions that wait for silent hosts in a row while the store refuses this host.
test('a rollout is accepted through another host although one of those asked is silent, and isn\'t refused as not run', async (t) => {
  const fixture = openSilentHosts(t, 3)
  fixture.refused.add('h1')
  fixture.silent.add('h2')
  const order = rolloutOrder(1, 2)
  const askedAt = performance.now()
  t.true((await fixture.tasks.get('h1')?.accept(order))?.ok)
  t.true(performance.now() - askedAt < PATIENCE_MS, `${Math.round(performance.now() - askedAt)} ms`)
  fixture.silent.add('h3')
  const maybe = await fixture.tasks.get('h1')?.accept({ ...order, id: 'r2' })
  t.true(maybe?.ok === false && maybe.failure.ran === Ran.Maybe)
})

// Guards against rollouts that a planned stop leaves behind because it waited for silent hosts in a row.
test('a host that stops hands its rollouts over although the hosts asked first are silent', async (t) => {
  const fixture = openSilentHosts(t, 6)
  const ranked = rank(fixture.ids, trainerOf(rolloutOrder(1, 4)))
  const [owner = '', last = ''] = [ranked[0], ranked.at(-1)]
  const order = storeRollout(fixture, 4, { owner, open: 1 })
  await fixture.tasks.get(owner)?.readResults(order.id, order.workspace, 3, performance.now())
  t.is(fixture.tasks.get(owner)?.running, 1)
  for (const id of ranked.slice(1, -1)) fixture.silent.add(id)
  await fixture.tasks.get(owner)?.leave(performance.now() + 4_000)
  t.is(fixture.tasks.get(last)?.running, 1)
})

// Guards against results that are lost with a host that the store turns away when it stops: it tried to list them until its time was over, and handed nothing over.
test('a host whose writes the store refuses hands over its rollouts with their results when it stops', async (t) => {
  const fixture = openSilentHosts(t, 3)
  fixture.store.set('servers/a', endpointEntry('a', { slots: 8 }))
  const [owner = '', next = ''] = rank(fixture.ids, trainerOf(rolloutOrder(1, 8)))
  fixture.refused.add(owner)
  const order = storeRollout(fixture, 8, { owner, open: 4 })
  await fixture.tasks.get(owner)?.readResults(order.id, order.workspace, 3, performance.now())
  await waitUntil(t, () => fixture.endpoints.streams.length === 4)
  // The texts are whole by then.
  await new Promise((resolve) => setTimeout(resolve, 400))
  const stoppedAt = performance.now()
  await fixture.tasks.get(owner)?.leave(stoppedAt + 2_000)
  t.true(performance.now() - stoppedAt < 2_200, `${Math.round(performance.now() - stoppedAt)} ms`)
  const page = await fixture.tasks.get(next)?.readResults(order.id, order.workspace, 4, performance.now() + 1_000)
  t.is(page?.results.length, 4)
  // None of them was generated again.
  t.is(fixture.endpoints.streams.length, 4)
})

// Guards against results that are lost with the last host of a region, which has nobody to hand them over to and so needs all of its time to list them.
test('a host that stops alone goes on listing its results until its time is over', async (t) => {
  const fixture = openSilentHosts(t, 1)
  fixture.store.set('servers/a', endpointEntry('a', { slots: 8 }))
  fixture.refused.add('h1')
  let streams = 0
  fixture.endpoints.streamScripts.set('a', async function * (...request) {
    streams += 1
    yield * streamOf(10, 3, streams > 2 ? 80 : 1)(...request)
  })
  const order = storeRollout(fixture, 8, { owner: 'h1', open: 4 })
  await fixture.tasks.get('h1')?.readResults(order.id, order.workspace, 3, performance.now())
  await waitUntil(t, () => streams === 4)
  await new Promise((resolve) => setTimeout(resolve, 300))
  setTimeout(() => fixture.refused.clear(), 1_500)
  await fixture.tasks.get('h1')?.leave(performance.now() + 2_500)
  const page = await fixture.tasks.get('h1')?.readResults(order.id, order.workspace, 4, performance.now())
  t.is(page?.results.length, 4)
})

// Guards against refusals of reads that could be answered: the store has no results yet, and hosts that are asked take all of the time.
test('a read of a rollout without results is answered in its time while half of the hosts are silent', async (t) => {
  const fixture = openSilentHosts(t, 6)
  fixture.latency.storeMs = 30
  const [owner = '', second = '', third = '', ...others] = rank(fixture.ids, 'office')
  const order = storeRollout(fixture, 4, { owner, open: 4 })
  for (const id of [owner, second, third]) fixture.silent.add(id)
  const reads = others.map(async (id) => {
    const readAt = performance.now()
    const page = await fixture.tasks.get(id)?.readResults(order.id, order.workspace, 0, readAt + 1_000)
    return { status: page?.status, isInTime: performance.now() - readAt < 1_000 + PATIENCE_MS }
  })
  t.deepEqual(await Promise.all(reads), others.map(() => ({ status: RolloutReadStatus.Found, isInTime: true })))
})

// Guards against a rollout that passes from one live host to another and back, since a second read shows the first one's claim to a take-over that has begun.
test('a host that finds an owner silent claims nothing from a host that claimed the rollout meanwhile', async (t) => {
  const fixture = openSilentHosts(t, 3)
  const order = storeRollout(fixture, 8, { owner: 'h1', open: 4 })
  fixture.silent.add('h1')
  const reader = fixture.tasks.get('h3')
  const reading = reader?.readResults(order.id, order.workspace, 4, performance.now() + 1_000)
  await new Promise((resolve) => setTimeout(resolve, 900))
  fixture.store.set(rolloutSegmentKey(order.id, 4), { writer: 'h2', results: [], texts: [], claim: true, ended: false })
  void reader?.readResults(order.id, order.workspace, 4, performance.now() + 100)
  await reading
  await new Promise((resolve) => setTimeout(resolve, 1_500))
  const next = await fixture.store.read(rolloutSegmentKey(order.id, 5), { purpose: StorePurpose.Claim, deadline: performance.now() + 500 })
  t.deepEqual(next.ok && next.value?.value, undefined)
})
