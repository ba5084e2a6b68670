import { randomUUID } from 'node:crypto'
import {
  announceLeave, CallForwarder, CallTask, CapacityDuty, CrashTask, readOrCreateClusterSecret, DemandAnnouncer, DeploymentView, EndpointNoticeTask, EndpointWitness, HeldRequestStore, LeaderReach, LeaderTask, LocalBroker, LogEvent, MemberTask, MessageBus, MirrorRelay, RetirementDuty, RolloutStore, RolloutTask,
  SendPermitTask, StoredHostList, StreamOriginTask, taskService, UsageDuty, WeightDuty
} from '@cyclamenthread/coordination'
import { CLUSTER_SECRET_KEY, PeerMessageKind } from '@cyclamenthread/protocol'
import { StepDemand, UsageTally } from '@cyclamenthread/state'
import { deadlineAfter } from '@cyclamenthread/transport'
import { selectHosts } from './select-hosts.js'
import type { DeploymentDecoder, EventLog, RetirementSource, StoreMirror } from '@cyclamenthread/coordination'
import type { PlatformPort, EndpointPort, SnapshotStore } from '@cyclamenthread/protocol'
import type { Host, NetworkLocation } from '@cyclamenthread/state'
import type { CallerLocation } from './select-hosts.js'

/** Maximum time to wait at start for the cluster secret from the store, in milliseconds; the process exits when it is exceeded. */
const SECRET_TIMEOUT_MS = 60_000

/** Period of reading the host list, in milliseconds. */
const HOST_LIST_PERIOD_MS = 2_000

/** Timeout of one store call for leases and membership, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000

/** Interval at which the start checks whether the deployment is known, in milliseconds. */
const READY_POLL_MS = 20

/** Maximum time to wait for other hosts to acknowledge the departure of this host, in milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 500

/** Maximum number of addresses in one response. */
const MAX_ADDRESSES = 64

/** Maximum time for handing rollouts over to other hosts, in milliseconds. */
const HANDOVER_TIMEOUT_MS = 2_000

/** Settings of an entry host. */
export interface EntrySettings {
  readonly self: Host
  readonly networkLocation: NetworkLocation
  readonly storeRegion: string
  readonly leaseMs: number
  readonly usageWindowMs: number
  /** Time for which callers may cache the address list, in milliseconds. */
  readonly addressTtlMs: number
  /** Number of hosts that are probed in each period besides one at random; none if absent. */
  readonly ringProbes?: number
}

/** A caller's request that was answered, for the log. */
export interface AnsweredRequest {
  readonly requestId: string
  readonly target: string
  readonly status: number
  /** Monotonic time at which the request was read, in milliseconds. */
  readonly startedAt: number
  /** Time from the arrival of the request's head until its handler ran, in milliseconds. */
  readonly waitedMs: number
  /** Why the request was refused; undefined if an endpoint answered it. */
  readonly detail: string | undefined
}

/** Ports of an entry host to its environment, implemented by an adapter. */
export interface EntryPorts {
  readonly store: SnapshotStore
  readonly endpoints: EndpointPort
  readonly platform: PlatformPort
  readonly decoder: DeploymentDecoder
  readonly declarations: StoreMirror
  readonly registry: StoreMirror
  /** Evacuated failure domains; undefined on platforms without evacuations. */
  readonly evacuations?: StoreMirror | undefined
  /** Mirrors that only the leader runs. */
  readonly leaderMirrors: readonly StoreMirror[]
  readonly newestVersions: () => ReadonlyMap<string, number>
  readonly retirements: RetirementSource
  readonly log: EventLog
}

/**
 * One entry host: serves plain calls and rollouts, tells callers which hosts to
 * use, and runs the leader's tasks while it holds the lease.
 */
export class EntryService {
  readonly calls: CallTask
  readonly rollouts: RolloutTask
  readonly streams: StreamOriginTask
  readonly capacity: CapacityDuty
  readonly deployment: DeploymentView
  readonly tally: UsageTally
  readonly #settings: EntrySettings
  readonly #ports: EntryPorts
  readonly #broker = new LocalBroker()
  readonly #hosts: StoredHostList
  readonly #bus: MessageBus
  readonly #members: MemberTask
  readonly #leader: LeaderTask
  readonly #demand: DemandAnnouncer
  readonly #relay: MirrorRelay
  readonly #sends: SendPermitTask
  readonly #notices: EndpointNoticeTask
  readonly #forwarder: CallForwarder
  readonly #witness: EndpointWitness
  readonly #crashes: CrashTask
  #ready = false
  #leaving = false

