import { GossipQueue } from './gossip-queue.js'
import { HostState } from './host.js'
import { unreachable } from './invariant.js'
import { MemberTable } from './member-table.js'
import { MembershipMessageKind } from './membership-message.js'
import { mergeRecord } from './member-merge.js'
import { nextInRing, ProbeOrder, shuffled } from './probe-order.js'
import type { Host } from './host.js'
import type { HeldMember } from './member-table.js'
import type { MemberRecord, MembershipGossip, MembershipMessage } from './membership-message.js'

/** Time between two probes, in milliseconds. */
export const PROBE_PERIOD_MS = 1_000

/** Timeout for a direct acknowledgement, after which indirect probes are sent, in milliseconds. */
const DIRECT_TIMEOUT_MS = 400

/** Timeout for any acknowledgement of a probe, direct or indirect, in milliseconds. */
const PROBE_TIMEOUT_MS = 950

/** Number of hosts that are asked to probe on this host's behalf. */
const INDIRECT_PROBES = 3

/** Base duration of a suspicion before the member is declared dead, in milliseconds. */
const SUSPICION_MS = 3_000

/** Added to the suspicion for each doubling of the members, as updates take longer to spread, in milliseconds. */
const SUSPICION_PER_DOUBLING_MS = 250

/** Delay between two ticks that indicates a pause of this process, whose duration must not count against other members, in milliseconds. */
const PAUSE_THRESHOLD_MS = 700

/** Time between two probes of dead members, in milliseconds. */
const DEAD_RETRY_MS = 5_000

/** How long a dead member is stored and probed, in milliseconds: longer than network partitions between regions last. */
const DEAD_RETENTION_MS = 2 * 60 * 60 * 1_000

/** Number of listed but unknown hosts that are probed at once. */
const CANDIDATE_PROBES = 16

/** Maximum number of records in a message. */
export const MAX_RECORDS = 24

/** Maximum number of records from the update queue in a message; urgent ones may fill the message. */
const MAX_UPDATES = 8

/** Number of hosts to which urgent updates are sent at once, without waiting for the next probe. */
const URGENT_FANOUT = 3

/** Time between two rounds of urgent updates of one host, in milliseconds. */
const URGENT_PERIOD_MS = 400

/** Maximum number of hosts that are probed at the same time because they were reported silent. */
const MAX_REPORTED_PROBES = 8

/** How often an update is sent, for each doubling of the members. */
const TRANSMISSIONS_PER_DOUBLING = 3

/** Maximum number of tracked probes that were forwarded for other hosts. */
const MAX_FORWARDED = 64

/** Kinds of events that a membership processes. */
export enum MembershipEventKind {
  /** Time has passed. Expected several times in each probe period. */
  Tick = 'tick',
  /** A message from another member has arrived. */
  Message = 'message',
  /** The platform's list of hosts has been read. */
  Candidates = 'candidates',
  /** This host accepts no new work from now on. */
  Leave = 'leave',
  /** Another host has not answered a request in time. */
  Silence = 'silence'
}

export type MembershipEvent =
  | { readonly kind: MembershipEventKind.Tick }
  | { readonly kind: MembershipEventKind.Message, readonly message: MembershipMessage }
  | { readonly kind: MembershipEventKind.Candidates, readonly hosts: readonly Host[] }
  | { readonly kind: MembershipEventKind.Leave }
  | { readonly kind: MembershipEventKind.Silence, readonly hostId: string }

/** Kinds of effects that a membership requests. */
export enum MembershipEffectKind {
  Send = 'send',
  /** The members have changed. */
  Changed = 'changed'
}

export type MembershipEffect =
  | { readonly kind: MembershipEffectKind.Send, readonly to: Host, readonly message: MembershipMessage }
  | { readonly kind: MembershipEffectKind.Changed }

