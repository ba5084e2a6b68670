import { AdmissionKind, crashCollectors, CrashRecords, crashSources, digest, EARLY_TRIALS_MS, EndpointLife, MAX_CRASHES, MIN_SHARED_SIGHTINGS, NO_TRIALS, notRun, RefusalReason, unreachable } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { TrialGrantKind } from './held-request-store.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Admission, CrashRecord, CrashSighting, EndpointEntry, Host, Refusal, RequestIdentity, TrialState } from '@cyclamenthread/state'
import type { CrashRecordMessage } from '@cyclamenthread/protocol'
import type { EndpointObserver } from './endpoint-witness.js'
import type { EventLog } from './event-log.js'
import type { HeldRequest, HeldRequestStore } from './held-request-store.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { PlainCall } from './plain-call.js'

/** Period of asking another host for the requests that are held back, in milliseconds. */
const READ_PERIOD_MS = 1_000

/** Timeout of such a request, in milliseconds. */
const READ_TIMEOUT_MS = 500

/** Retry delay after a trial that this host did not get, in milliseconds. */
const TRIAL_RETRY_MS = 500

/** Lowest status with which an endpoint says that it failed, which doesn't show that a request is sound. */
const FIRST_SERVER_ERROR = 500

/** The parts of a call by which a repetition is recognised. */
export type RepeatableCall = Pick<PlainCall, 'workspace' | 'route' | 'method' | 'path' | 'body'>

/** Holds back calls under which endpoints crash. */
export interface CrashGuard {
  /** Decides whether a call may run now. */
  admit (call: RepeatableCall): Admission
  /** Takes the next trial of a call that is held back; returns a refusal if another host has taken it. */
  takeTrial (call: RepeatableCall): Promise<Refusal | undefined>
  /** Whether several endpoints gave no more sign while they ran a call; some of them may still run. */
  isSuspected (call: RepeatableCall): boolean
  /** Ids of the endpoints that gave no more sign while they ran a call; some may still be listed. */
  sightedEndpoints (call: RepeatableCall): readonly string[]
  /**
   * Ends a trial.
   *
   * @param mayHaveRun whether an endpoint may have run the call
   */
  endTrial (call: RepeatableCall, mayHaveRun: boolean): void
  /**
   * Records that an endpoint gave no more sign while it ran a call.
   *
   * @param lostAt monotonic milliseconds
   */
  recordLoss (call: RepeatableCall, entry: EndpointEntry, lostAt: number): void
  /**
   * Records that an endpoint has answered a call.
   *
   * @param sentAt monotonic milliseconds
   */
  recordAnswer (call: RepeatableCall, sentAt: number, status: number): void
}

/** A guard for tests whose endpoints don't crash. */
export const NO_CRASHES: CrashGuard = {
  admit: () => ({ kind: AdmissionKind.Free }), takeTrial: async () => undefined, isSuspected: () => false, sightedEndpoints: () => [], endTrial: () => {}, recordLoss: () => {}, recordAnswer: () => {}
}

/** Dependencies of a {@link CrashTask}. */
export interface CrashContext {
  readonly self: Pick<Host, 'id'>
  readonly members: Pick<MemberView, 'workers'>
  readonly bus: Pick<MessageBus, 'post' | 'send'>
  readonly observer: EndpointObserver
  readonly held: Pick<HeldRequestStore, 'create' | 'list' | 'update' | 'takeTrial' | 'returnTrial' | 'remove'>
  readonly log: EventLog
}

/** A trial that this host runs. */
interface OpenTrial {
  readonly before: TrialState
  readonly taken: TrialState
  /** Whether the loss of its endpoint says nothing about the request; undefined if it wasn't lost. */
  readonly isInconclusive: Promise<boolean> | undefined
}

/**
 * Shares between hosts under which calls endpoints crashed. Each sighting is reported
 * to the collectors, since the same call may come to another host each time. Whoever
 * records a second one has the endpoints observed, and tells every host. A host that
 * was down or cut off then learns from others which calls are held back; each host asks
 * a few of its own, so that none is asked by all, and the store if none of them answers.
 *
 * Invariant: of a call that is held back, all hosts together run no more trials than the
 * store has granted.
 */
