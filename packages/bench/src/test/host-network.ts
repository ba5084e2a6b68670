import { failure } from '@cyclamenthread/state'
import { CatalogueTask, MemberTask } from '@cyclamenthread/coordination'
import { CatalogueStore, HttpObjectStore, PlatformClient, StoreFailure, WriteStatus } from '@cyclamenthread/protocol'
import { PlatformStandin, StoreStandin } from '@cyclamenthread/standins'
import { deadlineAfter, PeerFailure } from '@cyclamenthread/transport'
import type { Catalogue, Host } from '@cyclamenthread/state'
import type { HostSettings } from '@cyclamenthread/coordination'
import type { ObjectStore, PeerMessage, StoreCall } from '@cyclamenthread/protocol'

/** Broker actions of one host's tasks, by full name. */
type Actions = Readonly<Record<string, (context: { params: unknown, meta: unknown }) => Promise<unknown>>>

/** The member and catalogue tasks of one host; messages between hosts are delivered in process. */
export interface NetworkHost {
  readonly host: Host
  readonly members: MemberTask
  readonly catalogue: CatalogueTask
  readonly store: HttpObjectStore
  readonly actions: Actions
}

/** Faults of the network between hosts (`isLost`) and between a host and the store (`canReachStore`). */
export interface HostFaults {
  isLost: (from: string, to: string, message: PeerMessage) => boolean
  canReachStore: (from: string) => boolean
}

/** The member and catalogue tasks of several hosts with one store stand-in and a network that can fail. */
export class HostNetwork {
  readonly store = new StoreStandin()
  readonly platform = new PlatformStandin()
  readonly faults: HostFaults = { isLost: () => false, canReachStore: () => true }
  readonly hosts = new Map<string, NetworkHost>()
  /** Ids of the hosts that have watched the store. */
  readonly watchers = new Set<string>()
  #clients: Array<{ close (): Promise<void> }> = []

  /** Starts the tasks of the given hosts; the store is in the region of the first. */
  async start (hosts: readonly Host[], catalogue: Catalogue): Promise<void> {
    await this.store.listen()
    await this.platform.listen()
    this.platform.hosts = hosts.map((host) => ({ ...host, leaving: false }))
    await this.applyCatalogue(catalogue)
    const settings = { hostListPeriodMs: 500, storeTimeoutMs: 1_000, storeRegion: hosts[0]?.region ?? '', clusterSecret: '', ledgerPartitions: 1, usageWindowMs: 1_000, leaseMs: 1_000, summaryPeriodMs: 1_000, cellQueueLimit: 1, storeWritesPerSecond: 100, storeReadsPerSecond: 100, answerRetentionMs: 1_000, claimRetentionMs: 1_000 }
    for (const host of hosts) this.hosts.set(host.id, this.#create(host, { ...settings, self: host, incarnation: host.id }))
    await Promise.all([...this.hosts.values()].map(async (item) => await item.members.start()))
    await Promise.all([...this.hosts.values()].map(async (item) => await item.catalogue.start()))
  }

  async stop (): Promise<void> {
    for (const item of this.hosts.values()) {
      await item.catalogue.stop()
      await item.members.stop()
    }
    await Promise.all(this.#clients.map(async (client) => await client.close()))
    await this.platform.close()
    await this.store.close()
  }

  /** Applies a catalogue as `cyclamenctl apply` does; returns the accepted revision, or 0 if there is none. */
  async applyCatalogue (catalogue: Catalogue): Promise<number> {
    const store = new HttpObjectStore(this.store.url)
    const catalogues = new CatalogueStore(store)
    const planned = await catalogues.read(deadlineAfter(10_000))
    const outcome = await catalogues.apply(catalogue, planned.ok ? planned.value : undefined, deadlineAfter(10_000))
    await store.close()
    return outcome.revision ?? 0
  }

  /** Waits without a timeout until a condition holds; returns the time it took, in milliseconds. */
  async waitUntil (condition: () => boolean): Promise<number> {
    const start = performance.now()
    while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10))
    return Math.round(performance.now() - start)
  }

  allHosts (): NetworkHost[] {
    return [...this.hosts.values()]
  }

  #create (host: Host, settings: HostSettings): NetworkHost {
    const store = new HttpObjectStore(this.store.url)
    const platform = new PlatformClient(this.platform.url)
    this.#clients.push(store, platform)
    const post = async (to: Host, message: PeerMessage): Promise<void> => {
      await this.#deliver(host.id, to.id, message)
    }
    const send: ConstructorParameters<typeof CatalogueTask>[0]['send'] = async (to, message) => {
      const body = await this.#deliver(host.id, to.id, message)
      return body === undefined ? failure(PeerFailure.NoReply) : { ok: true, value: body as never }
    }
    const members = new MemberTask(settings, platform, post)
    const catalogue = new CatalogueTask({ settings, store: this.#wrapStore(host.id, store), members, send, post })
    const services = [members.service(() => 0), catalogue.service()]
    const actions = Object.assign({}, ...services.map((service) => Object.fromEntries(Object.entries(service.actions ?? {}).map(([name, action]) => [`${service.name}.${name}`, action])))) as Actions
    return { host, members, catalogue, store, actions }
  }

  async #deliver (from: string, to: string, message: PeerMessage): Promise<unknown> {
    await new Promise((resolve) => setTimeout(resolve, 1))
    if (this.faults.isLost(from, to, message)) return undefined
    const copy: unknown = structuredClone(message)
    return await this.hosts.get(to)?.actions[message.kind]?.({ params: copy, meta: { from } })
  }

  /** Wraps the store so that a host's calls fail while `canReachStore` is false. */
  #wrapStore (hostId: string, store: ObjectStore): ObjectStore {
    const isReachable = (): boolean => this.faults.canReachStore(hostId)
    return {
      read: async (key, call) => isReachable() ? await store.read(key, call) : failure(StoreFailure.Unavailable),
      list: async (prefix, call) => isReachable() ? await store.list(prefix, call) : failure(StoreFailure.Unavailable),
      watch: async (prefix: string, after: string, call: StoreCall) => {
        this.watchers.add(hostId)
        return isReachable() ? await store.watch(prefix, after, call) : failure(StoreFailure.Unavailable)
      },
      write: async (key, value, expectation, call) => isReachable() ? await store.write(key, value, expectation, call) : { status: WriteStatus.NotWritten, detail: 'store not reachable' },
      remove: async (key, version, call) => isReachable() ? await store.remove(key, version, call) : { status: WriteStatus.NotWritten, detail: 'store not reachable' }
    }
  }
}