/** Counters since the start of a membership. */
export interface MembershipCounters {
  probes: number
  /** Probes of hosts that were reported silent, included in `probes`. */
  reportedProbes: number
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
 * SWIM-style membership of one host, without I/O: probes, suspicion, refutation,
 * and updates piggybacked on the probes.
 *
 * Invariants: this host is one of its own members, never as suspect or dead. Only
 * the host itself increments its incarnation. Within an incarnation a state only
 * advances, in the order alive, suspect, leaving, dead. Each host declares a member
 * dead by itself, after a suspicion; a record of a death from another host only
 * starts a suspicion, so that the two sides of a healed network partition don't
 * declare each other's members dead.
 *
 * @example
 * const membership = new Membership(self, Date.now(), Math.random, performance.now())
 * for (const effect of membership.step({ kind: MembershipEventKind.Tick }, performance.now())) carryOut(effect)
 */
export class Membership {
  readonly counters: MembershipCounters = { probes: 0, reportedProbes: 0, suspicions: 0, refutations: 0, deaths: 0 }
  readonly #random: () => number
  readonly #ringProbes: number
  readonly #table = new MemberTable()
  readonly #updates = new GossipQueue()
  readonly #probeOrder: ProbeOrder
  readonly #candidates = new Map<string, Host>()
  readonly #forwarded = new Map<number, ForwardedProbe>()
  #self: MemberRecord
  /** Probes without an acknowledgement yet, by the host. */
  readonly #pendingProbes = new Map<string, PendingProbe>()
  /** Monotonic milliseconds before which a report starts no further probe, by the host. */
  readonly #nextReportAt = new Map<string, number>()
  /** Hosts whose suspicion has begun or ended and that were not sent as urgent updates yet. */
  readonly #urgent = new Set<string>()
  #nextUrgentAt = -Infinity
  #sequence = 1
  #nextProbeAt: number
  #nextDeadRetryAt: number
  #lastTickAt: number
  #effects: MembershipEffect[] = []

