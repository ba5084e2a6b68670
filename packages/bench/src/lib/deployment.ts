import { hashKey, EntryKind, FencingSupport, IsolationPolicy, WorkClass } from '@cyclamenthread/state'
import { CatalogueStore, HttpObjectStore } from '@cyclamenthread/protocol'
import { BookingStandin, EngineStandin, PlatformStandin, StoreStandin } from '@cyclamenthread/standins'
import { deadlineAfter } from '@cyclamenthread/transport'
import { findFreePorts } from './free-ports.js'
import type { Catalogue, Endpoint, Entry, Key } from '@cyclamenthread/state'
import type { PlatformHost } from '@cyclamenthread/protocol'
import type { DeploymentPlan, DomainPlan } from './deployment-plan.js'
import type { HostEnvironment, ServiceHost } from './service-host.js'

/** Cluster secret of test deployments; not a real secret. */
const CLUSTER_SECRET = 'secret-of-a-test-deployment'

/** Operator token of test deployments; not a real secret. */
export const OPERATOR_TOKEN = 'operator-of-a-test-deployment'

/** Timeout for writing the catalogue to the store, in milliseconds. */
const APPLY_TIMEOUT_MS = 10_000

/** Time by which all hosts must be ready, in milliseconds. */
const READY_TIMEOUT_MS = 30_000

/** Salt of the API key hashes. */
const KEY_SALT = '00112233445566778899aabbccddeeff'

/** Workspaces of test deployments; each has one key, see {@link bearerTokenFor}. */
export const TEST_WORKSPACES = ['desk', 'training', 'festival'] as const

/**
 * Returns the bearer token of a test workspace.
 *
 * @example
 * bearerTokenFor('desk') // 'desk-key_secret-of-desk'
 */
export function bearerTokenFor (workspace: string): string {
  return `${workspace}-key_secret-of-${workspace}`
}

/** Starts a host with the given settings, in this process or in its own. */
export type HostStarter = (environment: HostEnvironment) => Promise<ServiceHost>

/** Listing and settings of a host that has not started yet. */
interface HostPlan {
  readonly host: PlatformHost
  readonly environment: HostEnvironment
}

/**
 * A complete deployment on loopback. The stand-ins run in this process; the
 * host starter decides where the hosts run.
 */
export class Deployment {
  readonly plan: DeploymentPlan
  readonly store: StoreStandin
  readonly platform = new PlatformStandin()
  readonly engines: EngineStandin[] = []
  readonly bookings: BookingStandin[] = []
  readonly hosts: ServiceHost[] = []
  /** Base URLs for callers, in the order of `hosts`. */
  readonly urls: string[] = []
  readonly #startHost: HostStarter
  readonly #endpoints = new Map<EntryKind, Endpoint[]>([[EntryKind.Model, []], [EntryKind.Service, []]])

  constructor (plan: DeploymentPlan, starter: HostStarter, random: () => number = Math.random) {
    this.plan = plan
    this.#startHost = starter
    this.store = new StoreStandin(random)
  }

  /** Starts the stand-ins, applies the catalogue, starts the hosts and waits until all are ready. */
  async start (): Promise<void> {
    await this.store.listen()
    await this.platform.listen()
    for (const domain of this.plan.domains) await this.#startEndpoints(domain)
    await this.applyCatalogue(this.buildCatalogue())
    const plans = await this.#createHostPlans()
    this.platform.hosts = plans.map((plan) => plan.host)
    this.hosts.push(...await Promise.all(plans.map(async (plan) => await this.#startHost(plan.environment))))
    this.urls.push(...plans.map((plan) => plan.host.callerUrl))
    await this.#waitUntilReady()
  }

  /** Kills the hosts and closes the stand-ins. */
  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async (host) => await host.kill()))
    await Promise.all([...this.engines, ...this.bookings].map(async (endpoint) => await endpoint.close()))
    await this.platform.close()
    await this.store.close()
  }

