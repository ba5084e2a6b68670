import { CatalogueView, EntryKind, FencingSupport, IsolationPolicy, WorkClass } from '@cyclamenthread/state'
import { CellRouter, CompletionRunner, DispatcherTask, LimitTask, MessageBus, QuarantineTask } from '@cyclamenthread/coordination'
import { EndpointClient } from '@cyclamenthread/protocol'
import { EngineStandin } from '@cyclamenthread/standins'
import { monotonicNow } from '@cyclamenthread/transport'
import { ServiceBroker } from 'moleculer'
import { findFreePorts } from './free-ports.js'
import { seededRandom } from './random.js'
import { StaticCatalogue, StaticMembers } from './static-views.js'
import type { Decision, Endpoint, Entry, Host, Limits, Workspace } from '@cyclamenthread/state'
import type { CatalogueSource, HostSettings, LimitResult, LimitRequest, SlotSource } from '@cyclamenthread/coordination'

/** Cluster secret of the experiment's hosts; not a real secret. */
const CLUSTER_SECRET = 'secret-of-an-experiment'

/** Name of the engine pool. */
export const ENGINE_POOL = 'engines'

/** Failure domains with the same hosts and engines as the `EIGHT_HOSTS` deployment. */
const DOMAINS = [
  { name: 'leith-walk', region: 'lothian', hosts: 3, engines: 3 },
  { name: 'grassmarket', region: 'lothian', hosts: 3, engines: 3 },
  { name: 'castlegate', region: 'grampian', hosts: 2, engines: 2 }
] as const

/** Size and settings of a dispatch cluster. */
export interface DispatchClusterPlan {
  readonly seed: number
  readonly slotsPerEngine: number
  readonly tokenMs: number
  readonly workspaces: readonly Workspace[]
  readonly entryLimits?: Limits
  /** Creates the endpoint client of a host; an `EndpointClient` if absent. */
  readonly endpointClient?: () => EndpointClient
  /** Whether gateways report their held slots to a new owner of a cell; true if absent. */
  readonly reportsHeldSlots?: boolean
}

/** The dispatch tasks of one host. */
export interface DispatchHost {
  readonly host: Host
  readonly bus: MessageBus
  readonly members: StaticMembers
  readonly endpoints: EndpointClient
  readonly router: CellRouter
  readonly quarantine: QuarantineTask
  readonly completions: CompletionRunner
  /** Creates a completion runner with another slot source, for baselines. */
  createRunner (source: SlotSource): CompletionRunner
  stop (): Promise<void>
}

/**
 * Eight hosts and eight engines in one process. The hosts run the service's own
 * dispatch tasks and communicate over loopback; there is no store and no ledger.
 */
export class DispatchCluster {
  readonly plan: DispatchClusterPlan
  readonly engines: EngineStandin[] = []
  readonly hosts: DispatchHost[] = []
  readonly decisions: Decision[] = []
  /** Times at which the limit tasks of all hosts admitted a request, in monotonic milliseconds. */
  readonly admissionTimes: number[] = []
  #catalogue: CatalogueSource | undefined
  #entry: Entry | undefined

  constructor (plan: DispatchClusterPlan) {
    this.plan = plan
  }

  /** The only entry of the catalogue. */
  get entry (): Entry {
    if (this.#entry === undefined) throw new Error('the cluster has not started')
    return this.#entry
  }

  /** Total number of slots. */
  get slots (): number {
    return this.engines.length * this.plan.slotsPerEngine
  }

  /** The current catalogue. */
  get catalogueView (): CatalogueView {
    const view = this.#catalogue?.current()
    if (view === undefined) throw new Error('the cluster has not started')
    return view
  }

  /** Returns the endpoints of a pool. */
  endpoints (pool: string): Endpoint[] {
    return this.catalogueView.endpoints(pool)
  }

  async start (): Promise<void> {
    const endpoints = await this.#startEngines()
    const view = this.#buildCatalogueView(endpoints)
    this.#entry = view.entry('answers')
    this.#catalogue = new StaticCatalogue(view)
    const hosts = await createHosts()
    for (const [index, host] of hosts.entries()) this.hosts.push(await this.#startHost(host, hosts, index))
    // A cell opens only after every host has reported the slots it holds.
    await new Promise((resolve) => setTimeout(resolve, 1_500))
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async (host) => await host.stop()))
    await Promise.all(this.engines.map(async (engine) => await engine.close()))
  }

