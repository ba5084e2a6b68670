import { crashCollectors, CrashRecords, crashSources, digest, EndpointLife, MAX_CRASHES, MIN_SHARED_SIGHTINGS, notRun, RefusalReason } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { CrashRecord, CrashSighting, EndpointEntry, Host, Refusal, RequestIdentity } from '@cyclamenthread/state'
import type { CrashRecordMessage } from '@cyclamenthread/protocol'
import type { EndpointObserver } from './endpoint-witness.js'
import type { EventLog } from './event-log.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { PlainCall } from './plain-call.js'

/** Period of asking another host for the requests that are held back, in milliseconds. */
const READ_PERIOD_MS = 1_000

/** Timeout of such a request, in milliseconds. */
const READ_TIMEOUT_MS = 500

/** Lowest status with which an endpoint says that it failed, which doesn't show that a request is sound. */
const FIRST_SERVER_ERROR = 500

/** The parts of a call by which a repetition is recognised. */
export type RepeatableCall = Pick<PlainCall, 'workspace' | 'route' | 'method' | 'path' | 'body'>

/** Holds back calls under which endpoints crash. */
export interface CrashGuard {
  /** Returns why a call may not run now; undefined if it may. */
  assess (call: RepeatableCall): Refusal | undefined
  /** Records that an endpoint gave no more sign while it ran a call. */
  recordLoss (call: RepeatableCall, entry: EndpointEntry): void
  /**
   * Records that an endpoint has answered a call.
   *
   * @param sentAt monotonic milliseconds
   */
  recordAnswer (call: RepeatableCall, sentAt: number, status: number): void
}

/** A guard for tests whose endpoints don't crash. */
export const NO_CRASHES: CrashGuard = { assess: () => undefined, recordLoss: () => {}, recordAnswer: () => {} }

/** Dependencies of a {@link CrashTask}. */
export interface CrashContext {
  readonly self: Pick<Host, 'id'>
  readonly members: Pick<MemberView, 'workers'>
  readonly bus: Pick<MessageBus, 'post' | 'send'>
  readonly observer: EndpointObserver
  readonly log: EventLog
}

/**
 * Shares between hosts under which calls endpoints crashed. Each sighting is reported
 * to the collectors, since the same call may come to another host each time. Whoever
 * records a second one has the endpoints observed, and tells every host. A host that
 * was down or cut off then learns from others which calls are held back; each host asks
 * a few of its own, so that none is asked by all.
 */
export class CrashTask implements CrashGuard {
  readonly #context: CrashContext
  readonly #records = new CrashRecords()
  readonly #reading = new Periodic(READ_PERIOD_MS, async () => await this.#readHeldRequests())
  /** Sightings that are being judged, by digest and incarnation. */
  readonly #judging = new Map<string, Promise<EndpointLife>>()
  /** Digests of the requests whose sightings this host judges. */
  readonly #judged = new Set<string>()
  #reads = 0

  constructor (context: CrashContext) {
    this.#context = context
  }

