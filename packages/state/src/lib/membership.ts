import { GossipQueue } from './gossip-queue.js'
import { HostState } from './host.js'
import { unreachable } from './invariant.js'
import { MemberTable } from './member-table.js'
import { MembershipMessageKind } from './membership-message.js'
import { mergeRecord } from './member-merge.js'
import { ProbeOrder, shuffled } from './probe-order.js'
import type { Host } from './host.js'
import type { HeldMember } from './member-table.js'
import type { MemberRecord, MembershipGossip, MembershipMessage } from './membership-message.js'

/** Time between two probes, in milliseconds. */
export const PROBE_PERIOD_MS = 1_000

/** Wait for a direct acknowledgement before other hosts are asked, in milliseconds. */
const DIRECT_WAIT_MS = 400

/** Wait for any acknowledgement of a probe, in milliseconds. */
const PROBE_WAIT_MS = 950

/** Hosts that are asked to probe on one's behalf. */
const INDIRECT_PROBES = 3

/** Least time between suspicion and death, in milliseconds. */
const SUSPICION_MS = 3_000

/** Added to the suspicion for each doubling of the members, as news takes longer to get round, in milliseconds. */
const SUSPICION_PER_DOUBLING_MS = 250

/** A tick later than this means that this process was paused and may judge nobody by the time that passed, in milliseconds. */
const PAUSE_THRESHOLD_MS = 700

/** Time between two tries to reach a dead member, in milliseconds. */
const DEAD_RETRY_MS = 5_000

/** How long a dead member is kept and tried, in milliseconds: longer than regions lose each other. */
const DEAD_RETENTION_MS = 2 * 60 * 60 * 1_000

/** Listed but unknown hosts that are tried at once. */
const CANDIDATE_PROBES = 16

/** Most records in one message. */
export const MAX_RECORDS = 24

/** Most records of the queue of news in one message. */
const MAX_UPDATES = 8

/** Hosts that are told at once of what can't wait for the next probe. */
const URGENT_FANOUT = 3

/** How often a piece of news is told, for each doubling of the members. */
const TRANSMISSIONS_PER_DOUBLING = 3

/** Probes passed on for others that are remembered at once. */
const MAX_FORWARDED = 64

/** Kinds of events that membership reacts to. */
export enum MembershipEventKind {
  /** Time passed. Expected several times in each probe period. */
  Tick = 'tick',
  /** A message of another member arrived. */
  Message = 'message',
  /** The platform's list of hosts was read. */
  Candidates = 'candidates',
  /** This host takes no new work from now on. */
  Leave = 'leave'
}

export type MembershipEvent =
  | { readonly kind: MembershipEventKind.Tick }
  | { readonly kind: MembershipEventKind.Message, readonly message: MembershipMessage }
  | { readonly kind: MembershipEventKind.Candidates, readonly hosts: readonly Host[] }
  | { readonly kind: MembershipEventKind.Leave }

/** Kinds of effects that membership asks for. */
export enum MembershipEffectKind {
  Send = 'send',
  /** The view of the members changed. */
  Changed = 'changed'
}

export type MembershipEffect =
  | { readonly kind: MembershipEffectKind.Send, readonly to: Host, readonly message: MembershipMessage }
  | { readonly kind: MembershipEffectKind.Changed }

/** What a membership has counted since its start. */
export interface MembershipCounters {
  probes: number
  suspicions: number
  refutations: number
  deaths: number
}

interface PendingProbe {
  readonly hostId: string
  readonly sequence: number
  readonly indirectAt: number
  readonly deadline: number
  indirect: boolean
}

interface ForwardedProbe {
  readonly requester: Host
  readonly sequence: number
}

/**
 * The SWIM-like membership of one host, without I/O: probes, suspicion,
 * refutation, and news carried along with the probes.
 *
 * Invariants: this host is in its own view, never as suspect or dead. Only the
 * host itself raises its incarnation. Within an incarnation a record only moves
 * from alive over suspect and leaving to dead. That a member is dead is each
 * host's own conclusion after a suspicion: what others say of a death only starts
 * one, so that two halves that meet again don't bury each other's members.
 *
 * @example
 * const membership = new Membership(self, Date.now(), Math.random, performance.now())
 * for (const effect of membership.step({ kind: MembershipEventKind.Tick }, performance.now())) carryOut(effect)
 */
