import test from 'ava'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { waitUntil } from './deployment-fixture.js'
import { streamOf } from './scripted-endpoints.js'
import { openSilentHosts, storeRollout } from './silent-hosts-fixture.js'

/** Time in which the writes of a host are refused before it stops, and after that, in milliseconds. */
const REFUSED_MS = { before: 1_200, after: 1_500 }

/** Time that the host has to stop, in milliseconds. */
const STOP_MS = 2_500

// Guards against results that are lost with a host that stops while its writes are refused: between two attempts it waited beyond its own end.
for (const jitter of [0, 0.5, 0.999]) {
  test.serial(`a host that stops tries to list its results often enough to use a store that comes back in its time (jitter ${jitter})`, async (t) => {
    const { random } = Math
    t.teardown(() => {
      Math.random = random
    })
    Math.random = () => jitter
    const fixture = openSilentHosts(t, 1)
    fixture.store.set('servers/a', endpointEntry('a', { slots: 8 }))
    fixture.refused.add('h1')
    fixture.endpoints.streamScripts.set('a', streamOf(10, 3, 1))
    const order = storeRollout(fixture, 8, { owner: 'h1', open: 4 })
    const owner = fixture.tasks.get('h1')
    await owner?.readResults(order.id, order.workspace, 3, performance.now())
    await waitUntil(t, () => fixture.endpoints.streams.length === 4)
    await new Promise((resolve) => setTimeout(resolve, REFUSED_MS.before))
    setTimeout(() => fixture.refused.clear(), REFUSED_MS.after)
    await owner?.leave(performance.now() + STOP_MS)
    t.is((await owner?.readResults(order.id, order.workspace, 4, performance.now()))?.results.length, 4)
  })
}