  /** Builds the catalogue of the deployment: four entries, two pools and a key per workspace. */
  buildCatalogue (): Catalogue {
    const common = { owner: 'test', limits: {}, open: false, idempotentMethods: ['GET' as const, 'HEAD' as const], whenIsolated: IsolationPolicy.Refuse, timeoutMs: 30_000 }
    const entries: Entry[] = [
      { ...common, name: 'critique', kind: EntryKind.Model, class: WorkClass.Training, pool: 'engines', stalenessBound: this.plan.stalenessBound ?? 2 },
      { ...common, name: 'answers', kind: EntryKind.Model, class: WorkClass.Interactive, pool: 'engines' },
      { ...common, name: 'pitches', kind: EntryKind.Service, class: WorkClass.Booking, pool: 'bookings' },
      { ...common, name: 'squares', kind: EntryKind.Service, class: WorkClass.Booking, pool: 'bookings', open: true }
    ]
    return {
      workspaces: TEST_WORKSPACES.map((name) => ({ name, owner: 'test', weight: 1, limits: {} })),
      keys: TEST_WORKSPACES.map((name): Key => ({ id: `${name}-key`, workspace: name, salt: KEY_SALT, hash: hashKey(KEY_SALT, bearerTokenFor(name)), withdrawn: false })),
      entries,
      pools: [
        { name: 'engines', kind: EntryKind.Model, endpoints: this.#endpoints.get(EntryKind.Model) ?? [], capacity: [...this.plan.capacity ?? []] },
        { name: 'bookings', kind: EntryKind.Service, endpoints: this.#endpoints.get(EntryKind.Service) ?? [], capacity: [] }
      ]
    }
  }

  /** Applies a catalogue as `cyclamenctl apply` does; returns the accepted revision, or 0 if there is none. */
  async applyCatalogue (catalogue: Catalogue): Promise<number> {
    const store = new HttpObjectStore(this.storeUrl)
    const catalogueStore = new CatalogueStore(store)
    const deadline = deadlineAfter(APPLY_TIMEOUT_MS)
    const current = await catalogueStore.read(deadline)
    if (!current.ok) throw new Error('reading the catalogue from the store stand-in failed')
    const outcome = await catalogueStore.apply(catalogue, current.value, deadline)
    await store.close()
    return outcome.revision ?? 0
  }

  /** Base URL of the store stand-in. */
  get storeUrl (): string {
    return this.store.url
  }

  async #startEndpoints (domain: DomainPlan): Promise<void> {
    for (let index = 0; index < domain.engines; index++) {
      const engine = new EngineStandin({ slots: this.plan.slotsPerEngine, tokenMs: this.plan.tokenMs, prefillMs: 0, checksFencing: true, ...this.plan.engine })
      this.engines.push(engine)
      this.#addEndpoint(EntryKind.Model, domain, `engine-${domain.name}-${index}`, await engine.listen(), this.plan.slotsPerEngine)
    }
    for (let index = 0; index < domain.bookingEndpoints; index++) {
      const booking = new BookingStandin()
      this.bookings.push(booking)
      this.#addEndpoint(EntryKind.Service, domain, `booking-${domain.name}-${index}`, await booking.listen(), this.plan.slotsPerEngine)
    }
  }

  #addEndpoint (kind: EntryKind, domain: DomainPlan, id: string, url: string, slots: number): void {
    this.#endpoints.get(kind)?.push({ id, url, region: domain.region, failureDomain: domain.name, slots, cheap: false, fencing: FencingSupport.Checked })
  }

  async #createHostPlans (): Promise<HostPlan[]> {
    const total = this.plan.domains.reduce((sum, domain) => sum + domain.hosts, 0)
    const ports = await findFreePorts(2 * total)
    return this.plan.domains.flatMap((domain) => Array.from({ length: domain.hosts }, (_, index): HostPlan => {
      return this.#createHostPlan(domain, `host-${domain.name}-${index}`, ports.pop() ?? 0, ports.pop() ?? 0)
    }))
  }

  #createHostPlan (domain: DomainPlan, id: string, peerPort: number, callerPort: number): HostPlan {
    const host: PlatformHost = {
      id,
      region: domain.region,
      failureDomain: domain.name,
      peerAddress: `127.0.0.1:${peerPort}`,
      callerUrl: `http://127.0.0.1:${callerPort}`,
      hasDataFolder: false,
      leaving: false
    }
    const environment: HostEnvironment = {
      CYCLAMENTHREAD_HOST_ID: id,
      CYCLAMENTHREAD_REGION: domain.region,
      CYCLAMENTHREAD_FAILURE_DOMAIN: domain.name,
      CYCLAMENTHREAD_CALLER_ADDRESS: `127.0.0.1:${callerPort}`,
      CYCLAMENTHREAD_PEER_ADDRESS: host.peerAddress,
      CYCLAMENTHREAD_STORE_URL: this.storeUrl,
      CYCLAMENTHREAD_STORE_REGION: this.plan.domains[0]?.region ?? '',
      CYCLAMENTHREAD_PLATFORM_URL: this.platform.url,
      CYCLAMENTHREAD_CLUSTER_SECRET: CLUSTER_SECRET,
      CYCLAMENTHREAD_OPERATOR_TOKEN: OPERATOR_TOKEN,
      CYCLAMENTHREAD_LEDGER_PARTITIONS: String(this.plan.ledgerPartitions),
      CYCLAMENTHREAD_USAGE_WINDOW_MS: String(this.plan.usageWindowMs),
      CYCLAMENTHREAD_ADDRESS_TTL_MS: String(this.plan.addressTtlMs),
      CYCLAMENTHREAD_LEASE_MS: '5000',
      ...this.plan.environment
    }
    return { host, environment }
  }

  async #waitUntilReady (): Promise<void> {
    const until = Date.now() + READY_TIMEOUT_MS
    for (const url of this.urls) {
      while (!await fetch(`${url}/readyz`).then((response) => response.ok, () => false)) {
        if (Date.now() > until) throw new Error(`${url} was not ready in time`)
        await new Promise((resolve) => setTimeout(resolve, 50))
      }
    }
  }
}
