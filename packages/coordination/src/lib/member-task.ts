import { EventEmitter } from 'node:events'
import { HostState, Membership, MembershipEffectKind, MembershipEventKind, unreachable } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host, MembershipCounters, MembershipEffect, MembershipEvent } from '@cyclamenthread/state'
import type { MembershipCarrier, PeerMessage, PlatformClient, ProbeAnswer } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'

/** Time between two ticks of the membership, in milliseconds. */
const TICK_MS = 200

/** Longest a start waits for the listed hosts to answer, in milliseconds. */
const JOIN_MS = 3_000

/** The host list is read this many times less often while every listed host is known. */
const SETTLED_LIST_FACTOR = 15

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
export type MessagePost = (host: Host, message: PeerMessage) => Promise<void>

/** What another task sends along with membership messages. */
export interface MembershipRider {
  outgoing (): Pick<MembershipCarrier, 'revisions' | 'withdrawnKeys'>
  incoming (from: Host, carried: Pick<MembershipCarrier, 'revisions' | 'withdrawnKeys'>): void
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
  readonly #post: MessagePost
  readonly #membership: Membership
  readonly #changes = new EventEmitter()
  readonly #ticker: Periodic
  readonly #list: Periodic
  #members: Member[] = []
  #workers: Host[] = []
  #rider: MembershipRider | undefined
  #listsSkipped = 0

  constructor (settings: MemberSettings, platform: HostDirectory, post: MessagePost, random: () => number = Math.random) {
    this.#settings = settings
    this.#platform = platform
    this.#post = post
    this.#membership = new Membership(settings.self, Date.now(), random, monotonicNow())
    this.#changes.setMaxListeners(0)
    this.#ticker = new Periodic(TICK_MS, async () => this.#step({ kind: MembershipEventKind.Tick }))
    this.#list = new Periodic(settings.hostListPeriodMs, async () => await this.#readList())
    this.#refreshView()
  }

  /** What the membership has counted since the start of the process. */
  get counters (): MembershipCounters {
    return this.#membership.counters
  }

  /** The broker service that answers the members' messages. */
  service (catalogueRevision: () => number): ServiceSchema {
    return taskService('member', {
      [PeerMessageKind.Probe]: async (): Promise<ProbeAnswer> => ({
        hostId: this.#settings.self.id,
        state: this.#membership.self.state,
        catalogueRevision: catalogueRevision()
      }),
      [PeerMessageKind.Membership]: async (carrier, meta) => ({ accepted: this.#receive(carrier, meta.from) })
    })
  }

  /** Lets another task send its news along with the membership's messages. */
  carry (rider: MembershipRider): void {
    this.#rider = rider
  }

  /** Starts to probe and waits a short while for the listed hosts, so that no role is taken on half a view. */
  async start (): Promise<void> {
    await this.#list.start()
    await this.#ticker.start()
    const deadline = deadlineAfter(JOIN_MS)
    while (this.#membership.unansweredCandidates > 0 && monotonicNow() < deadline) await new Promise((resolve) => setTimeout(resolve, TICK_MS))
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
    await this.#list.stop()
  }

  /** Announces that this host takes no new work. */
  leave (): void {
    this.#step({ kind: MembershipEventKind.Leave })
  }

  /** A message that tells a host what this one says of itself. */
  noticeTo (host: Host): MembershipCarrier {
    return { kind: PeerMessageKind.Membership, message: this.#membership.composeGossip(host).message, ...this.#rider?.outgoing() }
  }

  /** Sends what the rider has to some hosts at once instead of with the next probes. */
  spread (fanout: number): void {
    for (const host of this.#membership.pickOtherHosts(fanout)) this.#carryOut(this.#membership.composeGossip(host))
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

  async #readList (): Promise<void> {
    const settled = this.#membership.unansweredCandidates === 0 && this.#members.length > 1
    this.#listsSkipped = settled ? this.#listsSkipped + 1 : 0
    if (settled && this.#listsSkipped % SETTLED_LIST_FACTOR !== 0) return
    const hosts = await this.#platform.hosts({ deadline: deadlineAfter(this.#settings.storeTimeoutMs) })
    if (!hosts.ok) return
    this.#step({ kind: MembershipEventKind.Candidates, hosts: hosts.value.map(({ leaving, ...host }) => host) })
  }

  /** Takes a message if its sender speaks for itself. */
  #receive (carrier: MembershipCarrier, from: string): boolean {
    if (carrier.message.self.host.id !== from) return false
    this.#step({ kind: MembershipEventKind.Message, message: carrier.message })
    this.#rider?.incoming(carrier.message.self.host, carrier)
    return true
  }

  #step (event: MembershipEvent): void {
    const effects = this.#membership.step(event, monotonicNow())
    for (const effect of effects) this.#carryOut(effect)
    if (effects.some((effect) => effect.kind === MembershipEffectKind.Changed)) this.#tellChange()
  }

  #carryOut (effect: MembershipEffect): void {
    switch (effect.kind) {
      case MembershipEffectKind.Send:
        void this.#post(effect.to, { kind: PeerMessageKind.Membership, message: effect.message, ...this.#rider?.outgoing() })
        return
      // Several changes of one step are told as one.
      case MembershipEffectKind.Changed: return
      default: unreachable(effect)
    }
  }

  #tellChange (): void {
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