export class Membership {
  readonly counters: MembershipCounters = { probes: 0, suspicions: 0, refutations: 0, deaths: 0 }
  readonly #random: () => number
  readonly #table = new MemberTable()
  readonly #updates = new GossipQueue()
  readonly #probeOrder: ProbeOrder
  readonly #candidates = new Map<string, Host>()
  readonly #forwarded = new Map<number, ForwardedProbe>()
  #self: MemberRecord
  #pendingProbe: PendingProbe | undefined
  #sequence = 1
  #nextProbeAt: number
  #nextDeadRetryAt: number
  #lastTickAt: number
  #effects: MembershipEffect[] = []

  /**
   * @param self this host
   * @param incarnation higher than in earlier lives of the host, as the wall clock at the start
   * @param random source of numbers from 0 up to 1
   * @param now monotonic milliseconds
   */
  constructor (self: Host, incarnation: number, random: () => number, now: number) {
    this.#random = random
    this.#self = { host: self, incarnation, state: HostState.Alive }
    this.#table.set({ record: this.#self })
    this.#probeOrder = new ProbeOrder(random)
    this.#nextProbeAt = now
    this.#nextDeadRetryAt = now + DEAD_RETRY_MS
    this.#lastTickAt = now
  }

  /** This host's own record. */
  get self (): MemberRecord {
    return this.#self
  }

  /** Listed hosts that have not answered yet. */
  get unansweredCandidates (): number {
    return this.#candidates.size
  }

  /** Every member held, in any state, this host among them. */
  members (): MemberRecord[] {
    return this.#table.all().map((member) => member.record)
  }

  find (hostId: string): MemberRecord | undefined {
    return this.#table.get(hostId)?.record
  }

  /** Some members at random that are not dead. */
  pickOtherHosts (count: number): Host[] {
    return this.#pick(this.#liveOtherIds(), count)
  }

  /** A message with news that asks for nothing. */
  composeGossip (host: Host): Extract<MembershipEffect, { kind: MembershipEffectKind.Send }> {
    return this.#compose(host, { kind: MembershipMessageKind.Gossip })
  }

  /** Takes one event and returns what is to be done. */
  step (event: MembershipEvent, now: number): MembershipEffect[] {
    switch (event.kind) {
      case MembershipEventKind.Tick:
        this.#tick(now)
        break
      case MembershipEventKind.Message:
        this.#receive(event.message, now)
        break
      case MembershipEventKind.Candidates:
        this.#setCandidates(event.hosts)
        break
      case MembershipEventKind.Leave:
        this.#leave()
        break
      default: unreachable(event)
    }
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  #tick (now: number): void {
    const gap = now - this.#lastTickAt
    this.#lastTickAt = now
    if (gap > PAUSE_THRESHOLD_MS) this.#extendSuspicions(gap, now)
    this.#expireMembers(now)
    this.#finishProbe(now)
    if (now >= this.#nextProbeAt) {
      this.#nextProbeAt = now + PROBE_PERIOD_MS
      this.#probe(now)
      this.#probeCandidates()
    }
    if (now >= this.#nextDeadRetryAt) {
      this.#nextDeadRetryAt = now + DEAD_RETRY_MS
      this.#probeDead()
    }
  }

