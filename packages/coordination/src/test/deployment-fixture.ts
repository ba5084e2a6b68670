import { success } from '@cyclamenthread/state'
import { seededRandom, MemoryStore } from '@cyclamenthread/standins'
import { DeploymentView, SILENT_LOG, StoreMirror } from '@cyclamenthread/coordination'
import type { DeploymentDecoder } from '@cyclamenthread/coordination'
import type { SnapshotStore } from '@cyclamenthread/protocol'
import type { Declaration, EndpointEntry } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

/** Returns stored objects unchanged: the tests store decoded values. */
const DECODER: DeploymentDecoder = {
  declaration: (object) => success(object.value as Declaration),
  endpoint: (object) => success(object.value as EndpointEntry)
}

/** A deployment view of an in-memory store that the test writes to. */
export interface DeploymentFixture {
  readonly store: MemoryStore
  readonly view: DeploymentView
}

/** Returns a view of a store whose watches answer only to a change or after a time, like those of a quiet store. */
function createQuietStore (store: MemoryStore, waitMs: number): SnapshotStore {
  return {
    snapshot: async (prefix, call) => await store.snapshot(prefix, call),
    read: async (key, call) => await store.read(key, call),
    list: async (prefix, call) => await store.list(prefix, call),
    write: async (key, value, expectation, call) => await store.write(key, value, expectation, call),
    remove: async (key, version, call) => await store.remove(key, version, call),
    watch: async (prefix, after, call) => {
      const end = performance.now() + waitMs
      let answer = await store.watch(prefix, after, call)
      while (answer.ok && answer.value.changes.length === 0 && performance.now() < end) answer = await store.watch(prefix, after, call)
      return answer
    }
  }
}

/**
 * Opens a deployment view that follows an in-memory store until the test ends.
 *
 * @param quietMs time after which a watch without a change answers
 */
export function openDeployment (t: ExecutionContext, quietMs = 0): DeploymentFixture {
  const store = new MemoryStore({ sleep: async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds)) }, seededRandom(1))
  const source = createQuietStore(store, quietMs)
  const mirrors = ['config/', 'servers/'].map((prefix) => new StoreMirror({ prefix, waitMs: 50, noticeMs: 2_500, changePauseMs: 0 }, source, SILENT_LOG, () => 0))
  const [declarations, endpoints] = mirrors
  if (declarations === undefined || endpoints === undefined) throw new Error('expected two mirrors')
  const view = new DeploymentView({ declarations, endpoints, decoder: DECODER, log: SILENT_LOG })
  for (const mirror of mirrors) mirror.start()
  t.teardown(() => {
    for (const mirror of mirrors) mirror.stop()
  })
  return { store, view }
}

/** Waits until a condition holds; fails the test after five seconds. */
export async function waitUntil (t: ExecutionContext, condition: () => boolean): Promise<void> {
  const deadline = performance.now() + 5_000
  while (!condition()) {
    if (performance.now() > deadline) {
      t.fail('the condition did not hold within five seconds')
      return
    }
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}
