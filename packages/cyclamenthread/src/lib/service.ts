import { ServiceBroker } from 'moleculer'
import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client'
import {
  announceLeave, BatchTask, RateLimitedStore, CapacityTask, CatalogueTask, CellRouter, CompletionRunner, DecisionArchive,
  DecisionLog, DispatcherTask, DomainLeaderTask, JournalTask, LedgerClient, LedgerTask, LimitTask, MemberTask, MessageBus, QuarantineTask, ServiceRunner,
  UsageTask, WriteBehind
} from '@cyclamenthread/coordination'
import { EndpointClient, HttpObjectStore, PlatformClient } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { Gateway } from './gateway.js'
import { registerOperatorMetrics } from './operator-metrics.js'
import { toHostSettings } from './settings.js'
import type { BatchCounters, BatchPolicy, HostSettings } from '@cyclamenthread/coordination'
import type { ServiceSettings } from './settings.js'

/** Maximum time to wait for other hosts to acknowledge the departure of this host, in milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 5_000

/** Options for experiments that compare scheduling policies; not available as settings or flags. */
export interface ServiceOptions {
  readonly batchPolicy?: BatchPolicy
}

/**
 * One process of the service: all roles that a host can take, connected by a
 * broker without a transporter.
 *
 * @example
 * const service = new Service(settings)
 * await service.start()
 * await service.drain()
 */
export class Service {
  readonly #settings: ServiceSettings
  readonly #hostSettings: HostSettings
  readonly #broker: ServiceBroker
  readonly #store: HttpObjectStore
  readonly #budgetedStore: RateLimitedStore
  readonly #platform: PlatformClient
  readonly #endpoints = new EndpointClient()
  readonly #registry = new Registry()
  readonly #bus: MessageBus
  readonly #members: MemberTask
  readonly #catalogue: CatalogueTask
  readonly #decisions: DecisionLog
  readonly #archive: DecisionArchive
  readonly #dispatcher: DispatcherTask
  readonly #limits: LimitTask
  readonly #quarantine: QuarantineTask
  readonly #router: CellRouter
  readonly #ledger: LedgerTask
  readonly #batches: BatchTask
  readonly #usage: UsageTask
  readonly #writeBehind: WriteBehind
  readonly #journal: JournalTask
  readonly #domains: DomainLeaderTask
  readonly #capacity: CapacityTask
  readonly #gateway: Gateway
  #draining: Promise<void> | undefined
  #resolveDrained: () => void = () => {}
  /** Resolves when a graceful shutdown is complete, regardless of what started it. */
  readonly whenDrained = new Promise<void>((resolve) => {
    this.#resolveDrained = resolve
  })

