import test from 'ava'
import { EntryKind, IsolationPolicy, PROOF_VALIDITY_MS, WorkClass } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { relaysOf } from '@cyclamenthread/coordination'
import { createNetworkHosts } from '../lib/slopes/membership-simulation.js'
import { HostNetwork } from './host-network.js'
import type { ExecutionContext } from 'ava'
import type { Catalogue } from '@cyclamenthread/state'
import type { PeerMessage } from '@cyclamenthread/protocol'
import type { NetworkHost } from './host-network.js'

const HOSTS = 12
const KEY = 'desk-key'
const hosts = createNetworkHosts(HOSTS, 3)
const storeRegion = hosts[0]?.region ?? ''

function createCatalogue (withdrawn: boolean, weight = 1): Catalogue {
  return {
    workspaces: ['desk', 'training'].map((name) => ({ name, owner: 'test', weight: name === 'desk' ? weight : 1, limits: {} })),
    keys: [{ id: KEY, workspace: 'desk', salt: '00'.repeat(16), hash: '00'.repeat(32), withdrawn }],
    entries: [{ name: 'answers', owner: 'test', kind: EntryKind.Model, class: WorkClass.Interactive, pool: 'engines', limits: {}, open: false, idempotentMethods: [], whenIsolated: IsolationPolicy.Refuse, timeoutMs: 1_000 }],
    pools: [{ name: 'engines', kind: EntryKind.Model, endpoints: [], capacity: [] }]
  }
}

async function startNetwork (t: ExecutionContext): Promise<HostNetwork> {
  const network = new HostNetwork()
  t.teardown(async () => await network.stop())
  await network.start(hosts, createCatalogue(false))
  await network.waitUntil(() => network.allHosts().every((item) => item.catalogue.isCurrent() && item.members.workers().length === HOSTS))
  return network
}

function revisionOf (item: NetworkHost): number {
  return item.catalogue.current()?.revision ?? 0
}

function isRelay (item: NetworkHost): boolean {
  return relaysOf(item.host.region, item.members.workers()).some((host) => host.id === item.host.id)
}

/** Whether a message belongs to the catalogue protocol rather than to membership gossip. */
function isCatalogueMessage (message: PeerMessage): boolean {
  return message.kind !== PeerMessageKind.MembershipGossip
}

test.serial('an accepted revision reaches every host, and only relays watch the store', async (t) => {
  const network = await startNetwork(t)
  const before = { ...network.store.counts }
  network.watchers.clear()
  const accepted = await network.applyCatalogue(createCatalogue(false, 2))
  const tookMs = await network.waitUntil(() => network.allHosts().every((item) => revisionOf(item) === accepted))
  t.log(`in force on the last of ${HOSTS} hosts after ${tookMs} ms; store reads meanwhile ${network.store.counts.reads - before.reads}`)
  // More changes, so that every pending watch returns and is counted.
  for (const weight of [3, 4]) {
    const next = await network.applyCatalogue(createCatalogue(false, weight))
    await network.waitUntil(() => network.allHosts().every((item) => revisionOf(item) === next))
  }
  const relays = network.allHosts().filter(isRelay).map((item) => item.host.id)
  t.deepEqual([...network.watchers].filter((hostId) => !relays.includes(hostId)), [])
  t.true(network.watchers.size > 0)
  for (const item of network.allHosts()) t.is(item.catalogue.current()?.workspace('desk')?.weight, 4)
})

test.serial('hosts that miss announcements get the revision by periodic checks', async (t) => {
  const network = await startNetwork(t)
  network.faults.isLost = (_from, _to, message) => message.kind === PeerMessageKind.AnnounceCatalogue || message.kind === PeerMessageKind.MembershipGossip
  const accepted = await network.applyCatalogue(createCatalogue(false, 2))
  t.log(`after ${await network.waitUntil(() => network.allHosts().every((item) => revisionOf(item) === accepted))} ms`)
  t.pass()
})

test.serial('regions that cannot reach the store get revisions through the relays of the store region', async (t) => {
  const network = await startNetwork(t)
  network.faults.canReachStore = (from) => network.hosts.get(from)?.host.region === storeRegion
  const accepted = await network.applyCatalogue(createCatalogue(false, 2))
  t.log(`after ${await network.waitUntil(() => network.allHosts().every((item) => revisionOf(item) === accepted))} ms`)
  await network.waitUntil(() => network.allHosts().every((item) => item.catalogue.isCurrent()))
  t.pass()
})

