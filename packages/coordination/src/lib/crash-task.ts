import { CrashCount, crashCollectors, CrashRecords, crashSources, digest, MAX_CRASHES, notRun, RefusalReason } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { CrashRecord, EndpointEntry, Host, Refusal, RequestIdentity } from '@cyclamenthread/state'
import type { CrashRecordMessage } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { PlainCall } from './plain-call.js'

/** Period of asking another host for the requests that are held back, in milliseconds. */
const READ_PERIOD_MS = 1_000

/** Timeout of such a request, in milliseconds. */
const READ_TIMEOUT_MS = 500

/** Number of crashes from which all hosts learn of them. */
const MIN_SHARED_CRASHES = MAX_CRASHES - 1

/** Lowest status with which an endpoint says that it failed. */
const FIRST_SERVER_ERROR = 500

/** The parts of a call by which a repetition is recognised. */
export type RepeatableCall = Pick<PlainCall, 'workspace' | 'route' | 'method' | 'path' | 'body'>

/** Holds back calls under which endpoints crash. */
export interface CrashGuard {
  /** Returns why a call may not run now; undefined if it may. */
  assess (call: RepeatableCall): Refusal | undefined
  /** Records that the connection to an endpoint was lost while it ran a call. */
  recordLoss (call: RepeatableCall, entry: EndpointEntry, sentAt: number): void
  /** Records that an endpoint has answered a call; a failure says nothing about whether the call is sound. */
  recordAnswer (call: RepeatableCall, sentAt: number, status: number): void
}

/** A guard for tests whose endpoints don't crash. */
export const NO_CRASHES: CrashGuard = { assess: () => undefined, recordLoss: () => {}, recordAnswer: () => {} }

/** Dependencies of a {@link CrashTask}. */
export interface CrashContext {
  readonly self: Pick<Host, 'id'>
  readonly members: Pick<MemberView, 'workers'>
  readonly bus: Pick<MessageBus, 'post' | 'send'>
  readonly log: EventLog
}

/**
 * Shares between hosts under which calls endpoints crashed. Each crash is reported to
 * the collectors, since the same call may come to another host each time. From the
 * second one on every host is told. A host that was down or cut off then learns from
 * others which calls are held back; each host asks a few of its own, so that none is
 * asked by all.
 */
export class CrashTask implements CrashGuard {
  readonly #context: CrashContext
  readonly #records = new CrashRecords()
  readonly #reading = new Periodic(READ_PERIOD_MS, async () => await this.#readHeldRequests())
  #reads = 0

  constructor (context: CrashContext) {
    this.#context = context
  }

  /** Returns the broker service that takes the reports of other hosts. */
  service (): ServiceSchema {
    return taskService('crashes', {
      [PeerMessageKind.ReportCrash]: async ({ record }) => ({ accepted: this.#recordReport(fromMessage(record)) }),
      [PeerMessageKind.ShareCrashes]: async ({ record }) => ({ accepted: this.#records.adopt(fromMessage(record), monotonicNow()) }),
      [PeerMessageKind.ClearCrashes]: async ({ digest: cleared }) => ({ accepted: this.#records.clear(cleared) }),
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

  recordLoss (call: RepeatableCall, { id, bornAt }: EndpointEntry, sentAt: number): void {
    const identity = identityOf(call)
    const crash = { incarnation: `${id}@${bornAt}`, sentAt, lostAt: monotonicNow() }
    const { log } = this.#context
    const outcome = this.#records.record(identity, crash)
    log.record(LogEvent.CrashSuspected, { digest: identity.digest, endpoint: id, bornAt, outcome, crashes: this.#incarnationsOf(identity.digest) })
    if (outcome !== CrashCount.Counted) return
    const record = toMessage({ ...identity, crashes: [crash] })
    for (const collector of this.#selectOthers(crashCollectors)) void this.#context.bus.post(collector, { kind: PeerMessageKind.ReportCrash, record })
    this.#share(identity)
  }

  recordAnswer (call: RepeatableCall, sentAt: number, status: number): void {
    if (status >= FIRST_SERVER_ERROR || !this.#mayBeKnown(call)) return
    const { digest: completed } = identityOf(call)
    const crashes = this.#incarnationsOf(completed)
    if (!this.#records.recordCompletion(completed, sentAt)) return
    this.#context.log.record(LogEvent.RequestCleared, { digest: completed, status, crashes })
    for (const host of this.#others()) void this.#context.bus.post(host, { kind: PeerMessageKind.ClearCrashes, digest: completed })
  }

  #incarnationsOf (known: string): string[] {
    return (this.#records.find(known)?.crashes ?? []).map(({ incarnation }) => incarnation)
  }

  /** Whether the digest of a call is worth its time. */
  #mayBeKnown (call: RepeatableCall): boolean {
    return !this.#records.isEmpty && this.#records.hasTarget(targetOf(call))
  }

  #recordReport (reported: CrashRecord): boolean {
    const counted = reported.crashes.filter((crash) => this.#records.record(reported, crash) === CrashCount.Counted)
    if (counted.length > 0) this.#share(reported)
    return counted.length > 0
  }

  /** Sends a record to all hosts, so that each of them holds the request back, or clears the record once it has completed the request. */
  #share ({ digest: shared }: RequestIdentity): void {
    const now = monotonicNow()
    const record = this.#records.find(shared)
    if (record === undefined || record.crashes.length < MIN_SHARED_CRASHES) return
    const until = this.#records.heldUntil(shared, now)
    if (until !== undefined) this.#context.log.record(LogEvent.RequestHeldBack, { digest: shared, target: record.target, crashes: this.#incarnationsOf(shared), holdMs: Math.round(until - now) })
    for (const host of this.#others()) void this.#context.bus.post(host, { kind: PeerMessageKind.ShareCrashes, record: toMessage(record) })
  }

  /** Asks a few hosts in turn, since one that has just started knows nothing yet. */
  async #readHeldRequests (): Promise<void> {
    const sources = this.#selectOthers((hostIds) => crashSources(this.#context.self.id, hostIds))
    const source = sources[this.#reads % Math.max(1, sources.length)]
    this.#reads += 1
    if (source === undefined) return
    const answer = await this.#context.bus.send(source, { kind: PeerMessageKind.ReadHeldRequests }, { deadline: deadlineAfter(READ_TIMEOUT_MS) })
    if (!answer.ok) return
    for (const record of answer.value.records) this.#records.adopt(fromMessage(record), monotonicNow())
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

function toMessage ({ target, digest: identified, crashes }: CrashRecord): CrashRecordMessage {
  const now = monotonicNow()
  return { target, digest: identified, crashes: crashes.map(({ incarnation, sentAt, lostAt }) => ({ incarnation, sentAgeMs: now - sentAt, lostAgeMs: now - lostAt })) }
}

function fromMessage ({ target, digest: identified, crashes }: CrashRecordMessage): CrashRecord {
  const now = monotonicNow()
  return { target, digest: identified, crashes: crashes.map(({ incarnation, sentAgeMs, lostAgeMs }) => ({ incarnation, sentAt: now - sentAgeMs, lostAt: now - lostAgeMs })) }
}
