import { EventEmitter } from 'node:events'
import { HostState, Membership, MembershipEffectKind, MembershipEventKind, unreachable } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { LogEvent, SILENT_LOG } from './event-log.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host, MembershipCounters, MembershipEffect, MembershipEvent } from '@cyclamenthread/state'
import type { MembershipEnvelope, PeerMessage, PlatformClient, ProbeResponse } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'
import type { HostSettings } from './host-settings.js'

/** Time between two ticks of the membership protocol, in milliseconds. */
const TICK_MS = 200

/** Longest time the start waits for the listed hosts to answer, in milliseconds. */
const JOIN_TIMEOUT_MS = 3_000

/** While every listed host is known, the host list is read only once in this many rounds. */
const SETTLED_LIST_INTERVAL = 15

/** A host and its state in this process's view. */
export interface Member {
  readonly host: Host
  readonly state: HostState
}

/** The membership view used by other tasks. */
export interface MemberView {
  /** Returns the hosts that may own shards and receive new work, including this one. */
  workers (): readonly Host[]
  /** Returns all known hosts, in any state. */
  members (): readonly Member[]
  find (hostId: string): Host | undefined
  /** Whether a host has stopped answering, by this host's own probes or those of others. */
  isSuspected (hostId: string): boolean
  /**
   * Has a host probed at once that did not answer this host in time. If it doesn't
   * answer the probe either, all hosts learn that it is suspected.
   *
   * @example
   * if (!answer.ok) members.reportSilence(host.id)
   */
  reportSilence (hostId: string): void
  /** Calls back after each change of the view. */
  onChange (listener: () => void): void
}

/** Settings of the membership. */
export type MemberSettings = Pick<HostSettings, 'self' | 'hostListPeriodMs' | 'storeTimeoutMs'> & {
  /** Number of hosts that are probed in each period besides one at random, so that crashes are noticed sooner; none if absent. */
  readonly ringProbes?: number
}

/** Lists the hosts that may be members; the list may be out of date. */
export type HostDirectory = Pick<PlatformClient, 'hosts'>

/** Sends a message without an answer; the message may be lost. */
export type PostMessage = (host: Host, message: PeerMessage) => Promise<void>

/** Data of another task that is piggybacked on membership messages. */
export interface MembershipPiggyback {
  outgoing (): Pick<MembershipEnvelope, 'revisions' | 'withdrawnKeys'>
  incoming (from: Host, carried: Pick<MembershipEnvelope, 'revisions' | 'withdrawnKeys'>): void
}

/**
 * Maintains the membership view with the SWIM-like protocol of the state package.
 * The platform's host list only provides candidates: it may be out of date, so it
 * neither marks a host as alive nor removes one.
 *
 * Invariant: this host is always in its own view, whatever other hosts report.
 */
export class MemberTask implements MemberView {
  readonly #settings: MemberSettings
  readonly #platform: HostDirectory
  readonly #post: PostMessage
  readonly #membership: Membership
  readonly #log: EventLog
  readonly #changes = new EventEmitter()
  readonly #tickLoop: Periodic
  readonly #hostListLoop: Periodic
  #members: Member[] = []
  #workers: Host[] = []
  #piggyback: MembershipPiggyback | undefined
  #settledRounds = 0

  constructor (settings: MemberSettings, platform: HostDirectory, post: PostMessage, log: EventLog = SILENT_LOG, random: () => number = Math.random) {
    this.#settings = settings
    this.#platform = platform
    this.#post = post
    this.#log = log
    this.#membership = new Membership(settings.self, Date.now(), random, monotonicNow(), settings.ringProbes)
    this.#changes.setMaxListeners(0)
    this.#tickLoop = new Periodic(TICK_MS, async () => this.#stepMembership({ kind: MembershipEventKind.Tick }))
    this.#hostListLoop = new Periodic(settings.hostListPeriodMs, async () => await this.#readHostList())
    this.#refreshView()
  }

  /** Counters of the membership protocol since the start of the process. */
  get counters (): MembershipCounters {
    return this.#membership.counters
  }