test.serial('a key withdrawal spreads by membership gossip alone', async (t) => {
  const network = await startNetwork(t)
  const [informedRelay] = relaysOf(storeRegion, network.allHosts()[0]?.members.workers() ?? [])
  network.faults.isLost = (_from, _to, message) => isCatalogueMessage(message)
  network.faults.canReachStore = (from) => from === informedRelay?.id
  // Fetching the catalogue from a host that knows of the withdrawal fails, too, since it is a catalogue message.
  await network.applyCatalogue(createCatalogue(true))
  const tookMs = await network.waitUntil(() => network.allHosts().every((item) => item.catalogue.isWithdrawn(KEY)))
  const outdated = network.allHosts().filter((item) => item.catalogue.current()?.key(KEY)?.withdrawn === false)
  t.is(outdated.length, HOSTS - 1)
  t.log(`withdrawn on the last of ${HOSTS} hosts after ${tookMs} ms`)
})

test.serial('a key withdrawal spreads by the catalogue alone, and watchers of the key are notified', async (t) => {
  const network = await startNetwork(t)
  network.faults.isLost = (_from, _to, message) => message.kind === PeerMessageKind.MembershipGossip
  let notified = 0
  for (const item of network.allHosts()) {
    item.catalogue.watchKey(KEY, () => {
      notified += 1
    })
  }
  await network.applyCatalogue(createCatalogue(true))
  const tookMs = await network.waitUntil(() => network.allHosts().every((item) => item.catalogue.isWithdrawn(KEY)))
  t.is(notified, HOSTS)
  t.log(`withdrawn on the last of ${HOSTS} hosts after ${tookMs} ms`)
})

test.serial('an isolated host loses its proof and regains it only with the current revision', async (t) => {
  const network = await startNetwork(t)
  const nonRelay = network.allHosts().find((item) => !isRelay(item)) as NetworkHost
  network.faults.isLost = (from, to) => from === nonRelay.host.id || to === nonRelay.host.id
  network.faults.canReachStore = (from) => from !== nonRelay.host.id
  const accepted = await network.applyCatalogue(createCatalogue(true))
  const tookMs = await network.waitUntil(() => !nonRelay.catalogue.isCurrent())
  t.log(`isolated ${tookMs} ms after the change, a proof is valid for ${PROOF_VALIDITY_MS} ms`)
  t.true(revisionOf(nonRelay) < accepted)
  network.faults.isLost = () => false
  await network.waitUntil(() => nonRelay.catalogue.isCurrent())
  t.is(revisionOf(nonRelay), accepted)
})

test.serial('an isolated relay of the store region does not take its isolation for a store outage, even when it considers other hosts dead', async (t) => {
  const network = await startNetwork(t)
  const isolatedRelay = network.allHosts().find((item) => item.host.region === storeRegion && isRelay(item)) as NetworkHost
  network.faults.isLost = (from, to) => from === isolatedRelay.host.id || to === isolatedRelay.host.id
  network.faults.canReachStore = (from) => from !== isolatedRelay.host.id
  await network.waitUntil(() => !isolatedRelay.catalogue.isCurrent())
  await network.waitUntil(() => isolatedRelay.members.workers().length < HOSTS)
  for (let sample = 0; sample < 30; sample++) {
    await new Promise((resolve) => setTimeout(resolve, 100))
    t.false(isolatedRelay.catalogue.isCurrent())
  }
})

test.serial('a host that knows of a revision but cannot fetch it loses its proof', async (t) => {
  const network = await startNetwork(t)
  const nonRelay = network.allHosts().find((item) => !isRelay(item)) as NetworkHost
  network.faults.isLost = (from, _to, message) => from === nonRelay.host.id && (message.kind === PeerMessageKind.FetchCatalogue || message.kind === PeerMessageKind.FetchCatalogueParts)
  network.faults.canReachStore = (from) => from !== nonRelay.host.id
  const accepted = await network.applyCatalogue(createCatalogue(false, 2))
  await network.waitUntil(() => !nonRelay.catalogue.isCurrent())
  t.true(revisionOf(nonRelay) < accepted)
})

test.serial('hosts stay current while the store is down for all; a region that is cut off is the only one isolated', async (t) => {
  const network = await startNetwork(t)
  const cutRegion = hosts.find((host) => host.region !== storeRegion)?.region
  network.store.faults.down = true
  await new Promise((resolve) => setTimeout(resolve, 2 * PROOF_VALIDITY_MS))
  await network.waitUntil(() => network.allHosts().every((item) => item.catalogue.isCurrent()))
  network.faults.canReachStore = (from) => network.hosts.get(from)?.host.region !== cutRegion
  network.faults.isLost = (from, to) => (network.hosts.get(from)?.host.region === cutRegion) !== (network.hosts.get(to)?.host.region === cutRegion)
  await network.waitUntil(() => network.allHosts().every((item) => item.catalogue.isCurrent() === (item.host.region !== cutRegion)))
  t.pass()
})
