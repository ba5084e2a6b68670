import { ServiceBroker } from 'moleculer'
import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client'
import {
  BatchTask, BudgetedStore, CatalogueTask, CellRouter, CompletionRunner, DecisionArchive, DecisionLog, DispatcherTask, JournalTask, LedgerClient, LedgerTask, MemberTask,
  MessageBus, ServiceRunner, UsageTask, WriteBehind
} from '@cyclamenthread/coordination'
import { EndpointClient, HttpObjectStore, PlatformClient } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { Gateway } from './gateway.js'
import { hostSettings } from './settings.js'
import type { HostSettings } from '@cyclamenthread/coordination'
import type { ServiceSettings } from './settings.js'

/**
 * One process of the service: every role that may fall to a host, wired
 * together over a broker without transporter.
 *
 * @example
 * const service = new Service(settings)
 * await service.start()
 * await service.drain()
 */
export class Service {
  readonly #settings: ServiceSettings
  readonly #host: HostSettings
  readonly #broker: ServiceBroker
  readonly #store: HttpObjectStore
  readonly #budgeted: BudgetedStore
  readonly #platform: PlatformClient
  readonly #endpoints = new EndpointClient()
  readonly #registry = new Registry()
  readonly #bus: MessageBus
  readonly #members: MemberTask
  readonly #catalogue: CatalogueTask
  readonly #decisions: DecisionLog
  readonly #archive: DecisionArchive
  readonly #dispatcher: DispatcherTask
  readonly #router: CellRouter
  readonly #ledger: LedgerTask
  readonly #batches: BatchTask
  readonly #usage: UsageTask
  readonly #behind: WriteBehind
  readonly #journal: JournalTask
  readonly #gateway: Gateway
  #draining: Promise<void> | undefined

  constructor (settings: ServiceSettings) {
    this.#settings = settings
    this.#host = hostSettings(settings)
    this.#broker = new ServiceBroker({ nodeID: settings.hostId, logger: false, tracing: false, metrics: false })
    this.#store = new HttpObjectStore(settings.storeUrl)
    this.#platform = new PlatformClient(settings.platformUrl)
    this.#bus = new MessageBus(this.#host, this.#broker)
    this.#members = new MemberTask(this.#host, this.#platform)
    this.#budgeted = new BudgetedStore({
      store: this.#store,
      allowance: { writesPerSecond: settings.storeWritesPerSecond, readsPerSecond: settings.storeReadsPerSecond },
      share: () => ({ hosts: this.#members.workers().length, ownedPartitions: this.#ledger?.owned().length ?? 0, partitions: settings.ledgerPartitions })
    })
    this.#catalogue = new CatalogueTask(this.#host, this.#budgeted)
    this.#decisions = new DecisionLog(this.#host)
    this.#dispatcher = new DispatcherTask(this.#host, this.#members, this.#catalogue, this.#decisions)
    this.#router = new CellRouter(this.#host, this.#members, this.#catalogue, this.#bus)
    this.#ledger = new LedgerTask(this.#host, this.#members, this.#budgeted)
    const completions = new CompletionRunner(this.#router, this.#endpoints)
    const ledger = new LedgerClient(this.#host, this.#members, this.#bus)
    this.#journal = new JournalTask(this.#host, { members: this.#members, bus: this.#bus, ledger })
    this.#behind = new WriteBehind(ledger, { journal: this.#journal, usageWindowMs: settings.usageWindowMs })
    this.#archive = new DecisionArchive(this.#host, { log: this.#decisions, members: this.#members, bus: this.#bus, ledger, behind: this.#behind })
    this.#batches = new BatchTask(this.#ledger, this.#catalogue, completions, this.#behind)
    this.#usage = new UsageTask(this.#host, {
      members: this.#members,
      advance: async (partition) => await this.#ledger.advance(partition),
      store: this.#budgeted,
      platform: this.#platform
    })
    this.#gateway = new Gateway({
      settings,
      catalogue: this.#catalogue,
      members: this.#members,
      bus: this.#bus,
      ledger,
      completions,
      services: new ServiceRunner({ router: this.#router, endpoints: this.#endpoints, ledger, behind: this.#behind }),
      writeBehind: this.#behind,
      registry: this.#registry
    })
    this.#measure()
  }

  /** Starts every task; the port for callers opens last. */
  async start (): Promise<void> {
    this.#broker.createService(this.#members.service(() => this.#catalogue.current()?.revision ?? 0))
    this.#broker.createService(this.#decisions.service())
    this.#broker.createService(this.#archive.service())
    this.#broker.createService(this.#journal.service())
    this.#broker.createService(this.#dispatcher.service())
    this.#broker.createService(this.#ledger.service())
    this.#broker.createService(this.#batches.service())
    await this.#broker.start()
    await this.#bus.start()
    await this.#members.start()
    await this.#catalogue.start()
    await this.#dispatcher.start()
    await this.#ledger.start()
    await this.#router.start()
    this.#batches.start()
    await this.#usage.start()
    await this.#archive.start()
    await this.#journal.start()
    this.#broker.createService(this.#gateway.service())
    await this.#broker.waitForServices('gateway')
  }

  /** Stops in order and cuts off no request. Calling it again waits for the first call. */
  async drain (): Promise<void> {
    this.#draining ??= this.#drain()
    await this.#draining
  }

  async #drain (): Promise<void> {
    this.#members.leave()
    // An address given out a moment ago may still be used until its `notAfter`.
    await new Promise((resolve) => setTimeout(resolve, this.#settings.addressTtlMs))
    const limit = new Promise((resolve) => setTimeout(resolve, this.#settings.drainTimeoutMs).unref())
    await Promise.race([this.#gateway.drained(), limit])
    await this.#behind.drain(deadlineAfter(this.#settings.drainTimeoutMs))
    await this.stop()
  }

  /** Stops at once. */
  async stop (): Promise<void> {
    this.#batches.stop()
    await this.#journal.stop()
    await this.#archive.stop()
    await this.#usage.stop()
    await this.#router.stop()
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

  #measure (): void {
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