  /** Returns the broker service that handles membership messages. */
  service (catalogueRevision: () => number): ServiceSchema {
    return taskService('member', {
      [PeerMessageKind.Probe]: async (): Promise<ProbeResponse> => ({
        hostId: this.#settings.self.id,
        state: this.#membership.self.state,
        catalogueRevision: catalogueRevision()
      }),
      [PeerMessageKind.MembershipGossip]: async (carrier, meta) => ({ accepted: this.#receive(carrier, meta.from) })
    })
  }

  /** Sets the data to piggyback on membership messages. */
  setPiggyback (piggyback: MembershipPiggyback): void {
    this.#piggyback = piggyback
  }

  /** Starts probing and waits for a short time for the listed hosts to answer, so that no role is assumed on an incomplete view. */
  async start (): Promise<void> {
    await this.#hostListLoop.start()
    await this.#tickLoop.start()
    const deadline = deadlineAfter(JOIN_TIMEOUT_MS)
    while (this.#membership.unansweredCandidates > 0 && monotonicNow() < deadline) await new Promise((resolve) => setTimeout(resolve, TICK_MS))
  }

  async stop (): Promise<void> {
    await this.#tickLoop.stop()
    await this.#hostListLoop.stop()
  }

  /** Announces that this host is leaving and takes no new work. */
  leave (): void {
    this.#stepMembership({ kind: MembershipEventKind.Leave })
  }

  /** Returns a membership message for a host, with this host's current state. */
  membershipMessageTo (host: Host): MembershipEnvelope {
    return { kind: PeerMessageKind.MembershipGossip, message: this.#membership.composeGossip(host).message, ...this.#piggyback?.outgoing() }
  }

  /** Sends membership messages with the piggybacked data to some hosts at once, instead of waiting for the next probes. */
  gossipNow (fanout: number): void {
    for (const host of this.#membership.pickOtherHosts(fanout)) this.#applyEffect(this.#membership.composeGossip(host))
  }

  workers (): readonly Host[] {
    return this.#workers
  }

  members (): readonly Member[] {
    return this.#members
  }

  find (hostId: string): Host | undefined {
    return this.#membership.find(hostId)?.host
  }

  isSuspected (hostId: string): boolean {
    return this.#membership.isSuspected(hostId)
  }

  reportSilence (hostId: string): void {
    this.#stepMembership({ kind: MembershipEventKind.Silence, hostId })
  }

  onChange (listener: () => void): void {
    this.#changes.on('change', listener)
  }

  async #readHostList (): Promise<void> {
    const settled = this.#membership.unansweredCandidates === 0 && this.#members.length > 1
    this.#settledRounds = settled ? this.#settledRounds + 1 : 0
    if (settled && this.#settledRounds % SETTLED_LIST_INTERVAL !== 0) return
    const hosts = await this.#platform.hosts({ deadline: deadlineAfter(this.#settings.storeTimeoutMs) })
    if (!hosts.ok) return
    this.#stepMembership({ kind: MembershipEventKind.Candidates, hosts: hosts.value.map(({ leaving, ...host }) => host) })
  }

  /** Processes a message, unless its sender is not the host that it describes. */
  #receive (carrier: MembershipEnvelope, from: string): boolean {
    if (carrier.message.self.host.id !== from) return false
    this.#stepMembership({ kind: MembershipEventKind.Message, message: carrier.message })
    this.#piggyback?.incoming(carrier.message.self.host, carrier)
    return true
  }

  #stepMembership (event: MembershipEvent): void {
    const effects = this.#membership.step(event, monotonicNow())
    for (const effect of effects) this.#applyEffect(effect)
    if (effects.some((effect) => effect.kind === MembershipEffectKind.Changed)) this.#notifyListeners()
  }

  #applyEffect (effect: MembershipEffect): void {
    switch (effect.kind) {
      case MembershipEffectKind.Send:
        void this.#post(effect.to, { kind: PeerMessageKind.MembershipGossip, message: effect.message, ...this.#piggyback?.outgoing() })
        return
      // Several changes in one step are reported to the listeners once.
      case MembershipEffectKind.Changed: return
      default: unreachable(effect)
    }
  }

  #notifyListeners (): void {
    this.#refreshView()
    this.#changes.emit('change')
  }

  /** Rebuilds the lists of hosts once per change, as other tasks read them for every request. */
  #refreshView (): void {
    const previous = new Map(this.#members.map(({ host, state }) => [host.id, state]))
    this.#members = this.#membership.members().map(({ host, state }) => ({ host, state }))
    for (const { host, state } of this.#members) {
      const before = previous.get(host.id)
      if (before !== undefined && before !== state) this.#log.record(LogEvent.HostChanged, { peer: host.id, outcome: state, previous: before })
    }
    // A suspected host may just be slow: its shards move only once it is dead.
    this.#workers = this.#members.filter(({ state }) => state === HostState.Alive || state === HostState.Suspect).map(({ host }) => host)
  }
}
