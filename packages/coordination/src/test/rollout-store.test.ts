import test from 'ava'
import { decideWorkPermission, failure, RolloutProgress, SampleState, WorkPermission } from '@cyclamenthread/state'
import { AppendStatus, RolloutStore } from '@cyclamenthread/coordination'
import { RolloutCreationStatus, StoreFailure, WriteStatus } from '@cyclamenthread/protocol'
import { rolloutOrder } from '@cyclamenthread/state/testing'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { deadlineAfter, timeLeft } from '@cyclamenthread/transport'
import type { ObjectStore } from '@cyclamenthread/protocol'
import type { RolloutSegment } from '@cyclamenthread/state'

/** Deadline of store calls in tests, in milliseconds of real time. */
const TEST_MS = 10_000

const sleep = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

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
    const ids = ['a', 'b', 'c', 'd']
    const writers = await Promise.all(['x', 'y'].map(async (writer) => {
      const progress = new RolloutProgress()
      for (const id of ids) {
        while (!progress.isListed(id)) await store.append('r1', progress, createSegment(writer, [id]), deadlineAfter(TEST_MS))
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

/** Wraps a store that answers after a round trip; a call that has waited in this process is sent shortly before its deadline. */
function delayedStore (inner: ObjectStore, leftMs: number, roundTripMs: number): ObjectStore {
  return {
    read: async (key, call) => {
      await sleep(Math.max(0, timeLeft(call.deadline) - leftMs))
      call.observer?.onSent(performance.now())
      if (timeLeft(call.deadline) < roundTripMs) {
        await sleep(Math.max(0, timeLeft(call.deadline)))
        return failure(StoreFailure.Timeout)
      }
      await sleep(roundTripMs)
      return await inner.read(key, call)
    },
    list: async (prefix, call) => await inner.list(prefix, call),
    write: async () => ({ status: WriteStatus.NotWritten, detail: 'not used' }),
    remove: async (key, version, call) => await inner.remove(key, version, call),
    watch: async (prefix, after, call) => await inner.watch(prefix, after, call)
  }
}

// Guards against work on old log copies (UNASKED): calls that this process delayed almost to their deadlines count as an outage of the store.
test('calls that had no time left for an answer when they were sent show no outage, however many there are', async (t) => {
  const { memory } = openStore(9)
  const rollouts = new RolloutStore(delayedStore(memory, 10, 24))
  const startedAt = performance.now()
  const readers = Array.from({ length: 4 }, async (_, index) => {
    await sleep(index * 350)
    while (performance.now() < startedAt + 5_500) {
      await rollouts.catchUp(`r${index}`, new RolloutProgress(), performance.now() + 1_500)
      await sleep(300)
    }
  })
  await Promise.all(readers)
  const span = rollouts.silence
  t.log(`silence of ${Math.round((span?.until ?? 0) - (span?.since ?? 0))} ms from calls that waited 10 ms each for their answers`)
  t.is(decideWorkPermission({ confirmedAt: performance.now() - 6_000, storeSilence: span, isContested: false }, performance.now()), WorkPermission.ConfirmFirst)
})

// Guards against work on old log copies (UNASKED): a process that was held up took answers in its own queue for silence of the store.
test('a timeout that this process noticed late shows no silence of the store', async (t) => {
  const { memory } = openStore(1)
  const blockedMs = { value: 0 }
  const silentStore: ObjectStore = {
    read: async (_key, call) => {
      call.observer?.onSent(performance.now())
      await sleep(timeLeft(call.deadline))
      for (const end = performance.now() + blockedMs.value; performance.now() < end;);
      return failure(StoreFailure.Timeout)
    },
    list: async (prefix, call) => await memory.list(prefix, call),
    write: async (key, value, expectation, call) => await memory.write(key, value, expectation, call),
    remove: async (key, version, call) => await memory.remove(key, version, call),
    watch: async (prefix, after, call) => await memory.watch(prefix, after, call)
  }
  const store = new RolloutStore(silentStore)
  blockedMs.value = 400
  await store.readOrder('r1', deadlineAfter(700))
  t.is(store.silence, undefined)
  blockedMs.value = 0
  // A stall of the machine may hold this process up as well.
  for (let attempt = 0; attempt < 5 && store.silence === undefined; attempt += 1) await store.readOrder('r1', deadlineAfter(700))
  t.true((store.silence?.until ?? 0) - (store.silence?.since ?? 0) >= 500)
})