  /** After a pause of this process, acknowledgements may wait unread: nobody is judged by that time. */
  #extendSuspicions (gap: number, now: number): void {
    this.#pendingProbe = undefined
    this.#nextProbeAt = now
    for (const member of this.#table.all()) {
      if (member.suspectedUntil === undefined) continue
      this.#table.set({ ...member, suspectedUntil: Math.max(member.suspectedUntil + gap, now + SUSPICION_MS) })
    }
  }

  /** Ends suspicions whose time is up and forgets members that are long dead. */
  #expireMembers (now: number): void {
    for (const member of this.#table.all()) {
      const { record, suspectedUntil, forgetAt } = member
      if (forgetAt !== undefined && now >= forgetAt) this.#table.remove(record.host.id)
      if (suspectedUntil === undefined || now < suspectedUntil) continue
      this.counters.deaths += 1
      this.#storeMember({ record: { ...record, state: HostState.Dead }, forgetAt: now + DEAD_RETENTION_MS })
    }
  }

  #probe (now: number): void {
    const hostId = this.#probeOrder.next(this.#liveOtherIds())
    const target = hostId === undefined ? undefined : this.#table.get(hostId)
    if (target === undefined) return
    const sequence = this.#sequence++
    this.counters.probes += 1
    this.#pendingProbe = { hostId: target.record.host.id, sequence, indirectAt: now + DIRECT_WAIT_MS, deadline: now + PROBE_WAIT_MS, indirect: false }
    this.#send(target.record.host, { kind: MembershipMessageKind.Ping, sequence })
  }

  #finishProbe (now: number): void {
    const probe = this.#pendingProbe
    if (probe === undefined) return
    if (!probe.indirect && now >= probe.indirectAt) {
      probe.indirect = true
      this.#probeIndirectly(probe)
    }
    if (now < probe.deadline) return
    this.#pendingProbe = undefined
    this.#suspect(probe.hostId, now)
  }

  #probeIndirectly (probe: PendingProbe): void {
    const target = this.#table.get(probe.hostId)
    if (target === undefined) return
    const helpers = this.#liveOtherIds().filter((hostId) => hostId !== probe.hostId)
    for (const helper of this.#pick(helpers, INDIRECT_PROBES)) {
      this.#send(helper, { kind: MembershipMessageKind.PingRequest, sequence: probe.sequence, target: target.record.host })
    }
  }

  #suspect (hostId: string, now: number): void {
    const member = this.#table.get(hostId)
    if (member === undefined || member.record.state === HostState.Dead) return
    this.#probeOrder.moveToFront(hostId)
    if (member.suspectedUntil !== undefined) return
    const state = member.record.state === HostState.Leaving ? HostState.Leaving : HostState.Suspect
    this.#storeMember({ record: { ...member.record, state }, suspectedUntil: now + this.#suspicionMs() })
    this.counters.suspicions += 1
  }

  /** Tries listed hosts that were never heard of. */
  #probeCandidates (): void {
    for (const host of shuffled([...this.#candidates.values()], this.#random).slice(0, CANDIDATE_PROBES)) {
      this.#send(host, { kind: MembershipMessageKind.Ping, sequence: this.#sequence++ })
    }
  }

  /** Tries one dead member, so that regions that lost each other meet again. */
  #probeDead (): void {
    const dead = this.#table.idsWhere((member) => member.record.state === HostState.Dead)
    for (const host of this.#pick(dead, 1)) this.#send(host, { kind: MembershipMessageKind.Ping, sequence: this.#sequence++ })
  }

  #setCandidates (hosts: readonly Host[]): void {
    this.#candidates.clear()
    for (const host of hosts) {
      if (this.#table.get(host.id) === undefined) this.#candidates.set(host.id, host)
    }
  }

  #leave (): void {
    if (this.#self.state === HostState.Leaving) return
    this.#announceSelf({ ...this.#self, state: HostState.Leaving })
  }

  /** Changes what this host says of itself and tells some hosts at once. */
  #announceSelf (record: MemberRecord): void {
    this.#self = record
    this.#storeMember({ record })
    for (const host of this.pickOtherHosts(URGENT_FANOUT)) this.#send(host, { kind: MembershipMessageKind.Gossip })
  }

  #receive (message: MembershipMessage, now: number): void {
    this.#merge(message.self, now)
    for (const record of message.records) this.#merge(record, now)
    const sender = message.self.host
    switch (message.kind) {
      case MembershipMessageKind.Ping:
        this.#send(sender, { kind: MembershipMessageKind.Ack, sequence: message.sequence }, message.digest)
        return
      case MembershipMessageKind.PingRequest:
        this.#forward(message.target, { requester: sender, sequence: message.sequence })
        return
      case MembershipMessageKind.Ack:
        this.#acknowledge(message.sequence)
        if (this.#table.differingRecords(message.digest).length > 0) this.#send(sender, { kind: MembershipMessageKind.Gossip }, message.digest)
        return
      case MembershipMessageKind.Gossip: return
      default: unreachable(message)
    }
  }

  #forward (target: Host, probe: ForwardedProbe): void {
    const sequence = this.#sequence++
    this.#forwarded.set(sequence, probe)
    const [oldest] = this.#forwarded.keys()
    if (this.#forwarded.size > MAX_FORWARDED && oldest !== undefined) this.#forwarded.delete(oldest)
    this.#send(target, { kind: MembershipMessageKind.Ping, sequence })
  }

  #acknowledge (sequence: number): void {
    if (this.#pendingProbe?.sequence === sequence) this.#pendingProbe = undefined
    const forwarded = this.#forwarded.get(sequence)
    if (forwarded === undefined) return
    this.#forwarded.delete(sequence)
    this.#send(forwarded.requester, { kind: MembershipMessageKind.Ack, sequence: forwarded.sequence })
  }

  #merge (record: MemberRecord, now: number): void {
    if (record.host.id === this.#self.host.id) {
      this.#refute(record)
      return
    }
    const held = this.#table.get(record.host.id)
    const merged = mergeRecord(held, record, now + this.#suspicionMs())
    if (merged === undefined || merged === held) return
    this.#candidates.delete(record.host.id)
    this.#storeMember(merged)
    // A few hosts ask at once, whatever the size, so that a false suspicion is refuted before it ends in a death.
    const startsSuspicion = merged.suspectedUntil !== undefined && held?.suspectedUntil === undefined
    if (startsSuspicion && this.#random() * this.#table.all().length < INDIRECT_PROBES) this.#probeOrder.moveToFront(record.host.id)
  }

  /** Contradicts what is said of this host by an incarnation above it. */
  #refute (record: MemberRecord): void {
    const older = record.incarnation < this.#self.incarnation
    const same = record.incarnation === this.#self.incarnation
    const agrees = same && (record.state === this.#self.state || record.state === HostState.Alive)
    if (older || agrees) return
    this.counters.refutations += 1
    this.#announceSelf({ ...this.#self, incarnation: record.incarnation + 1 })
  }

  #storeMember (member: HeldMember): void {
    this.#table.set(member)
    this.#updates.add(member.record.host.id)
    this.#effects.push({ kind: MembershipEffectKind.Changed })
  }

  /** Ids of the members that may be probed or asked. */
  #liveOtherIds (): string[] {
    return this.#table.idsWhere(({ record }) => record.state !== HostState.Dead && record.host.id !== this.#self.host.id)
  }

  #pick (hostIds: readonly string[], count: number): Host[] {
    return shuffled(hostIds, this.#random).slice(0, count).flatMap((hostId) => this.find(hostId)?.host ?? [])
  }

  #memberDoublings (): number {
    return Math.log2(this.#table.all().length + 1)
  }

  #suspicionMs (): number {
    return SUSPICION_MS + SUSPICION_PER_DOUBLING_MS * this.#memberDoublings()
  }

  /** Sends a message with news, and with what differs from the receiver's digest where that is known. */
  #send (to: Host, message: MessageHead, theirDigest?: readonly number[]): void {
    this.#effects.push(this.#compose(to, message, theirDigest))
  }

  #compose (to: Host, message: MessageHead, theirDigest?: readonly number[]): Extract<MembershipEffect, { kind: MembershipEffectKind.Send }> {
    const gossip: MembershipGossip = { self: this.#self, records: this.#records(to.id, theirDigest), digest: [...this.#table.digest] }
    return { kind: MembershipEffectKind.Send, to, message: { ...message, ...gossip } }
  }

  #records (toId: string, theirDigest: readonly number[] | undefined): MemberRecord[] {
    const records = new Map<string, MemberRecord>()
    // A host is always told what is held against it, since only it can refute that.
    const receiver = this.#table.get(toId)
    if (receiver?.suspectedUntil !== undefined) records.set(toId, { ...receiver.record, state: HostState.Suspect })
    else if (receiver !== undefined && receiver.record.state !== HostState.Alive) records.set(toId, receiver.record)
    const transmissions = Math.ceil(TRANSMISSIONS_PER_DOUBLING * this.#memberDoublings())
    for (const hostId of this.#updates.take(MAX_UPDATES, transmissions)) {
      const record = this.find(hostId)
      if (record !== undefined && hostId !== this.#self.host.id && !records.has(hostId)) records.set(hostId, record)
    }
    const differing = theirDigest === undefined ? [] : shuffled(this.#table.differingRecords(theirDigest), this.#random)
    for (const record of differing) {
      if (records.size >= MAX_RECORDS) break
      if (record.host.id !== this.#self.host.id && !records.has(record.host.id)) records.set(record.host.id, record)
    }
    return [...records.values()]
  }
}

/** The part of a message that says what is asked, without what every message carries. */
type MessageHead =
  | { readonly kind: MembershipMessageKind.Ping, readonly sequence: number }
  | { readonly kind: MembershipMessageKind.PingRequest, readonly sequence: number, readonly target: Host }
  | { readonly kind: MembershipMessageKind.Ack, readonly sequence: number }
  | { readonly kind: MembershipMessageKind.Gossip }
