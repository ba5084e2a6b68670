import test from 'ava'
import { CLUSTER_SECRET_KEY } from '@cyclamenthread/protocol'
import { startHosts } from './entry-hosts.js'
import type { EndpointPort, SnapshotStore } from '@cyclamenthread/protocol'

/** Time that the store takes for the cluster secret unless the mirrors are listed before, in milliseconds. */
const SECRET_MS = 1_000

// Guards against a start that makes its calls of a slow store one after the other.
test('a host reads the deployment while it waits for the cluster secret', async (t) => {
  const listed = new Set<string>()
  const listedBeforeSecret: string[][] = []
  await startHosts(t, {
    domains: ['leith-walk'],
    portOf: () => ({ close: async () => {} }) as EndpointPort,
    entries: [],
    storeOf: (store): SnapshotStore => ({
      snapshot: async (prefix, call) => {
        listed.add(prefix)
        return await store.snapshot(prefix, call)
      },
      read: async (key, call) => {
        if (key !== CLUSTER_SECRET_KEY) return await store.read(key, call)
        const deadline = performance.now() + SECRET_MS
        while (listed.size < 2 && performance.now() < deadline) await new Promise((resolve) => setTimeout(resolve, 5))
        listedBeforeSecret.push([...listed].sort())
        return await store.read(key, call)
      },
      list: async (prefix, call) => await store.list(prefix, call),
      write: async (key, value, expectation, call) => await store.write(key, value, expectation, call),
      remove: async (key, version, call) => await store.remove(key, version, call),
      watch: async (prefix, after, call) => await store.watch(prefix, after, call)
    })
  })
  t.deepEqual(listedBeforeSecret[0], ['config/', 'servers/'])
})