  /**
   * @param self this host
   * @param incarnation higher than that of earlier processes of the host, such as the wall-clock time of the start
   * @param random source of numbers in [0, 1)
   * @param now monotonic milliseconds
   * @param ringProbes number of hosts that follow this one in a ring and are probed in each period, besides one at random.
   * Random probes alone may miss a host for long: of 60 hosts, the last one noticed a crash after up to 6 s, and the crash of 20 after 15.7 s.
   */
  constructor (self: Host, incarnation: number, random: () => number, now: number, ringProbes = 0) {
    this.#ringProbes = ringProbes
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

  /** Number of listed hosts that have not answered yet. */
  get unansweredCandidates (): number {
    return this.#candidates.size
  }

  /** Returns all members in any state, including this host. */
  members (): MemberRecord[] {
    return this.#table.all().map((member) => member.record)
  }

  find (hostId: string): MemberRecord | undefined {
    return this.#table.get(hostId)?.record
  }

  /** Whether a host is suspected, by this host or through gossip, or has been declared dead. */
  isSuspected (hostId: string): boolean {
    const member = this.#table.get(hostId)
    return member !== undefined && (member.suspectedUntil !== undefined || member.record.state === HostState.Dead)
  }

  /** Picks random members that are not dead, without this host. */
  pickOtherHosts (count: number): Host[] {
    return this.#pickHosts(this.#liveOtherIds(), count)
  }

  /** Composes a message that carries updates only and needs no answer. */
  composeGossip (host: Host): Extract<MembershipEffect, { kind: MembershipEffectKind.Send }> {
    return this.#compose(host, { kind: MembershipMessageKind.Gossip })
  }

  /** Processes one event and returns the effects to carry out. */
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
      case MembershipEventKind.Silence:
        this.#probeReported(event.hostId, now)
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
    for (const probe of [...this.#pendingProbes.values()]) this.#finishProbe(probe, now)
    this.#sendUrgent(now)
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

  /** Extends suspicions by a pause of this process, because acknowledgements may have arrived unread in that time. */
  #extendSuspicions (gap: number, now: number): void {
    this.#pendingProbes.clear()
    this.#nextProbeAt = now
    for (const member of this.#table.all()) {
      if (member.suspectedUntil === undefined) continue
      this.#table.set({ ...member, suspectedUntil: Math.max(member.suspectedUntil + gap, now + SUSPICION_MS) })
    }
  }

  /** Declares members dead whose suspicion has expired, and removes members after the retention of dead ones. */
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
    const followers = this.#ringProbes === 0 ? [] : nextInRing(this.#self.host.id, this.#responsiveOtherIds(), this.#ringProbes)
    for (const target of new Set([...followers, ...(hostId === undefined ? [] : [hostId])])) {
      if (!this.#pendingProbes.has(target)) this.#startProbe(target, now)
    }
  }

  #startProbe (hostId: string, now: number): void {
    const target = this.#table.get(hostId)
    if (target === undefined) return
    const sequence = this.#sequence++
    this.counters.probes += 1
    this.#pendingProbes.set(hostId, { hostId, sequence, indirectAt: now + DIRECT_TIMEOUT_MS, deadline: now + PROBE_TIMEOUT_MS, indirect: false })
    this.#send(target.record.host, { kind: MembershipMessageKind.Ping, sequence })
  }

  /** Probes a host that left a request of this host unanswered, at most once in each probe period. */
  #probeReported (hostId: string, now: number): void {
    if (hostId === this.#self.host.id || this.#table.get(hostId) === undefined || this.isSuspected(hostId)) return
    for (const [reported, nextAt] of this.#nextReportAt) {
      if (now >= nextAt) this.#nextReportAt.delete(reported)
    }
    if (this.#pendingProbes.has(hostId) || this.#nextReportAt.has(hostId) || this.#nextReportAt.size >= MAX_REPORTED_PROBES) return
    this.#nextReportAt.set(hostId, now + PROBE_PERIOD_MS)
    this.counters.reportedProbes += 1
    this.#startProbe(hostId, now)
  }

  #finishProbe (probe: PendingProbe, now: number): void {
    if (!probe.indirect && now >= probe.indirectAt) {
      probe.indirect = true
      this.#probeIndirectly(probe)
    }
    if (now < probe.deadline) return
    this.#pendingProbes.delete(probe.hostId)
    this.#suspect(probe.hostId, now)
  }

  /** Sends suspicions that have begun or ended to some hosts, without waiting for the next probe. */
  #sendUrgent (now: number): void {
    if (this.#urgent.size === 0 || now < this.#nextUrgentAt) return
    this.#nextUrgentAt = now + URGENT_PERIOD_MS
    const sent = this.#pickHosts(this.#responsiveOtherIds(), URGENT_FANOUT).map((host) => this.#compose(host, { kind: MembershipMessageKind.Gossip }, undefined, MAX_RECORDS))
    this.#effects.push(...sent)
    const carried = sent.flatMap(({ message }) => message.records).filter(({ host }) => this.#urgent.delete(host.id))
    // What no message carries any more has spread with the probes.
    if (sent.length > 0 && carried.length === 0) this.#urgent.clear()
  }

  #probeIndirectly (probe: PendingProbe): void {
    const target = this.#table.get(probe.hostId)
    if (target === undefined) return
    const helpers = this.#responsiveOtherIds().filter((hostId) => hostId !== probe.hostId)
    for (const helper of this.#pickHosts(helpers, INDIRECT_PROBES)) {
      this.#send(helper, { kind: MembershipMessageKind.PingRequest, sequence: probe.sequence, target: target.record.host })
    }
  }

  #suspect (hostId: string, now: number): void {
    const member = this.#table.get(hostId)
    if (member === undefined || member.record.state === HostState.Dead) return
    this.#probeOrder.moveToFront(hostId)
    if (member.suspectedUntil !== undefined) return
    const state = member.record.state === HostState.Leaving ? HostState.Leaving : HostState.Suspect
    this.#urgent.add(hostId)
    this.#storeMember({ record: { ...member.record, state }, suspectedUntil: now + this.#suspicionMs() })
    this.counters.suspicions += 1
  }

