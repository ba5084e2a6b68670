import test from 'ava'
import { PROOF_VALIDITY_MS } from '@cyclamenthread/state'
import { createNetworkHosts } from '../lib/slopes/membership-simulation.js'
import { HostNetwork } from './host-network.js'

// Guards against a withdrawn key that a host accepts after its machine was suspended, because its proof of the catalogue seems to be current (ROUTE).
test('a host whose machine was suspended has no proof that its catalogue is current', async (t) => {
  const network = new HostNetwork()
  t.teardown(async () => await network.stop())
  await network.start(createNetworkHosts(4, 1), { workspaces: [], keys: [], entries: [], pools: [] })
  await network.waitUntil(() => network.allHosts().every(({ catalogue }) => catalogue.isCurrent()))
  const { now } = Date
  t.teardown(() => {
    Date.now = now
  })
  // Of a suspend the steady clock shows nothing.
  Date.now = () => now() + 2 * PROOF_VALIDITY_MS
  t.true(network.allHosts().every(({ catalogue }) => !catalogue.isCurrent()))
  await network.waitUntil(() => network.allHosts().every(({ catalogue }) => catalogue.isCurrent()))
  t.pass()
})