  /**
   * Reads the cluster secret from the store and creates the service; undefined if the secret can't be read in time.
   * The declaration, the endpoints and the evacuations are read meanwhile.
   */
  static async open (settings: EntrySettings, ports: EntryPorts): Promise<EntryService | undefined> {
    for (const mirror of mirrorsOf(ports)) mirror.start()
    const secret = await readOrCreateClusterSecret(ports.store, CLUSTER_SECRET_KEY, randomUUID, deadlineAfter(SECRET_TIMEOUT_MS))
    return secret === undefined ? undefined : new EntryService(settings, ports, secret)
  }

  private constructor (settings: EntrySettings, ports: EntryPorts, secret: string) {
    const { self, networkLocation } = settings
    const { endpoints, log, platform, store } = ports
    const incarnation = randomUUID()
    this.#settings = settings
    this.#ports = ports
    this.#bus = new MessageBus({ self, clusterSecret: secret, storeTimeoutMs: STORE_TIMEOUT_MS }, this.#broker, log)
    this.#hosts = new StoredHostList(store)
    const memberSettings = { self, hostListPeriodMs: HOST_LIST_PERIOD_MS, storeTimeoutMs: STORE_TIMEOUT_MS, ...(settings.ringProbes === undefined ? {} : { ringProbes: settings.ringProbes }) }
    this.#members = new MemberTask(memberSettings, this.#hosts, async (host, message) => await this.#bus.post(host, message), log)
    this.#bus.onSilence((hostId) => this.#members.reportSilence(hostId))
    this.deployment = new DeploymentView({ declarations: ports.declarations, endpoints: ports.registry, evacuations: ports.evacuations, decoder: ports.decoder, log })
    this.tally = new UsageTally(settings.usageWindowMs)
    this.#sends = new SendPermitTask({ self, members: this.#members, bus: this.#bus, log })
    this.#notices = new EndpointNoticeTask({ self, deployment: this.deployment, sends: this.#sends, members: this.#members, bus: this.#bus, log })
    this.#forwarder = new CallForwarder({ self, deployment: this.deployment, endpoints, members: this.#members, bus: this.#bus, log })
    const shared = { deployment: this.deployment, endpoints, sends: this.#sends, notices: this.#notices, relay: this.#forwarder, log, networkLocation }
    this.#witness = new EndpointWitness({ self, deployment: this.deployment, endpoints, relay: this.#forwarder, members: this.#members, bus: this.#bus, log })
    this.#crashes = new CrashTask({ self, members: this.#members, bus: this.#bus, observer: this.#witness, held: new HeldRequestStore(store), log })
    this.calls = new CallTask({ ...shared, crashes: this.#crashes, tally: this.tally })
    this.streams = new StreamOriginTask({ self, members: this.#members, bus: this.#bus })
    this.#relay = new MirrorRelay({ self, members: this.#members, bus: this.#bus, mirrors: mirrorsOf(ports) })
    const demand = new StepDemand()
    const place = { region: settings.storeRegion, failureDomain: '' }
    this.#demand = new DemandAnnouncer({ hostId: self.id, members: this.#members, bus: this.#bus, demand, location: place })
    this.rollouts = new RolloutTask({
      ...shared,
      calls: this.calls,
      self,
      members: this.#members,
      bus: this.#bus,
      store: new RolloutStore(store, log),
      writer: `${self.id}/${incarnation}`,
      onAccepted: (order) => this.#demand.announce(order)
    })
    const duties = {
      hostId: self.id,
      deployment: this.deployment,
      endpoints,
      sends: this.#sends,
      notices: this.#notices,
      platform,
      store,
      members: this.#members,
      bus: this.#bus,
      tally: this.tally,
      demand,
      retirements: ports.retirements,
      mirrors: ports.leaderMirrors,
      releases: ports.newestVersions,
      log
    }
    const leader = { holder: `${self.id}/${incarnation}`, leaseMs: settings.leaseMs, storeTimeoutMs: STORE_TIMEOUT_MS, storeRegion: settings.storeRegion }
    const reach = new LeaderReach(this.#forwarder)
    this.capacity = new CapacityDuty(duties)
    this.#leader = new LeaderTask(leader, store, duties, [new UsageDuty(duties), new WeightDuty(duties, reach), this.capacity, new RetirementDuty(duties)], reach)
  }

  /** Logs how a caller's request ended. */
  logAnswer (answer: AnsweredRequest): void {
    const { requestId, target, status, startedAt, waitedMs, detail } = answer
    this.#ports.log.record(LogEvent.RequestAnswered, {
      requestId, target, status, tookMs: Math.round(performance.now() - startedAt), waitedMs: Math.round(waitedMs), detail, declaration: this.deployment.routeTable?.declaration.version
    })
  }

  /** Whether this host accepts callers. */
  get ready (): boolean {
    return this.#ready && !this.#leaving
  }

  /** Starts all tasks; resolves once requests can be served. */
  async start (): Promise<void> {
    this.#broker.createService(this.#members.service(() => this.deployment.routeTable?.declaration.version ?? 0))
    this.#broker.createService(this.rollouts.service())
    this.#broker.createService(this.#demand.service())
    this.#broker.createService(this.#relay.service())
    this.#broker.createService(this.streams.service())
    this.#broker.createService(this.#sends.service())
    this.#broker.createService(this.#notices.service())
    this.#broker.createService(this.#witness.service())
    this.#broker.createService(this.#leader.service())
    this.#broker.createService(this.#crashes.service())
    this.#broker.createService(this.#forwarder.service(async (call) => await this.calls.run(call)))
    this.#broker.createService(taskService('weights', {
      [PeerMessageKind.ReportEndpointWeights]: async ({ endpointId, bornAt, model, version }) => {
        const { endpointTable } = this.deployment
        const isKnown = endpointTable.find(endpointId)?.entry.bornAt === bornAt
        if (isKnown && version === undefined) endpointTable.recordModelRefusal(endpointId, model, performance.now())
        if (isKnown && version !== undefined) endpointTable.recordVersion(endpointId, model, version)
        return { accepted: isKnown }
      }
    }))
    this.#broker.createService(taskService('tally', {
      [PeerMessageKind.ReadRequestCounts]: async ({ window }) => ({ counts: { ...this.tally.countsOf(window) } })
    }))
    await this.#bus.start()
    while (!this.deployment.ready && !this.#leaving) await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS))
    void this.#hosts.register(this.#settings.self, () => this.#leaving)
    void this.#join()
    void this.#crashes.start()
    this.#ready = true
    this.#leader.start()
    this.#ports.log.record(LogEvent.Started, { pid: process.pid, declaration: this.deployment.routeTable?.declaration.version, upMs: Math.round(performance.now()) })
  }

  /** Joins the other hosts, and logs how long that took. */
  async #join (): Promise<void> {
    const startedAt = performance.now()
    await this.#members.start()
    this.#ports.log.record(LogEvent.Joined, { tookMs: Math.round(performance.now() - startedAt), members: this.#members.members().length })
  }

  /**
   * Returns the hosts that a caller may connect to, and how long it may cache them.
   *
   * @param name host name of the routes that the caller asks for
   */
  selectAddresses (location: CallerLocation, name: string): { readonly hosts: readonly Host[], readonly ttlMs: number } {
    return { hosts: selectHosts(this.#members.members(), location, MAX_ADDRESSES, this.deployment.routeTable?.homesOfHost(name)), ttlMs: this.#settings.addressTtlMs }
  }

  /**
   * Begins a graceful shutdown: releases leadership, hands rollouts over, and is
   * no longer listed for callers. Requests that end in time are served until {@link stop}.
   *
   * @param endsAt monotonic milliseconds by which all calls have ended
   */
  async leave (endsAt: number): Promise<void> {
    this.#leaving = true
    this.calls.stopAt(endsAt)
    this.#ports.log.record(LogEvent.Stopping, { rollouts: this.rollouts.running })
    void this.#leader.stop()
    // Must precede the announcement: otherwise a read could make the next owner restart samples without the text generated so far.
    await this.rollouts.leave(deadlineAfter(HANDOVER_TIMEOUT_MS))
    await announceLeave(this.#members, this.#bus, deadlineAfter(ANNOUNCE_TIMEOUT_MS))
  }

  /** Stops all tasks and closes all connections. */
  async stop (): Promise<void> {
    this.#leaving = true
    this.rollouts.stop()
    await this.#leader.stop()
    await this.#crashes.stop()
    await this.#members.stop()
    await this.#bus.stop()
    await this.#ports.endpoints.close()
    await this.#ports.platform.close()
    this.#ports.log.record(LogEvent.Stopped, {})
  }
}

/** Returns the mirrors that every host runs. */
function mirrorsOf ({ declarations, registry, evacuations }: EntryPorts): StoreMirror[] {
  return [declarations, registry, ...(evacuations === undefined ? [] : [evacuations])]
}
