import test from 'ava'
import { RolloutProgress, SampleState } from '@cyclamenthread/state'
import { AppendStatus, RolloutStore } from '@cyclamenthread/coordination'
import { RolloutCreationStatus } from '@cyclamenthread/protocol'
import { rolloutOrder } from '@cyclamenthread/state/testing'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { deadlineAfter } from '@cyclamenthread/transport'

import type { RolloutSegment } from '@cyclamenthread/state'

/** Deadline of store calls in tests, in milliseconds of real time. */
const TEST_MS = 10_000

function createSegment (writer: string, ids: readonly string[], ended = false): RolloutSegment {
  return { writer, results: ids.map((id) => ({ id, state: SampleState.Completed, output: id, versions: [1] })), texts: [], ended }
}

function openStore (seed: number): { readonly memory: MemoryStore, readonly store: RolloutStore } {
  const memory = new MemoryStore({ sleep: async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds)) }, seededRandom(seed))
  return { memory, store: new RolloutStore(memory) }
}

async function readBack (store: RolloutStore): Promise<RolloutProgress> {
  const progress = new RolloutProgress()
  await store.catchUp('r1', progress, deadlineAfter(TEST_MS))
  return progress
}

test('concurrent reads and appends keep every log entry at its position', async (t) => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const { memory, store } = openStore(seed)
    memory.faults.jitterMs = 20
    const progress = new RolloutProgress()
    const deadline = deadlineAfter(TEST_MS)
    for (const ids of [['a'], ['b', 'c'], ['d']]) {
      const reading = Promise.all([1, 2, 3].map(async () => await store.catchUp('r1', progress, deadline)))
      t.is(await store.append('r1', progress, createSegment('w', ids), deadline), AppendStatus.Applied)
      await reading
    }
    t.is(progress.segments, 3, `seed ${seed}`)
    t.deepEqual((await readBack(store)).results.map(({ id }) => id), ['a', 'b', 'c', 'd'])
  }
})

test('two writers agree on one log although answers and writes are lost or late', async (t) => {
  for (const seed of [1, 2, 3]) {
    const { memory, store } = openStore(seed)
    Object.assign(memory.faults, { lostAnswers: 0.3, lostWrites: 0.2, lateWrites: 0.2, latenessMs: 30, jitterMs: 4 })
    const deadline = deadlineAfter(TEST_MS)
    const ids = ['a', 'b', 'c', 'd']
    const writers = await Promise.all(['x', 'y'].map(async (writer) => {
      const progress = new RolloutProgress()
      for (const id of ids) {
        while (!progress.isListed(id)) await store.append('r1', progress, createSegment(writer, [id]), deadline)
      }
      return progress
    }))
    const last = await readBack(store)
    t.deepEqual(last.results.map(({ id }) => id).sort(), ids)
    for (const progress of writers) {
      t.deepEqual(progress.results, last.results.slice(0, progress.results.length), `seed ${seed}`)
    }
  }
})

test('a rollout whose creation got no answer at first is created once', async (t) => {
  const { memory, store } = openStore(7)
  memory.faults.lostAnswers = 1
  setTimeout(() => {
    memory.faults.lostAnswers = 0
  }, 50)
  t.is(await store.create(rolloutOrder(1, 2), deadlineAfter(TEST_MS)), RolloutCreationStatus.Created)
  t.is(await store.create(rolloutOrder(1, 2), deadlineAfter(TEST_MS)), RolloutCreationStatus.Known)
})

test('a rollout is refused while the store is down, and nothing of it is stored', async (t) => {
  const { memory, store } = openStore(8)
  memory.faults.down = true
  t.is(await store.create(rolloutOrder(1, 2), deadlineAfter(TEST_MS)), RolloutCreationStatus.Refused)
  t.deepEqual(memory.keys(''), [])
})
