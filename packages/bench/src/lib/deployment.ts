import { hashKey, EntryKind, FencingSupport, IsolationPolicy, WorkClass } from '@cyclamenthread/state'
import { CatalogueStore, HttpObjectStore } from '@cyclamenthread/protocol'
import { BookingStandin, EngineStandin, PlatformStandin, StoreStandin } from '@cyclamenthread/standins'
import { deadlineAfter } from '@cyclamenthread/transport'
import { findFreePorts } from './free-ports.js'
import type { Catalogue, Endpoint, Entry, Key } from '@cyclamenthread/state'
import type { PlatformHost } from '@cyclamenthread/protocol'
import type { DeploymentPlan, DomainPlan } from './deployment-plan.js'
import type { HostEnvironment, ServiceHost } from './service-host.js'

/** Cluster secret of test deployments. */
const CLUSTER_SECRET = 'secret-of-a-test-deployment'

/** Token that proves an operator to the hosts of test deployments. */
export const OPERATOR_TOKEN = 'operator-of-a-test-deployment'

/** Longest the catalogue may take to reach the store, in milliseconds. */
const APPLY_TIMEOUT_MS = 10_000

/** Longest all hosts may take to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 30_000

/** Salt of the keys of test deployments. */
const KEY_SALT = '00112233445566778899aabbccddeeff'

/** Workspaces of test deployments and the bearer tokens of their keys. */
export const TEST_WORKSPACES = ['desk', 'training', 'festival'] as const

/**
 * The bearer token of a test workspace.
 *
 * @example
 * tokenOf('desk')
 */
export function bearerTokenFor (workspace: string): string {
  return `${workspace}-key_secret-of-${workspace}`
}

/** Starts one host with its settings. */
export type HostStarter = (environment: HostEnvironment) => Promise<ServiceHost>

/** Addresses of one host before it starts. */
interface HostPlan {
  readonly host: PlatformHost
  readonly environment: HostEnvironment
}

/**
 * A whole deployment on loopback: stand-ins in this process, hosts of the
 * service as the starter makes them.
 */
export class Deployment {
  readonly plan: DeploymentPlan
  readonly store: StoreStandin
  readonly platform = new PlatformStandin()
  readonly engines: EngineStandin[] = []
  readonly bookings: BookingStandin[] = []
  readonly hosts: ServiceHost[] = []
  /** Base URLs for callers, in the order of the hosts. */
  readonly urls: string[] = []
  readonly #startHost: HostStarter
  readonly #endpoints = new Map<EntryKind, Endpoint[]>([[EntryKind.Model, []], [EntryKind.Service, []]])

  constructor (plan: DeploymentPlan, starter: HostStarter, random: () => number = Math.random) {
    this.plan = plan
    this.#startHost = starter
    this.store = new StoreStandin(random)
  }

  /** Starts everything and waits until every host is ready. */
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

  /** Ends everything. */
  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async (host) => await host.kill()))
    await Promise.all([...this.engines, ...this.bookings].map(async (endpoint) => await endpoint.close()))
    await this.platform.close()
    await this.store.close()
  }

  /** The catalogue of the deployment. */
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

  /** Puts a catalogue in force, as the command line would. */
  async applyCatalogue (catalogue: Catalogue): Promise<number> {
    const store = new HttpObjectStore(this.storeUrl)
    const catalogueStore = new CatalogueStore(store)
    const deadline = deadlineAfter(APPLY_TIMEOUT_MS)
    const current = await catalogueStore.read(deadline)
    if (!current.ok) throw new Error('the store stand-in can\'t be read')
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
        if (Date.now() > until) throw new Error(`${url} did not become ready`)
        await new Promise((resolve) => setTimeout(resolve, 50))
      }
    }
  }
}