export class CrashTask implements CrashGuard {
  readonly #context: CrashContext
  readonly #records = new CrashRecords()
  readonly #reading = new Periodic(READ_PERIOD_MS, async () => await this.#readHeldRequests())
  /** Sightings that are being judged, by digest and incarnation. */
  readonly #judging = new Map<string, Promise<EndpointLife>>()
  /** Digests of the requests that this host has stored, and of those that it is storing. */
  readonly #created = new Set<string>()
  readonly #storing = new Set<string>()
  /** Trials that this host runs, by digest. */
  readonly #openTrials = new Map<string, OpenTrial>()
  /** Digests of the requests whose sightings this host judges. */
  readonly #judged = new Set<string>()
  #reads = 0
  #hasReadStore = false

  constructor (context: CrashContext) {
    this.#context = context
  }

  /** Returns the broker service that takes the reports of other hosts. */
  service (): ServiceSchema {
    return taskService('crashes', {
      [PeerMessageKind.ReportCrash]: async ({ record }) => ({ accepted: this.#recordReport(fromMessage(record)) }),
      [PeerMessageKind.ShareCrashes]: async ({ record }) => ({ accepted: this.#adopt(fromMessage(record)) }),
      [PeerMessageKind.ClearCrashes]: async ({ digest: cleared, sentAgeMs }) => ({ accepted: this.#clear(cleared, monotonicNow() - sentAgeMs) }),
      [PeerMessageKind.ReadHeldRequests]: async () => ({ records: this.#records.held().map(toMessage) })
    })
  }

  async start (): Promise<void> {
    await this.#reading.start()
  }

  async stop (): Promise<void> {
    await this.#reading.stop()
  }

  admit (call: RepeatableCall): Admission {
    return this.#mayBeKnown(call) ? this.#records.admit(identityOf(call).digest, monotonicNow()) : { kind: AdmissionKind.Free }
  }

  async takeTrial (call: RepeatableCall): Promise<Refusal | undefined> {
    const { held, log } = this.#context
    const { digest: wanted } = identityOf(call)
    const record = this.#records.find(wanted)
    if (record === undefined) return undefined
    const startedAt = monotonicNow()
    const next = this.#records.trialsAfter(wanted, startedAt)
    // Until the store has answered, this host takes no other trial.
    this.#records.setTrials(wanted, { ...record.trials, lastAt: startedAt })
    const grant = await held.takeTrial(record, next)
    log.record(LogEvent.TrialTaken, { digest: wanted, outcome: grant.kind, trials: next.count, lateTrials: next.lateCount })
    switch (grant.kind) {
      case TrialGrantKind.Granted:
        if (!this.#records.isHeld(wanted)) {
          // The request completed while the store was asked.
          void held.remove(wanted)
          return undefined
        }
        this.#records.setTrials(wanted, next)
        this.#openTrials.set(wanted, { before: record.trials, taken: next, isInconclusive: undefined })
        this.#share(wanted)
        return undefined
      case TrialGrantKind.Taken:
        this.#records.setTrials(wanted, { ...grant.trials, lastAt: startedAt })
        return heldBack(TRIAL_RETRY_MS)
      case TrialGrantKind.Unavailable: return heldBack(TRIAL_RETRY_MS)
      default: return unreachable(grant)
    }
  }

  isSuspected (call: RepeatableCall): boolean {
    return this.#mayBeKnown(call) && (this.#records.find(identityOf(call).digest)?.sightings.length ?? 0) >= MIN_SHARED_SIGHTINGS
  }

  sightedEndpoints (call: RepeatableCall): readonly string[] {
    return this.#records.find(identityOf(call).digest)?.sightings.map(({ endpointId }) => endpointId) ?? []
  }

  endTrial (call: RepeatableCall, mayHaveRun: boolean): void {
    const { digest: tried } = identityOf(call)
    const trial = this.#openTrials.get(tried)
    this.#openTrials.delete(tried)
    if (trial !== undefined) void this.#returnUnlessRun(tried, trial, mayHaveRun)
  }

  recordLoss (call: RepeatableCall, { id, bornAt }: EndpointEntry, lostAt: number): void {
    const identity = identityOf(call)
    const sighting: CrashSighting = { endpointId: id, bornAt, lostAt, isConfirmed: false }
    const { log } = this.#context
    const isNews = this.#records.record(identity, sighting)
    log.record(LogEvent.CrashSuspected, { digest: identity.digest, endpoint: id, bornAt, outcome: isNews ? 'sighted' : 'known', sightings: this.#records.find(identity.digest)?.sightings.length })
    if (!isNews) {
      // The endpoint had ended before the trial.
      this.#setInconclusive(identity.digest, Promise.resolve(true))
      return
    }
    const record = toMessage({ ...identity, sightings: [sighting], trials: NO_TRIALS, isStored: false })
    for (const collector of this.#selectOthers(crashCollectors)) void this.#context.bus.post(collector, { kind: PeerMessageKind.ReportCrash, record })
    this.#share(identity.digest)
    this.#judgeSightings(identity.digest)
    void this.#store(identity.digest)
  }

  recordAnswer (call: RepeatableCall, sentAt: number, status: number): void {
    if (status >= FIRST_SERVER_ERROR || !this.#mayBeKnown(call)) return
    const { digest: completed } = identityOf(call)
    const isStored = this.#records.find(completed)?.isStored === true
    if (!this.#clear(completed, sentAt)) return
    this.#context.log.record(LogEvent.RequestCleared, { digest: completed, status })
    const sentAgeMs = monotonicNow() - sentAt
    for (const host of this.#others()) void this.#context.bus.post(host, { kind: PeerMessageKind.ClearCrashes, digest: completed, sentAgeMs })
    if (isStored) void this.#context.held.remove(completed)
  }

  /** Clears a record, and removes from the store what this host has written there. */
  #clear (cleared: string, sentAt: number): boolean {
    if (!this.#records.recordCompletion(cleared, sentAt)) return false
    if (this.#created.delete(cleared)) void this.#context.held.remove(cleared)
    return true
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
      void this.#store(reported.digest)
    }
    return isNews
  }

  #adopt (shared: CrashRecord): boolean {
    const wasHeld = this.#records.isHeld(shared.digest)
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
      this.#setInconclusive(judged, life.then((known) => known === EndpointLife.Running))
      void life.finally(() => this.#judging.delete(key))
    }
  }

  #setInconclusive (tried: string, isInconclusive: Promise<boolean>): void {
    const trial = this.#openTrials.get(tried)
    if (trial !== undefined) this.#openTrials.set(tried, { ...trial, isInconclusive })
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
    const wasHeld = this.#records.isHeld(identity.digest)
    if (!this.#records.record(identity, { ...sighting, isConfirmed: true })) return
    this.#share(identity.digest)
    if (wasHeld || !this.#records.isHeld(identity.digest)) return
    this.#logHold(identity.digest)
    if (this.#created.has(identity.digest)) {
      const record = this.#records.find(identity.digest)
      if (record !== undefined) void this.#context.held.update(record)
    } else void this.#store(identity.digest)
  }

  /** Stores a record that may hold its request back, so that it outlasts a loss of all hosts before its endpoints are judged. */
  async #store (stored: string): Promise<void> {
    const record = this.#records.find(stored)
    if (record === undefined || record.isStored || record.sightings.length < MAX_CRASHES || this.#storing.has(stored)) return
    this.#storing.add(stored)
    const isStored = await this.#context.held.create(record)
    this.#storing.delete(stored)
    if (!isStored) return
    if (this.#records.find(stored)?.sightings.some(({ lostAt }) => record.sightings.some((one) => one.lostAt === lostAt)) !== true) {
      // The request completed meanwhile.
      void this.#context.held.remove(stored)
      return
    }
    this.#created.add(stored)
    this.#records.setStored(stored)
    this.#share(stored)
  }

  /** Gives a trial back that did not show whether the request crashes endpoints. */
  async #returnUnlessRun (tried: string, { before, taken, isInconclusive }: OpenTrial, mayHaveRun: boolean): Promise<void> {
    if (mayHaveRun && await isInconclusive !== true) return
    const record = this.#records.find(tried)
    if (record === undefined || !this.#records.isHeld(tried) || !await this.#context.held.returnTrial(record, taken, before)) return
    this.#records.setTrials(tried, { ...before, lastAt: taken.lastAt })
    this.#context.log.record(LogEvent.TrialReturned, { digest: tried, trials: before.count, lateTrials: before.lateCount })
  }

  #logHold (held: string): void {
    const record = this.#records.find(held)
    if (record === undefined || !this.#records.isHeld(held)) return
    this.#context.log.record(LogEvent.RequestHeldBack, { digest: held, target: record.target, crashes: record.sightings.map(({ endpointId, bornAt }) => `${endpointId}@${bornAt}`) })
  }

  /** Sends a record to all hosts, so that each of them holds the request back, or clears the record once it has completed the request. */
  #share (shared: string): void {
    const record = this.#records.find(shared)
    if (record === undefined || record.sightings.length < MIN_SHARED_SIGHTINGS) return
    for (const host of this.#others()) void this.#context.bus.post(host, { kind: PeerMessageKind.ShareCrashes, record: toMessage(record) })
  }

  /** Asks a few hosts in turn, since one that has just started knows nothing yet. */
  async #readHeldRequests (): Promise<void> {
    for (const { digest: old } of this.#records.forgetOld(monotonicNow())) {
      this.#created.delete(old)
      void this.#context.held.remove(old)
    }
    for (const open of this.#judged) this.#judgeSightings(open)
    const sources = this.#selectOthers((hostIds) => crashSources(this.#context.self.id, hostIds))
    const source = sources[this.#reads % Math.max(1, sources.length)]
    this.#reads += 1
    const answer = source === undefined ? undefined : await this.#context.bus.send(source, { kind: PeerMessageKind.ReadHeldRequests }, { deadline: deadlineAfter(READ_TIMEOUT_MS) })
    if (answer?.ok === true) for (const record of answer.value.records) this.#adopt(fromMessage(record))
    if (answer?.ok !== true || !this.#hasReadStore) await this.#readStore()
  }

  async #readStore (): Promise<void> {
    const listed = await this.#context.held.list()
    if (!listed.ok) return
    this.#hasReadStore = true
    for (const held of listed.value) {
      this.#adopt(fromStore(held))
      this.#judgeSightings(held.digest)
    }
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

/**
 * Describes why a request that is held back did not run.
 *
 * @example
 * heldBack(500)
 */
export function heldBack (retryAfterMs: number): Refusal {
  return notRun(RefusalReason.HeldBack, `endpoints crashed under this request ${MAX_CRASHES} times`, Math.max(1, Math.ceil(retryAfterMs)))
}

function targetOf ({ workspace, route, method, path }: RepeatableCall): string {
  return JSON.stringify([workspace ?? '', route.host, method, path])
}

function identityOf (call: RepeatableCall): RequestIdentity {
  const target = targetOf(call)
  return { target, digest: digest(target, call.body) }
}

function toMessage ({ target, digest: identified, sightings, trials, isStored }: CrashRecord): CrashRecordMessage {
  const now = monotonicNow()
  return {
    target,
    digest: identified,
    sightings: sightings.map(({ endpointId, bornAt, lostAt, isConfirmed }) => ({ endpointId, bornAt, lostAgeMs: now - lostAt, isConfirmed })),
    trials: { count: trials.count, lateCount: trials.lateCount, ...(trials.count === 0 ? {} : { ageMs: now - trials.lastAt }) },
    isStored
  }
}

function fromMessage ({ target, digest: identified, sightings, trials: { count, lateCount, ageMs }, isStored }: CrashRecordMessage): CrashRecord {
  const now = monotonicNow()
  return {
    target,
    digest: identified,
    sightings: sightings.map(({ endpointId, bornAt, lostAgeMs, isConfirmed }) => ({ endpointId, bornAt, lostAt: now - lostAgeMs, isConfirmed })),
    trials: { count, lateCount, lastAt: ageMs === undefined ? -Infinity : now - ageMs },
    isStored
  }
}

/**
 * The store holds no ages, since the wall clocks of hosts may differ. Waits start anew,
 * and early trials are over.
 */
function fromStore ({ target, digest: identified, crashes, trials }: HeldRequest): CrashRecord {
  const now = monotonicNow()
  return {
    target,
    digest: identified,
    sightings: crashes.map(({ endpointId, bornAt, isConfirmed }) => ({ endpointId, bornAt, lostAt: now - EARLY_TRIALS_MS, isConfirmed })),
    trials: { ...trials, lastAt: now },
    isStored: true
  }
}
