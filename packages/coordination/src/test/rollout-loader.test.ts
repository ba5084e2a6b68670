import test from 'ava'
import { RolloutStore, RolloutLoader } from '@cyclamenthread/coordination'
import { rolloutSegmentKey, rolloutKey, StoreFailure } from '@cyclamenthread/protocol'
import { failure, SampleState } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { deadlineAfter } from '@cyclamenthread/transport'
import type { ObjectStore } from '@cyclamenthread/protocol'

const sleep = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Stores a rollout whose log has one entry for each of its samples. */
function openLoader (samples: number, answer: (key: string) => Promise<boolean>): { readonly loader: RolloutLoader, readonly reads: string[] } {
  const memory = new MemoryStore({ sleep }, seededRandom(1))
  const order = rolloutOrder(1, samples)
  memory.set(rolloutKey(order.id), order)
  for (const [position, { id }] of order.samples.entries()) {
    memory.set(rolloutSegmentKey(order.id, position), { writer: 'w', results: [{ id, state: SampleState.Completed, output: id, versions: [1] }], texts: [], ended: false })
  }
  const reads: string[] = []
  const read: ObjectStore['read'] = async (key, call) => {
    reads.push(key)
    return await answer(key) ? await memory.read(key, call) : failure(StoreFailure.Unavailable)
  }
  return { loader: new RolloutLoader(new RolloutStore(Object.assign(Object.create(memory) as ObjectStore, { read }))), reads }
}

// Guards against results that don't come again (LOST): a log that took longer than one read's time was begun anew by each read.
test('a log that takes longer than its reads is read once, and reads are served from the part that is there', async (t) => {
  const { loader, reads } = openLoader(40, async () => await sleep(60).then(() => true))
  let after = 0
  for (let read = 0; read < 20 && after < 40; read += 1) {
    const loaded = await loader.load('r1', deadlineAfter(150), ({ results }) => results.length > after)
    if (loaded.ok && loaded.value !== undefined) after = loaded.value.progress.results.length
  }
  t.is(after, 40)
  t.true(reads.length <= 60, `${reads.length} calls for 42 objects`)
  t.is(new Set(reads).size, reads.length, 'no object was read twice')
})

// Guards against a load that starts over when the store refuses one of its calls for being too many.
test('a load that the store refuses now and then goes on where it was', async (t) => {
  let calls = 0
  const { loader, reads } = openLoader(20, async () => {
    calls += 1
    return calls % 5 !== 0
  })
  const loaded = await loader.load('r1', deadlineAfter(3_000))
  t.is(loaded.ok ? loaded.value?.progress.results.length : undefined, 20)
  t.is(reads.filter((key) => key.endsWith('.0')).length, 1)
})

// Guards against reads that hold on to a store that refuses all of them.
test('a read is told soon that the store refuses, and the next one begins where the load was', async (t) => {
  let isDown = false
  const { loader, reads } = openLoader(10, async (key) => {
    isDown ||= key.endsWith('.6')
    return !isDown
  })
  const startedAt = performance.now()
  const refused = await loader.load('r1', deadlineAfter(5_000))
  t.deepEqual(refused, failure(StoreFailure.Unavailable))
  t.true(performance.now() - startedAt < 1_000)
  reads.length = 0
  const next = await loader.load('r1', deadlineAfter(500), ({ results }) => results.length > 3)
  t.true(next.ok && (next.value?.progress.results.length ?? 0) >= 4)
  t.false(reads.some((key) => key.endsWith('.0')))
})

// Guards against hosts that keep every rollout that they have opened for ever.
test('what a host has read of rollouts is kept as long as there is room', (t) => {
  const { loader } = openLoader(1, async () => true)
  const order = rolloutOrder(1, 1)
  const large = { ...order, samples: order.samples.map((sample) => ({ ...sample, body: 'x'.repeat(1_000_000) })) }
  for (let index = 0; index < 100; index += 1) loader.keep({ ...large, id: `large-${index}` })
  const kept = Array.from({ length: 100 }, (_, index) => `large-${index}`).filter((id) => loader.findOrder(id) !== undefined)
  t.true(kept.length >= 5 && kept.length < 10)
  t.is(kept.at(-1), 'large-99')
})