  async #startEngines (): Promise<Endpoint[]> {
    const endpoints: Endpoint[] = []
    const { slotsPerEngine: slots, tokenMs } = this.plan
    for (const domain of DOMAINS) {
      for (let index = 0; index < domain.engines; index++) {
        const engine = new EngineStandin({ slots, tokenMs, prefillMs: 0, checksFencing: true })
        this.engines.push(engine)
        const url = await engine.listen()
        endpoints.push({ id: `engine-${domain.name}-${index}`, url, region: domain.region, failureDomain: domain.name, slots, cheap: false, fencing: FencingSupport.Checked })
      }
    }
    return endpoints
  }

  #buildCatalogueView (endpoints: readonly Endpoint[]): CatalogueView {
    return new CatalogueView(1, {
      workspaces: [...this.plan.workspaces],
      keys: [],
      entries: [{
        name: 'answers',
        owner: 'experiment',
        kind: EntryKind.Model,
        class: WorkClass.Interactive,
        pool: ENGINE_POOL,
        limits: this.plan.entryLimits ?? {},
        open: false,
        idempotentMethods: [],
        whenIsolated: IsolationPolicy.Serve,
        timeoutMs: 60_000
      }],
      pools: [{ name: ENGINE_POOL, kind: EntryKind.Model, endpoints: [...endpoints], capacity: [] }]
    })
  }

  async #startHost (host: Host, hosts: readonly Host[], index: number): Promise<DispatchHost> {
    const catalogue = this.#catalogue
    if (catalogue === undefined) throw new Error('a host needs the catalogue before it starts')
    const settings = createHostSettings(host)
    const broker = new ServiceBroker({ nodeID: host.id, logger: false, tracing: false, metrics: false })
    const bus = new MessageBus(settings, broker)
    const members = new StaticMembers(hosts)
    const endpoints = this.plan.endpointClient?.() ?? new EndpointClient()
    const decisions = { record: (decision: Decision): number => this.decisions.push(decision) }
    const dispatcher = new DispatcherTask(settings, members, catalogue, decisions, bus, endpoints)
    const limits = new RecordingLimitTask(settings, members, catalogue, bus, this.admissionTimes)
    const quarantine = new QuarantineTask(settings, members, bus)
    const router = new CellRouter(settings, members, catalogue, bus, limits, quarantine, seededRandom(this.plan.seed * 1_000 + index))
    const routerService = router.service()
    if (this.plan.reportsHeldSlots === false) Object.assign(routerService.actions ?? {}, { held: async () => ({ slots: [] }) })
    for (const service of [dispatcher.service(), limits.service(), quarantine.service(), routerService]) broker.createService(service)
    await broker.start()
    await bus.start()
    await dispatcher.start()
    await limits.start()
    await router.start()
    return {
      host,
      bus,
      members,
      endpoints,
      router,
      quarantine,
      completions: new CompletionRunner(router, endpoints, quarantine),
      createRunner: (source) => new CompletionRunner(source, endpoints, quarantine),
      stop: async () => {
        await router.stop()
        await limits.stop()
        await dispatcher.stop()
        await broker.stop()
        await bus.stop()
        await endpoints.close()
      }
    }
  }
}

/** Limit task that records when it admits a request. */
class RecordingLimitTask extends LimitTask {
  readonly #admissionTimes: number[]

  constructor (settings: HostSettings, members: StaticMembers, catalogue: CatalogueSource, bus: MessageBus, admissionTimes: number[]) {
    super(settings, members, catalogue, bus)
    this.#admissionTimes = admissionTimes
  }

  override async acquire (request: LimitRequest): Promise<LimitResult> {
    const result = await super.acquire(request)
    if (result.granted) this.#admissionTimes.push(monotonicNow())
    return result
  }
}

async function createHosts (): Promise<Host[]> {
  const ports = await findFreePorts(DOMAINS.reduce((sum, domain) => sum + domain.hosts, 0))
  return DOMAINS.flatMap((domain) => Array.from({ length: domain.hosts }, (_, index): Host => ({
    id: `host-${domain.name}-${index}`,
    region: domain.region,
    failureDomain: domain.name,
    peerAddress: `127.0.0.1:${ports.pop() ?? 0}`,
    callerUrl: 'http://127.0.0.1:1',
    hasDataFolder: false
  })))
}

function createHostSettings (host: Host): HostSettings {
  return {
    self: host,
    incarnation: `life-of-${host.id}`,
    clusterSecret: CLUSTER_SECRET,
    storeRegion: 'lothian',
    ledgerPartitions: 1,
    usageWindowMs: 60_000,
    leaseMs: 10_000,
    storeTimeoutMs: 2_000,
    hostListPeriodMs: 2_000,
    summaryPeriodMs: 500,
    cellQueueLimit: 10_000,
    storeWritesPerSecond: 300,
    storeReadsPerSecond: 2_000,
    answerRetentionMs: 86_400_000,
    claimRetentionMs: 604_800_000
  }
}

/** Creates workspaces `w0`, `w1` and so on with equal weights and no limits. */
export function createEqualWorkspaces (count: number): Workspace[] {
  return Array.from({ length: count }, (_, index) => ({ name: `w${index}`, owner: 'experiment', weight: 1, limits: {} }))
}
