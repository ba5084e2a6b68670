import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import { SILENT_LOG, StoreMirror } from '@cyclamenthread/coordination'
import { StoreFailure } from '@cyclamenthread/protocol'
import { failure, success } from '@cyclamenthread/state'
import { waitUntil } from './deployment-fixture.js'
import type { SnapshotStore, StoredObject } from '@cyclamenthread/protocol'
import type { ExecutionContext } from 'ava'

/** Time without the store in which no entry of a living endpoint can expire, in milliseconds. */
const LAPSE_MS = 600

interface CuttingStore {
  readonly mirror: StoreMirror
  /** Removes the only object. */
  readonly remove: () => void
  readonly calls: { lists: number, watches: number }
  /** Time after which a watch that waits is cut off, in milliseconds. */
  cutAfterMs: number
  isDown: boolean
}

/** Starts a mirror of a store that cuts off each watch. */
async function openCuttingStore (t: ExecutionContext): Promise<CuttingStore> {
  let objects: StoredObject[] = [{ key: 'servers/a', version: '1', value: {} }]
  let revision = 1
  const calls = { lists: 0, watches: 0 }
  const store: Pick<SnapshotStore, 'snapshot' | 'watch'> = {
    snapshot: async () => {
      calls.lists += 1
      return fixture.isDown ? failure(StoreFailure.Unavailable) : success({ objects, next: String(revision) })
    },
    watch: async (_prefix, after) => {
      calls.watches += 1
      const cutAt = performance.now() + fixture.cutAfterMs
      while (!fixture.isDown && performance.now() < cutAt) {
        if (Number(after) < revision) return success({ changes: [{ key: 'servers/a', version: '2' }], next: String(revision) })
        await sleep(5)
      }
      return failure(StoreFailure.Unavailable)
    }
  }
  const mirror = new StoreMirror({ prefix: 'servers/', waitMs: 3_000, noticeMs: 2_500, changePauseMs: 0, lapseMs: LAPSE_MS }, store as SnapshotStore, SILENT_LOG)
  const remove = (): void => {
    objects = []
    revision += 1
  }
  const fixture: CuttingStore = { mirror, remove, calls, cutAfterMs: 100, isDown: false }
  mirror.start()
  t.teardown(() => mirror.stop())
  await waitUntil(t, () => mirror.loaded)
  return fixture
}

// Guards against endpoints that get requests beyond their drain time (DRAIN): each cut doubled the time without a watch, and counted as an outage of the store.
test('a change is noticed at once, and no outage is recorded, while the store cuts watches off', async (t) => {
  const fixture = await openCuttingStore(t)
  await sleep(1_500)
  fixture.remove()
  const removedAt = performance.now()
  await waitUntil(t, () => fixture.mirror.objects().length === 0)
  t.true(performance.now() - removedAt < 400, `${Math.round(performance.now() - removedAt)} ms`)
  t.is(fixture.mirror.reconnectedAt, -Infinity)
})

// Guards against living endpoints that are dropped since their entries expired while the store was silent.
test('a watch that is cut off after entries can have expired counts as an outage', async (t) => {
  const fixture = await openCuttingStore(t)
  fixture.cutAfterMs = LAPSE_MS + 100
  await sleep(2 * LAPSE_MS)
  fixture.remove()
  await waitUntil(t, () => fixture.mirror.objects().length === 0)
  t.true(fixture.mirror.reconnectedAt > 0)
})

// Guards against twice as many calls to a store that serves none.
test('a store that is down gets one more call for the watch that it cut off, then as few as before', async (t) => {
  const fixture = await openCuttingStore(t)
  fixture.isDown = true
  const { lists } = fixture.calls
  await sleep(1_000)
  t.true(fixture.calls.lists <= lists + 1, `${fixture.calls.lists - lists} lists`)
  t.true(fixture.calls.watches <= 14, `${fixture.calls.watches} watches`)
})