  constructor (settings: ServiceSettings, options: ServiceOptions = {}) {
    this.#settings = settings
    this.#hostSettings = toHostSettings(settings)
    this.#broker = new ServiceBroker({
      nodeID: settings.hostId,
      logger: false,
      tracing: false,
      metrics: false,
      // Otherwise the broker would exit the process on the first signal, without draining.
      skipProcessEventRegistration: true
    })
    this.#store = new HttpObjectStore(settings.storeUrl)
    this.#platform = new PlatformClient(settings.platformUrl)
    this.#bus = new MessageBus(this.#hostSettings, this.#broker)
    this.#members = new MemberTask(this.#hostSettings, this.#platform, async (host, message) => await this.#bus.post(host, message))
    this.#bus.onSilence((hostId) => this.#members.reportSilence(hostId))
    this.#budgetedStore = new RateLimitedStore({
      store: this.#store,
      allowance: { writesPerSecond: settings.storeWritesPerSecond, readsPerSecond: settings.storeReadsPerSecond },
      share: () => ({ hosts: this.#members.workers().length, ownedPartitions: this.#ledger?.ownedPartitions().length ?? 0, partitions: settings.ledgerPartitions })
    })
    this.#catalogue = new CatalogueTask({
      settings: this.#hostSettings,
      store: this.#budgetedStore,
      members: this.#members,
      send: async (host, message, options) => await this.#bus.send(host, message, options),
      post: async (host, message) => await this.#bus.post(host, message)
    })
    this.#decisions = new DecisionLog(this.#hostSettings)
    this.#dispatcher = new DispatcherTask(this.#hostSettings, this.#members, this.#catalogue, this.#decisions, this.#bus, this.#endpoints)
    this.#limits = new LimitTask(this.#hostSettings, this.#members, this.#catalogue, this.#bus)
    this.#quarantine = new QuarantineTask(this.#hostSettings, this.#members, this.#bus)
    this.#router = new CellRouter(this.#hostSettings, this.#members, this.#catalogue, this.#bus, this.#limits, this.#quarantine)
    this.#ledger = new LedgerTask(this.#hostSettings, this.#members, this.#budgetedStore)
    const completions = new CompletionRunner(this.#router, this.#endpoints, this.#quarantine)
    const ledger = new LedgerClient(this.#hostSettings, this.#members, this.#bus)
    this.#journal = new JournalTask(this.#hostSettings, { members: this.#members, bus: this.#bus, ledger })
    this.#writeBehind = new WriteBehind(ledger, { journal: this.#journal, usageWindowMs: settings.usageWindowMs })
    this.#batches = new BatchTask(this.#ledger, {
      catalogue: this.#catalogue,
      runner: completions,
      endpoints: this.#endpoints,
      slots: this.#router,
      ...(options.batchPolicy === undefined ? {} : { policy: options.batchPolicy })
    })
    this.#archive = new DecisionArchive(this.#hostSettings, { log: this.#decisions, members: this.#members, bus: this.#bus, ledger, writeBehind: this.#writeBehind })
    this.#usage = new UsageTask(this.#hostSettings, {
      members: this.#members,
      advancePartition: async (partition) => await this.#ledger.advanceWindow(partition),
      store: this.#budgetedStore,
      platform: this.#platform
    })
    const leaderContext = { members: this.#members, catalogue: this.#catalogue, store: this.#budgetedStore, endpoints: this.#endpoints }
    this.#domains = new DomainLeaderTask(this.#hostSettings, settings, leaderContext)
    this.#capacity = new CapacityTask(this.#hostSettings, settings, { ...leaderContext, bus: this.#bus, platform: this.#platform })
    this.#gateway = new Gateway({
      settings,
      catalogue: this.#catalogue,
      keys: this.#catalogue,
      members: this.#members,
      bus: this.#bus,
      ledger,
      completions,
      services: new ServiceRunner({ router: this.#router, endpoints: this.#endpoints, ledger, writeBehind: this.#writeBehind }),
      writeBehind: this.#writeBehind,
      decisions: this.#decisions,
      registry: this.#registry,
      leave: () => {
        void this.drain()
      }
    })
    this.#registerMetrics()
    registerOperatorMetrics(this.#registry, { catalogue: this.#catalogue, members: this.#members, usage: this.#usage })
  }

  /** Starts all tasks; the gateway starts listening for callers last. */
  async start (): Promise<void> {
    this.#broker.createService(this.#members.service(() => this.#catalogue.current()?.revision ?? 0))
    this.#broker.createService(this.#catalogue.service())
    this.#broker.createService(this.#decisions.service())
    this.#broker.createService(this.#archive.service())
    this.#broker.createService(this.#journal.service())
    this.#broker.createService(this.#dispatcher.service())
    this.#broker.createService(this.#router.service())
    this.#broker.createService(this.#limits.service())
    this.#broker.createService(this.#quarantine.service())
    this.#broker.createService(this.#ledger.service())
    this.#broker.createService(this.#batches.service())
    await this.#broker.start()
    await this.#bus.start()
    await this.#members.start()
    await this.#catalogue.start()
    await this.#dispatcher.start()
    await this.#ledger.start()
    await this.#limits.start()
    await this.#router.start()
    await this.#batches.start()
    await this.#usage.start()
    await this.#domains.start()
    await this.#capacity.start()
    await this.#archive.start()
    await this.#journal.start()
    this.#broker.createService(this.#gateway.service())
    await this.#broker.waitForServices('gateway')
  }

  /** Number of samples in this host's batches, by outcome. */
  get sampleCounters (): BatchCounters {
    return this.#batches.counters
  }

  /** Shuts down gracefully: waits for running requests, up to the drain timeout. Further calls wait for the first one. */
  async drain (): Promise<void> {
    this.#draining ??= this.#drain()
    await this.#draining
  }

  async #drain (): Promise<void> {
    await announceLeave(this.#members, this.#bus, deadlineAfter(ANNOUNCE_TIMEOUT_MS))
    // Callers may use an address that they received just before until its `notAfter`.
    await new Promise((resolve) => setTimeout(resolve, this.#settings.addressTtlMs))
    const timeout = new Promise((resolve) => setTimeout(resolve, this.#settings.drainTimeoutMs).unref())
    await Promise.race([this.#gateway.waitUntilDrained(), timeout])
    await this.#writeBehind.drain(deadlineAfter(this.#settings.drainTimeoutMs))
    await this.stop()
    this.#resolveDrained()
  }

  /** Stops immediately, without waiting for running requests. */
  async stop (): Promise<void> {
    await this.#batches.stop()
    await this.#capacity.stop()
    await this.#domains.stop()
    await this.#journal.stop()
    await this.#archive.stop()
    await this.#usage.stop()
    await this.#router.stop()
    await this.#limits.stop()
    await this.#ledger.stop()
    await this.#dispatcher.stop()
    await this.#catalogue.stop()
    await this.#members.stop()
    await this.#broker.stop()
    await this.#bus.stop()
    await this.#endpoints.close()
    await this.#platform.close()
    await this.#store.close()
  }

  #registerMetrics (): void {
    const registers = [this.#registry]
    collectDefaultMetrics({ register: this.#registry })
    const { bus, store, batches, gateway } = { bus: this.#bus, store: this.#store, batches: this.#batches, gateway: this.#gateway }
    const control = new Gauge({
      name: 'cyclamenthread_control_bytes',
      help: 'Bytes of control traffic between hosts since the start of the process.',
      labelNames: ['direction'],
      registers,
      collect () {
        control.set({ direction: 'received' }, bus.controlBytes.received)
        control.set({ direction: 'sent' }, bus.controlBytes.sent)
      }
    })
    const calls = new Gauge({
      name: 'cyclamenthread_store_calls',
      help: 'Calls of the object service since the start of the process, by purpose.',
      labelNames: ['purpose'],
      registers,
      collect () { for (const [purpose, count] of Object.entries(store.calls)) calls.set({ purpose }, count) }
    })
    const samples = new Gauge({
      name: 'cyclamenthread_samples',
      help: 'Samples of batches since the start of the process, by what became of them.',
      labelNames: ['outcome'],
      registers,
      collect () { for (const [outcome, count] of Object.entries(batches.counters)) samples.set({ outcome }, count) }
    })
    const running = new Gauge({
      name: 'cyclamenthread_running_requests',
      help: 'Requests of callers that run now.',
      registers,
      collect () { running.set(gateway.running) }
    })
    const starts = new Counter({ name: 'cyclamenthread_starts_total', help: 'Starts of this process.', registers })
    starts.inc()
  }
}
