import { EventEmitter } from 'node:events'
import { HostState, Membership, MembershipEffectKind, MembershipEventKind, unreachable } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host, MembershipCounters, MembershipEffect, MembershipEvent } from '@cyclamenthread/state'
import type { MembershipEnvelope, PeerMessage, PlatformClient, ProbeResponse } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'

/** Time between two ticks of the membership, in milliseconds. */
const TICK_MS = 200

/** Longest a start waits for the listed hosts to answer, in milliseconds. */
const JOIN_TIMEOUT_MS = 3_000

/** The host list is read this many times less often while every listed host is known. */
const SETTLED_LIST_INTERVAL = 15

/** A host as this process sees it. */
export interface Member {
  readonly host: Host
  readonly state: HostState
}

/** The view of the hosts that the other tasks work from. */
export interface MemberView {
  /** Hosts that may own shards and be given new work, this one among them. */
  workers (): readonly Host[]
  /** All hosts known, in any state. */
  members (): readonly Member[]
  find (hostId: string): Host | undefined
  /** Calls back after each change of the view. */
  onChange (listener: () => void): void
}

/** What membership needs of the settings. */
export type MemberSettings = Pick<HostSettings, 'self' | 'hostListPeriodMs' | 'storeTimeoutMs'>

/** Names the hosts that may be members; may lag. */
export type HostDirectory = Pick<PlatformClient, 'hosts'>

/** Sends a message that gets no answer and may be lost. */
export type PostMessage = (host: Host, message: PeerMessage) => Promise<void>

/** What another task sends along with membership messages. */
export interface MembershipPiggyback {
  outgoing (): Pick<MembershipEnvelope, 'revisions' | 'withdrawnKeys'>
  incoming (from: Host, carried: Pick<MembershipEnvelope, 'revisions' | 'withdrawnKeys'>): void
}

/**
 * Keeps the view of the hosts by the SWIM-like membership of the state package.
 * The platform's list only names candidates: it lags, so it neither makes a host
 * live nor takes one away.
 *
 * Invariant: this host is in its own view, whatever others say.
 */
export class MemberTask implements MemberView {
  readonly #settings: MemberSettings
  readonly #platform: HostDirectory
  readonly #post: PostMessage
  readonly #membership: Membership
  readonly #changes = new EventEmitter()
  readonly #tickLoop: Periodic
  readonly #hostListLoop: Periodic
  #members: Member[] = []
  #workers: Host[] = []
  #piggyback: MembershipPiggyback | undefined
  #settledRounds = 0

  constructor (settings: MemberSettings, platform: HostDirectory, post: PostMessage, random: () => number = Math.random) {
    this.#settings = settings
    this.#platform = platform
    this.#post = post
    this.#membership = new Membership(settings.self, Date.now(), random, monotonicNow())
    this.#changes.setMaxListeners(0)
    this.#tickLoop = new Periodic(TICK_MS, async () => this.#stepMembership({ kind: MembershipEventKind.Tick }))
    this.#hostListLoop = new Periodic(settings.hostListPeriodMs, async () => await this.#readHostList())
    this.#refreshView()
  }

  /** What the membership has counted since the start of the process. */
  get counters (): MembershipCounters {
    return this.#membership.counters
  }

  /** The broker service that answers the members' messages. */
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

  /** Lets another task send its news along with the membership's messages. */
  setPiggyback (piggyback: MembershipPiggyback): void {
    this.#piggyback = piggyback
  }

  /** Starts to probe and waits a short while for the listed hosts, so that no role is taken on half a view. */
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

  /** Announces that this host takes no new work. */
  leave (): void {
    this.#stepMembership({ kind: MembershipEventKind.Leave })
  }

  /** A message that tells a host what this one says of itself. */
  membershipMessageTo (host: Host): MembershipEnvelope {
    return { kind: PeerMessageKind.MembershipGossip, message: this.#membership.composeGossip(host).message, ...this.#piggyback?.outgoing() }
  }

  /** Sends what the rider has to some hosts at once instead of with the next probes. */
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

  /** Takes a message if its sender speaks for itself. */
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
      // Several changes of one step are told as one.
      case MembershipEffectKind.Changed: return
      default: unreachable(effect)
    }
  }

  #notifyListeners (): void {
    this.#refreshView()
    this.#changes.emit('change')
  }

  /** Builds the lists that other tasks read for each request once a change instead. */
  #refreshView (): void {
    this.#members = this.#membership.members().map(({ host, state }) => ({ host, state }))
    // A suspect may only be slow: its shards move when it is dead.
    this.#workers = this.#members.filter(({ state }) => state === HostState.Alive || state === HostState.Suspect).map(({ host }) => host)
  }
}