  /** Returns the broker service that takes the reports of other hosts. */
  service (): ServiceSchema {
    return taskService('crashes', {
      [PeerMessageKind.ReportCrash]: async ({ record }) => ({ accepted: this.#recordReport(fromMessage(record)) }),
      [PeerMessageKind.ShareCrashes]: async ({ record }) => ({ accepted: this.#adopt(fromMessage(record)) }),
      [PeerMessageKind.ClearCrashes]: async ({ digest: cleared, sentAgeMs }) => ({ accepted: this.#records.recordCompletion(cleared, monotonicNow() - sentAgeMs) }),
      [PeerMessageKind.ReadHeldRequests]: async () => ({ records: this.#records.held(monotonicNow()).map(toMessage) })
    })
  }

  async start (): Promise<void> {
    await this.#reading.start()
  }

  async stop (): Promise<void> {
    await this.#reading.stop()
  }

  assess (call: RepeatableCall): Refusal | undefined {
    if (!this.#mayBeKnown(call)) return undefined
    const now = monotonicNow()
    const until = this.#records.heldUntil(identityOf(call).digest, now)
    return until === undefined ? undefined : notRun(RefusalReason.HeldBack, `endpoints crashed under this request ${MAX_CRASHES} times`, Math.ceil(until - now))
  }

  recordLoss (call: RepeatableCall, { id, bornAt }: EndpointEntry): void {
    const identity = identityOf(call)
    const sighting: CrashSighting = { endpointId: id, bornAt, lostAt: monotonicNow(), isConfirmed: false }
    const { log } = this.#context
    const isNews = this.#records.record(identity, sighting)
    log.record(LogEvent.CrashSuspected, { digest: identity.digest, endpoint: id, bornAt, outcome: isNews ? 'sighted' : 'known', sightings: this.#records.find(identity.digest)?.sightings.length })
    if (!isNews) return
    const record = toMessage({ ...identity, sightings: [sighting] })
    for (const collector of this.#selectOthers(crashCollectors)) void this.#context.bus.post(collector, { kind: PeerMessageKind.ReportCrash, record })
    this.#share(identity.digest)
    this.#judgeSightings(identity.digest)
  }

  recordAnswer (call: RepeatableCall, sentAt: number, status: number): void {
    if (status >= FIRST_SERVER_ERROR || !this.#mayBeKnown(call)) return
    const { digest: completed } = identityOf(call)
    if (!this.#records.recordCompletion(completed, sentAt)) return
    this.#context.log.record(LogEvent.RequestCleared, { digest: completed, status })
    const sentAgeMs = monotonicNow() - sentAt
    for (const host of this.#others()) void this.#context.bus.post(host, { kind: PeerMessageKind.ClearCrashes, digest: completed, sentAgeMs })
  }

  /** Whether the digest of a call is worth its time. */
  #mayBeKnown (call: RepeatableCall): boolean {
    return !this.#records.isEmpty && this.#records.hasTarget(targetOf(call))
  }

  #recordReport (reported: CrashRecord): boolean {
    const isNews = this.#records.merge(reported, monotonicNow())
    if (isNews) {
      this.#share(reported.digest)
      this.#judgeSightings(reported.digest)
    }
    return isNews
  }

  #adopt (shared: CrashRecord): boolean {
    const wasHeld = this.#isHeld(shared.digest)
    const isNews = this.#records.merge(shared, monotonicNow())
    if (!wasHeld) this.#logHold(shared.digest)
    return isNews
  }

  /** Has the endpoints under a request observed as soon as there are several. */
  #judgeSightings (judged: string): void {
    const record = this.#records.find(judged)
    if (record?.sightings.some(({ isConfirmed }) => !isConfirmed) === true) this.#judged.add(judged)
    else this.#judged.delete(judged)
    if (record === undefined || record.sightings.length < MIN_SHARED_SIGHTINGS) return
    for (const sighting of record.sightings) {
      const key = `${judged}/${sighting.endpointId}@${sighting.bornAt}`
      if (sighting.isConfirmed || this.#judging.has(key)) continue
      const life = this.#judge(record, sighting)
      this.#judging.set(key, life)
      void life.finally(() => this.#judging.delete(key))
    }
  }

  async #judge (identity: RequestIdentity, sighting: CrashSighting): Promise<EndpointLife> {
    const { endpointId, bornAt, lostAt } = sighting
    const life = await this.#context.observer.judge({ endpointId, bornAt }, lostAt)
    if (life === EndpointLife.Running) this.#records.withdraw(identity.digest, endpointId, bornAt)
    // A completion may have cleared the record meanwhile.
    if (life === EndpointLife.Ended && this.#records.find(identity.digest) !== undefined) this.#confirm(identity, sighting)
    return life
  }

  #confirm (identity: RequestIdentity, sighting: CrashSighting): void {
    const wasHeld = this.#isHeld(identity.digest)
    if (!this.#records.record(identity, { ...sighting, isConfirmed: true })) return
    this.#share(identity.digest)
    if (!wasHeld) this.#logHold(identity.digest)
  }

  #logHold (held: string): void {
    const now = monotonicNow()
    const until = this.#records.heldUntil(held, now)
    const record = this.#records.find(held)
    if (record === undefined || until === undefined) return
    this.#context.log.record(LogEvent.RequestHeldBack, { digest: held, target: record.target, crashes: record.sightings.map(({ endpointId, bornAt }) => `${endpointId}@${bornAt}`), holdMs: Math.round(until - now) })
  }

  #isHeld (digestOfRequest: string): boolean {
    return this.#records.heldUntil(digestOfRequest, monotonicNow()) !== undefined
  }

  /** Sends a record to all hosts, so that each of them holds the request back, or clears the record once it has completed the request. */
  #share (shared: string): void {
    const record = this.#records.find(shared)
    if (record === undefined || record.sightings.length < MIN_SHARED_SIGHTINGS) return
    for (const host of this.#others()) void this.#context.bus.post(host, { kind: PeerMessageKind.ShareCrashes, record: toMessage(record) })
  }

  /** Asks a few hosts in turn, since one that has just started knows nothing yet. */
  async #readHeldRequests (): Promise<void> {
    for (const open of this.#judged) this.#judgeSightings(open)
    const sources = this.#selectOthers((hostIds) => crashSources(this.#context.self.id, hostIds))
    const source = sources[this.#reads % Math.max(1, sources.length)]
    this.#reads += 1
    if (source === undefined) return
    const answer = await this.#context.bus.send(source, { kind: PeerMessageKind.ReadHeldRequests }, { deadline: deadlineAfter(READ_TIMEOUT_MS) })
    if (answer.ok) for (const record of answer.value.records) this.#adopt(fromMessage(record))
  }

  #others (): Host[] {
    return this.#context.members.workers().filter(({ id }) => id !== this.#context.self.id)
  }

  /** Selects from all hosts by their ids, and leaves this host out. */
  #selectOthers (select: (hostIds: readonly string[]) => readonly string[]): Host[] {
    const byId = new Map(this.#others().map((host) => [host.id, host]))
    return select([this.#context.self.id, ...byId.keys()]).flatMap((id) => byId.get(id) ?? [])
  }
}

function targetOf ({ workspace, route, method, path }: RepeatableCall): string {
  return JSON.stringify([workspace ?? '', route.host, method, path])
}

function identityOf (call: RepeatableCall): RequestIdentity {
  const target = targetOf(call)
  return { target, digest: digest(target, call.body) }
}

function toMessage ({ target, digest: identified, sightings }: CrashRecord): CrashRecordMessage {
  const now = monotonicNow()
  return { target, digest: identified, sightings: sightings.map(({ endpointId, bornAt, lostAt, isConfirmed }) => ({ endpointId, bornAt, lostAgeMs: now - lostAt, isConfirmed })) }
}

function fromMessage ({ target, digest: identified, sightings }: CrashRecordMessage): CrashRecord {
  const now = monotonicNow()
  return { target, digest: identified, sightings: sightings.map(({ endpointId, bornAt, lostAgeMs, isConfirmed }) => ({ endpointId, bornAt, lostAt: now - lostAgeMs, isConfirmed })) }
}