  /** Pings listed hosts that are not members yet. */
  #probeCandidates (): void {
    for (const host of shuffled([...this.#candidates.values()], this.#random).slice(0, CANDIDATE_PROBES)) {
      this.#send(host, { kind: MembershipMessageKind.Ping, sequence: this.#sequence++ })
    }
  }

  /** Pings one dead member, so that regions find each other after a network partition. */
  #probeDead (): void {
    const dead = this.#table.idsWhere((member) => member.record.state === HostState.Dead)
    for (const host of this.#pickHosts(dead, 1)) this.#send(host, { kind: MembershipMessageKind.Ping, sequence: this.#sequence++ })
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

  /** Changes this host's own record and sends it to some hosts at once. */
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
    for (const probe of this.#pendingProbes.values()) {
      if (probe.sequence === sequence) this.#pendingProbes.delete(probe.hostId)
    }
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
    if ((merged.suspectedUntil === undefined) !== (held?.suspectedUntil === undefined)) this.#urgent.add(record.host.id)
    this.#storeMember(merged)
    // On average a constant number of hosts probes at once, whatever the cluster size, so that a false suspicion is refuted before it expires.
    const startsSuspicion = merged.suspectedUntil !== undefined && held?.suspectedUntil === undefined
    if (startsSuspicion && this.#random() * this.#table.all().length < INDIRECT_PROBES) this.#probeOrder.moveToFront(record.host.id)
  }

  /** Refutes a wrong record of this host with a higher incarnation. */
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

  /** Ids of the members that may be probed or asked to probe: all others that are not dead. */
  #liveOtherIds (): string[] {
    return this.#table.idsWhere(({ record }) => record.state !== HostState.Dead && record.host.id !== this.#self.host.id)
  }

  /** Ids of the other members that are neither dead nor suspected. */
  #responsiveOtherIds (): string[] {
    return this.#liveOtherIds().filter((hostId) => !this.isSuspected(hostId))
  }

  #pickHosts (hostIds: readonly string[], count: number): Host[] {
    return shuffled(hostIds, this.#random).slice(0, count).flatMap((hostId) => this.find(hostId)?.host ?? [])
  }

  #memberDoublings (): number {
    return Math.log2(this.#table.all().length + 1)
  }

  #suspicionMs (): number {
    return SUSPICION_MS + SUSPICION_PER_DOUBLING_MS * this.#memberDoublings()
  }

  /** Sends a message with updates and, if the receiver's digest is known, with the records that differ. */
  #send (to: Host, message: MessageHead, receiverDigest?: readonly number[]): void {
    this.#effects.push(this.#compose(to, message, receiverDigest))
  }

  #compose (to: Host, message: MessageHead, receiverDigest?: readonly number[], maxUpdates = MAX_UPDATES): Extract<MembershipEffect, { kind: MembershipEffectKind.Send }> {
    const gossip: MembershipGossip = { self: this.#self, records: this.#selectRecords(to.id, receiverDigest, maxUpdates), digest: [...this.#table.digest] }
    return { kind: MembershipEffectKind.Send, to, message: { ...message, ...gossip } }
  }

  #selectRecords (toId: string, receiverDigest: readonly number[] | undefined, maxUpdates: number): MemberRecord[] {
    const records = new Map<string, MemberRecord>()
    // A host always receives its own record if it isn't alive, since only the host itself can refute it.
    const receiver = this.#table.get(toId)
    if (receiver?.suspectedUntil !== undefined) records.set(toId, { ...receiver.record, state: HostState.Suspect })
    else if (receiver !== undefined && receiver.record.state !== HostState.Alive) records.set(toId, receiver.record)
    const transmissions = Math.ceil(TRANSMISSIONS_PER_DOUBLING * this.#memberDoublings())
    for (const hostId of this.#updates.take(maxUpdates, transmissions)) {
      const record = this.find(hostId)
      if (record !== undefined && hostId !== this.#self.host.id && !records.has(hostId)) records.set(hostId, record)
    }
    const differing = receiverDigest === undefined ? [] : shuffled(this.#table.differingRecords(receiverDigest), this.#random)
    for (const record of differing) {
      if (records.size >= MAX_RECORDS) break
      if (record.host.id !== this.#self.host.id && !records.has(record.host.id)) records.set(record.host.id, record)
    }
    return [...records.values()]
  }
}

/** The part of a message that is specific to its kind, without the gossip. */
type MessageHead =
  | { readonly kind: MembershipMessageKind.Ping, readonly sequence: number }
  | { readonly kind: MembershipMessageKind.PingRequest, readonly sequence: number, readonly target: Host }
  | { readonly kind: MembershipMessageKind.Ack, readonly sequence: number }
  | { readonly kind: MembershipMessageKind.Gossip }
