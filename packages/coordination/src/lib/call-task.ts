import { AdmissionKind, describeHomes, domainsOfHomes, drawService, endsInTime, intersectHomes, isInDomains, isInService, isOfVersion, isSameIncarnation, notRun, Ran, RefusalReason, RouteKind, roundTripMs, unreachable, WorkEnd } from '@cyclamenthread/state'
import { BreakCause, EndpointReplyKind } from '@cyclamenthread/protocol'
import { monotonicNow, openDeadlineScope, suspendAwareNow, toSuspendAware } from '@cyclamenthread/transport'
import { heldBack } from './crash-task.js'
import { describeLimit } from './endpoint-notice-task.js'
import { DEFAULT_CALL_MS, EndpointSearch, SearchEnd } from './endpoint-search.js'
import { LogEvent } from './event-log.js'
import { CallOrigin } from './plain-call.js'
import type { EndpointRecord, HomeRegions, Refusal, StreamOrigin, UsageTally } from '@cyclamenthread/state'
import type { EndpointPort, EndpointReply } from '@cyclamenthread/protocol'
import type { ConnectionUse } from '@cyclamenthread/transport'
import type { CallRelay } from './call-forwarder.js'
import type { CrashGuard } from './crash-task.js'
import type { EndpointNotices } from './endpoint-notice-task.js'
import type { EndpointQuery, EndpointSearchContext } from './endpoint-search.js'
import type { EventLog } from './event-log.js'
import type { CallOutcome, PlainCall } from './plain-call.js'

/** Multiple of its usual duration after which a call is also sent to a second endpoint. */
const HEDGE_FACTOR = 3

/** Minimum delay before a call is sent to a second endpoint, in milliseconds. */
const MIN_HEDGE_DELAY_MS = 120

/** Time without an answer after which an endpoint counts as silent, in milliseconds: many times the usual time of a call. */
const SILENT_MS = 400

/** Number of endpoints that a call, or this host of late, couldn't reach after which the call may be passed on to another host. */
const MAX_UNREACHED = 2

/** Number of rejections by endpoints after which a call is refused. */
const MAX_REJECTIONS = 4

/** Delay before another endpoint is chosen while none accepts the call, in milliseconds. */
const ENDPOINT_RETRY_MS = 25

/** Retry delay suggested to a caller whose call no endpoint could accept, in milliseconds: about the time of a restart. */
const RETRY_AFTER_MS = 400

/** Retry delay suggested to a caller whose call this host won't be able to answer, in milliseconds: another host serves it at once. */
const LEAVING_RETRY_AFTER_MS = 20

/** Fraction of the time to the deadline after which a call that no endpoint accepts is refused. */
const MAX_WAIT_SHARE = 0.25

/** Lowest status code that marks an answer as a failure of the endpoint. */
const FIRST_SERVER_ERROR = 500

/** Status with which an endpoint states that it ran the call and failed. */
const FAILURE_STATUS = 500

/** Dependencies of a {@link CallTask}. */
export interface CallContext extends EndpointSearchContext {
  readonly endpoints: EndpointPort
  readonly notices: EndpointNotices
  readonly relay: CallRelay
  readonly crashes: CrashGuard
  readonly tally: UsageTally
  readonly log: EventLog
}

/** One attempt of a call at one endpoint. */
interface CallAttempt {
  readonly record: EndpointRecord
  readonly abort: AbortController
  readonly sentAt: number
  /** When the attempt was written, the time that it stated to be left, and the connection that carried it; undefined until then. */
  written: { readonly at: number, readonly leftMs: number | undefined, readonly connectionUse: ConnectionUse | undefined } | undefined
}

/** The reply to one attempt. */
interface ReceivedReply {
  readonly attempt: CallAttempt
  readonly reply: EndpointReply
}

/** State of a call in progress. */
interface CallState {
  call: PlainCall
  readonly service: string
  /** Monotonic milliseconds after which the call is refused if no endpoint accepts it. */
  readonly refuseAt: number
  readonly excluded: Set<string>
  /** Endpoints to which no connection could be opened. */
  readonly unreached: Set<string>
  readonly openAttempts: Set<CallAttempt>
  /** Replies that were received and not processed yet. */
  readonly arrived: ReceivedReply[]
  /** Resolves the current wait for a reply. */
  wake: () => void
  attempts: number
  rejections: number
  /** Answers of 500. */
  failures: number
  mayHaveRun: boolean
  counted: boolean
  isForwarded: boolean
  /** Whether no endpoint has a place for the call while this host has lost connections to several. */
  isStarved: boolean
  /** Whether this is the single run of a call that is held back. */
  isTrial: boolean
  lastFailure: AnsweredAttempt | undefined
}

/** The answer of an endpoint, and what is known about the endpoint. */
interface AnsweredAttempt {
  readonly reply: Extract<EndpointReply, { kind: EndpointReplyKind.Answer }>
  readonly origin: StreamOrigin | undefined
}

/**
 * Routes plain calls to endpoints: chooses an endpoint, retries at another one
 * after a failure as far as the route allows, and hedges by sending the call to
 * a second endpoint when the first one is slow to answer.
 *
 * Invariants: a call runs at no more endpoints than its route allows; a
 * non-idempotent call is sent again only after an endpoint reported that it did
 * not run it; a refusal says "not run" only if no endpoint can have run the call; a
 * stream that is taken up goes on only at the service and software version that began it.
 */
export class CallTask {
  readonly #context: CallContext
  readonly #search: EndpointSearch
  /** Calls without an outcome. */
  readonly #running = new Set<CallState>()
  /** Monotonic milliseconds at which this host stops. */
  #endsAt = Infinity

  constructor (context: CallContext) {
    this.#context = context
    this.#search = new EndpointSearch(context)
  }

  /**
   * Takes no more calls that may outlast this host, and ends the others before it stops.
   *
   * @param endsAt monotonic milliseconds
   */
  stopAt (endsAt: number): void {
    this.#endsAt = endsAt
  }

  /** Runs a call until it has an outcome. */
  async run (requested: PlainCall): Promise<CallOutcome> {
    const startedAt = monotonicNow()
    const { kind } = requested.route
    const service = requested.continues?.service ?? drawService(requested.route, Math.random())
    const typicalMs = this.#context.deployment.endpointTable.typicalPace(service, DEFAULT_CALL_MS, startedAt)
    if (!endsInTime({ kind, deadline: requested.deadline, typicalMs }, this.#endsAt, startedAt)) {
      return { ok: false, refusal: notRun(RefusalReason.Leaving, 'this host stops before the call is sure to end', LEAVING_RETRY_AFTER_MS), failures: 0 }
    }
    const deadline = Math.min(requested.deadline, this.#endsAt)
    // The timer of the deadline may be late.
    const call = { ...requested, deadline, startBefore: Math.min(requested.startBefore ?? Infinity, toSuspendAware(deadline)) }
    const state: CallState = {
      call,
      service,
      refuseAt: startedAt + (call.deadline - startedAt) * MAX_WAIT_SHARE,
      excluded: new Set(),
      unreached: new Set(),
      openAttempts: new Set(),
      arrived: [],
      wake: () => {},
      attempts: 0,
      rejections: 0,
      failures: 0,
      mayHaveRun: false,
      counted: false,
      isForwarded: call.isForwarded === true,
      isStarved: false,
      isTrial: false,
      lastFailure: undefined
    }
    const scope = openDeadlineScope(call.deadline, call.signal)
    let outcome: CallOutcome | undefined
    this.#running.add(state)
    try {
      outcome = await this.#runToOutcome(state, scope.signal)
      return outcome
    } finally {
      this.#running.delete(state)
      scope.close()
      this.#recordSilence(state)
      // A call that another endpoint has answered is sound.
      if (outcome?.ok !== true) for (const { record, sentAt } of silentAttempts(state)) this.#context.crashes.recordLoss(call, record.entry, sentAt)
      if (state.isTrial) this.#context.crashes.endTrial(call, outcome?.ok === true || outcome?.refusal.ran !== Ran.No)
      for (const attempt of state.openAttempts) attempt.abort.abort()
    }
  }

  /** Whether an endpoint of a service has a slot for a reward request now. */
  hasRoomForReward (service: string): boolean {
    return this.#search.hasRoom(service, CallOrigin.Reward)
  }

  async #runToOutcome (state: CallState, signal: AbortSignal): Promise<CallOutcome> {
    signal.addEventListener('abort', () => state.wake(), { once: true })
    while (!signal.aborted) {
      const forwarded = this.#mayForward(state) ? await this.#forward(state) : undefined
      if (forwarded !== undefined) return forwarded
      if (state.call.isForwarded === true && isUnsent(state) && lacksConnections(state)) {
        return { ok: false, refusal: notRun(RefusalReason.NoEndpoint, 'this host lacks connections to endpoints as well', RETRY_AFTER_MS), failures: state.failures }
      }
      if (state.openAttempts.size === 0 && state.arrived.length === 0) {
        const refusal = await this.#admit(state) ?? this.#startAttempt(state)
        if (refusal !== undefined) return state.lastFailure === undefined ? { ok: false, refusal, failures: state.failures } : outcomeOf(state.lastFailure, state.failures)
      }
      await this.#waitForReply(state, signal)
      const next = state.arrived.shift()
      if (next === undefined) continue
      const outcome = this.#decideOutcome(state, next.attempt, next.reply)
      if (outcome !== undefined) return outcome
    }
    return { ok: false, refusal: this.#deadlineRefusal(state), failures: state.failures }
  }

  /**
   * Whether the call should run at another host: this one reaches no endpoint, or too few for it, and the call
   * may be sent once more. Open connections may live on while new ones are refused, so that a host which gets
   * answers can still lack connections.
   */
  #mayForward (state: CallState): boolean {
    const { call, isForwarded, arrived } = state
    if (isForwarded || arrived.length > 0 || attemptsLeft(state) <= 0) return false
    return (isUnsent(state) || call.route.kind === RouteKind.Idempotent) && (this.#context.relay.isCutOff || lacksConnections(state))
  }

  async #forward (state: CallState): Promise<CallOutcome | undefined> {
    state.isForwarded = true
    const outcome = await this.#context.relay.forward({ ...state.call, homes: this.#homesOf(state) }, attemptsLeft(state))
    const mayHaveRun = state.mayHaveRun || state.openAttempts.size > 0
    if (outcome === undefined || outcome.ok || outcome.refusal.ran !== Ran.No || !mayHaveRun) return outcome
    return { ...outcome, refusal: { reason: RefusalReason.EndpointFailed, ran: Ran.Maybe, detail: outcome.refusal.detail } }
  }

  /** Homes of a call by the declaration in force now, and by the host that passed it on. */
  #homesOf ({ call }: CallState): HomeRegions {
    const declared = this.#context.deployment.routeTable?.homesOf(call.route, call.workspace) ?? call.route.homes
    return intersectHomes(declared, call.homes)
  }

  /** Records the endpoints that have left this call without a sign for long. */
  #recordSilence (state: CallState): void {
    for (const { record } of silentAttempts(state)) this.#context.relay.recordUnreached(record.entry.id)
  }

  /** Returns a refusal if the call is held back and gets no trial. */
  async #admit (state: CallState): Promise<Refusal | undefined> {
    const { crashes } = this.#context
    const admission = crashes.admit(state.call)
    if (state.isTrial || admission.kind === AdmissionKind.Free) return undefined
    const isUnsent = state.attempts === 0 && !state.mayHaveRun
    const isDue = admission.kind === AdmissionKind.TrialDue
    const refusal = isUnsent && isDue ? await crashes.takeTrial(state.call) : heldBack(isDue ? 0 : admission.retryAt - monotonicNow())
    if (refusal !== undefined) return state.mayHaveRun ? { reason: RefusalReason.EndpointFailed, ran: Ran.Maybe, detail: refusal.detail } : refusal
    state.isTrial = true
    for (const id of crashes.sightedEndpoints(state.call)) state.excluded.add(id)
    // A trial that another call takes down with its endpoint says nothing, and the next one may be seconds away.
    for (const { call, openAttempts } of this.#running) {
      if (openAttempts.size > 0 && crashes.isSuspected(call)) for (const { record } of openAttempts) state.excluded.add(record.entry.id)
    }
    state.call = { ...state.call, route: { ...state.call.route, maxAttempts: 1 } }
    return undefined
  }

  /** Sends the call to another endpoint; returns a refusal if no further attempt is possible or allowed. */
  #startAttempt (state: CallState): Refusal | undefined {
    const { deployment } = this.#context
    if (state.attempts >= state.call.route.maxAttempts || (state.mayHaveRun && state.call.route.kind !== RouteKind.Idempotent)) {
      return { reason: RefusalReason.EndpointFailed, ran: Ran.Maybe, detail: `no complete answer after ${state.attempts} attempts` }
    }
    if (state.call.startBefore !== undefined && suspendAwareNow() >= state.call.startBefore) return this.#deadlineRefusal(state)
    const softwareVersion = state.call.continues?.softwareVersion
    const homes = this.#homesOf(state)
    const domains = domainsOfHomes(homes, this.#context.networkLocation.regions)
    const found = this.#search.find(queryOf(state, domains))
    switch (found.end) {
      case SearchEnd.Found:
        this.#send(state, found.record, found.startBefore)
        return undefined
      case SearchEnd.Asking:
        void found.answered.then(() => state.wake())
        if (monotonicNow() < state.refuseAt) return undefined
        break
      case SearchEnd.Limited: return this.#limitRefusal(state, found.retryAt - monotonicNow())
      case SearchEnd.None: break
      default: return unreachable(found)
    }
    const now = monotonicNow()
    const isLate = now >= state.refuseAt
    const endpoints = deployment.endpointTable.endpointsOfService(state.service).filter((one) => isOfVersion(one, softwareVersion) && isInDomains(one, domains))
    // Neither a call with homes nor one whose endpoints are evacuated is kept waiting for an endpoint that is out of service.
    const listed = endpoints.filter((one) => homes === undefined ? !one.isEvacuated : isInService(one)).length
    state.isStarved = endpoints.filter(({ brokenUntil }) => now < brokenUntil).length >= MAX_UNREACHED
    if (listed > 0 && !isLate && state.rejections < MAX_REJECTIONS) {
      state.excluded.clear()
      return undefined
    }
    const where = homes === undefined ? '' : ` in its homes (${describeHomes(homes)})`
    const detail = listed === 0 ? `service ${state.service} has no endpoint${softwareVersion === undefined ? '' : ` of software version ${softwareVersion}`}${where}` : `no endpoint of service ${state.service}${where} accepts calls`
    return state.mayHaveRun
      ? { reason: RefusalReason.EndpointFailed, ran: Ran.Maybe, detail }
      : notRun(listed === 0 ? RefusalReason.NoEndpoint : RefusalReason.Overloaded, detail, RETRY_AFTER_MS)
  }

  /** Refuses a call because of the limits that the endpoints of its service name. */
  #limitRefusal (state: CallState, retryAfterMs: number): Refusal {
    const detail = `the endpoints of service ${state.service} accept no more requests than the limits that they name`
    return state.mayHaveRun
      ? { reason: RefusalReason.EndpointFailed, ran: Ran.Maybe, detail }
      : notRun(RefusalReason.Overloaded, detail, Math.ceil(Math.max(retryAfterMs, 1)))
  }

  #send (state: CallState, record: EndpointRecord, startBefore: number): void {
    const { call } = state
    const { endpointTable } = this.#context.deployment
    const abort = new AbortController()
    const sentAt = monotonicNow()
    state.attempts += 1
    state.isStarved = false
    state.excluded.add(record.entry.id)
    endpointTable.startWork(record.entry.id)
    const attempt: CallAttempt = { record, abort, sentAt, written: undefined }
    state.openAttempts.add(attempt)
    const reply = this.#context.endpoints.sendRequest({
      endpoint: record.entry,
      requestId: call.requestId,
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body,
      workspace: call.workspace,
      deadline: call.deadline,
      startBefore: startBefore === Infinity ? call.startBefore : Math.min(startBefore, call.startBefore ?? Infinity),
      onWrite: (leftMs, connectionUse) => {
        attempt.written = { at: monotonicNow(), leftMs, connectionUse }
      },
      signal: abort.signal
    })
    void reply.then((value) => this.#recordReply(state, attempt, value))
    this.#context.log.record(LogEvent.RequestSent, {
      requestId: call.requestId,
      route: call.route.name,
      endpoint: record.entry.id,
      attempt: state.attempts,
      load: endpointTable.currentLoad(record, sentAt),
      ...describeLimit(record, sentAt),
      paceMs: record.paceMs === undefined ? undefined : Math.round(record.paceMs),
      declaration: this.#context.deployment.routeTable?.declaration.version,
      declarationAgeMs: Math.round(this.#context.deployment.declarationAgeMs)
    })
  }

  /** Waits for a reply, the end of the call, or the time to hedge or to choose an endpoint again. */
  async #waitForReply (state: CallState, signal: AbortSignal): Promise<void> {
    if (state.arrived.length > 0 || signal.aborted) return
    const mayHedge = state.call.route.kind === RouteKind.Idempotent && state.attempts < state.call.route.maxAttempts && state.openAttempts.size === 1
    let timer: NodeJS.Timeout | undefined
    await new Promise<void>((resolve) => {
      state.wake = resolve
      if (state.openAttempts.size === 0) timer = setTimeout(resolve, ENDPOINT_RETRY_MS)
      else if (mayHedge) timer = setTimeout(resolve, this.#hedgeDelayMs(state))
    })
    clearTimeout(timer)
    const shouldHedge = mayHedge && state.arrived.length === 0 && !signal.aborted
    if (shouldHedge) {
      this.#recordSilence(state)
      this.#startHedge(state)
    }
  }

  /** Sends a copy of the call to a second endpoint. */
  #startHedge (state: CallState): void {
    const { startBefore } = state.call
    if (startBefore !== undefined && suspendAwareNow() >= startBefore) return
    if (this.#context.crashes.admit(state.call).kind !== AdmissionKind.Free) return
    const record = this.#search.findForCopy(queryOf(state, domainsOfHomes(this.#homesOf(state), this.#context.networkLocation.regions)))
    if (record === undefined) state.excluded.clear()
    else this.#send(state, record, Infinity)
  }

  /** Time until the call is sent to a second endpoint, in milliseconds. */
  #hedgeDelayMs (state: CallState): number {
    const [attempt] = state.openAttempts
    if (attempt === undefined) return ENDPOINT_RETRY_MS
    const { endpointTable } = this.#context.deployment
    const now = monotonicNow()
    const hedgeAfterMs = endpointTable.estimatedPace(attempt.record, DEFAULT_CALL_MS, now) * HEDGE_FACTOR + roundTripMs(this.#context.networkLocation, attempt.record.entry.failureDomain)
    const delayMs = attempt.sentAt + Math.max(hedgeAfterMs, MIN_HEDGE_DELAY_MS) - now
    return delayMs > 0 ? delayMs : ENDPOINT_RETRY_MS
  }

  /** Reports the end of an attempt to the endpoint table, also if the call no longer waits for it. */
  #recordReply (state: CallState, attempt: CallAttempt, reply: EndpointReply): void {
    state.arrived.push({ attempt, reply })
    state.wake()
    const { endpointTable } = this.#context.deployment
    const { entry } = attempt.record
    const now = monotonicNow()
    state.openAttempts.delete(attempt)
    this.#recordReach(state, attempt, reply)
    this.#recordCrash(state, attempt, reply)
    if (reply.kind !== EndpointReplyKind.NotSent && reply.notice !== undefined) this.#context.notices.record(entry, { ...reply.notice, sentAt: attempt.sentAt, receivedAt: now })
    const end = attempt.abort.signal.aborted ? WorkEnd.Cancelled : workEndOf(reply)
    endpointTable.finishWork(entry.id, entry.bornAt, end, now)
    if (reply.kind === EndpointReplyKind.Answer) {
      endpointTable.recordPace(entry.id, now - attempt.sentAt, now)
      endpointTable.recordAnswer(entry.id, entry.bornAt, attempt.sentAt)
    }
    if ((reply.kind === EndpointReplyKind.Answer || reply.kind === EndpointReplyKind.NotRun) && reply.load !== undefined) endpointTable.recordLoad(entry.id, reply.load, now)
    if (reply.kind === EndpointReplyKind.Answer && !state.counted && state.call.workspace !== undefined) {
      state.counted = true
      this.#context.tally.countRequest(state.call.workspace, Date.now() - (now - attempt.sentAt))
    }
  }

  /** Records whether the endpoint may have crashed under the call. */
  #recordCrash ({ call }: CallState, { record: { entry }, abort, sentAt }: CallAttempt, reply: EndpointReply): void {
    const { crashes } = this.#context
    if (reply.kind === EndpointReplyKind.Answer) crashes.recordAnswer(call, sentAt, reply.status)
    const isLost = reply.kind === EndpointReplyKind.Broken && reply.sent && reply.cause === undefined
    if (isLost && !abort.signal.aborted) crashes.recordLoss(call, entry, monotonicNow())
  }

  #recordReach (state: CallState, { record: { entry }, abort }: CallAttempt, reply: EndpointReply): void {
    const { relay } = this.#context
    switch (reply.kind) {
      case EndpointReplyKind.Answer:
      case EndpointReplyKind.NotRun:
        relay.recordReached()
        return
      case EndpointReplyKind.Broken:
        if (abort.signal.aborted) return
        if (!reply.sent) state.unreached.add(entry.id)
        relay.recordUnreached(entry.id)
        return
      case EndpointReplyKind.NotSent: return
      default: unreachable(reply)
    }
  }

  /** Returns the outcome of the call if this reply decides it. */
  #decideOutcome (state: CallState, attempt: CallAttempt, reply: EndpointReply): CallOutcome | undefined {
    this.#context.log.record(LogEvent.RequestEnded, {
      requestId: state.call.requestId,
      endpoint: attempt.record.entry.id,
      outcome: reply.kind,
      tookMs: Math.round(monotonicNow() - attempt.sentAt),
      writtenAfterMs: attempt.written === undefined ? undefined : Math.round(attempt.written.at - attempt.sentAt),
      statedLeftMs: attempt.written?.leftMs,
      excessMs: attempt.written?.leftMs === undefined ? undefined : Math.round(attempt.written.at + attempt.written.leftMs - state.call.deadline),
      status: reply.kind === EndpointReplyKind.Answer || reply.kind === EndpointReplyKind.NotRun ? reply.status : undefined,
      detail: reply.kind === EndpointReplyKind.Broken ? reply.detail : undefined,
      ...describeBreak(reply),
      ...attempt.written?.connectionUse
    })
    switch (reply.kind) {
      case EndpointReplyKind.Answer: {
        const answered = { reply, origin: this.#originOf(attempt) }
        const isJoinable = state.call.continues === undefined || answered.origin !== undefined
        if (reply.status < FIRST_SERVER_ERROR && isJoinable) return outcomeOf(answered, state.failures)
        if (reply.status === FAILURE_STATUS) state.failures += 1
        state.mayHaveRun = true
        if (reply.status >= FIRST_SERVER_ERROR) state.lastFailure = answered
        return undefined
      }
      case EndpointReplyKind.NotRun:
        state.attempts -= 1
        state.rejections += 1
        return undefined
      case EndpointReplyKind.NotSent:
        state.attempts -= 1
        return undefined
      case EndpointReplyKind.Broken:
        if (reply.sent) state.mayHaveRun = true
        else state.attempts -= 1
        return undefined
      default: return unreachable(reply)
    }
  }

  /** Returns what answered an attempt, unless another incarnation may have done so. */
  #originOf ({ record: { entry } }: CallAttempt): StreamOrigin | undefined {
    const current = this.#context.deployment.endpointTable.find(entry.id)?.entry
    if (current !== undefined && !isSameIncarnation(entry, current)) return undefined
    return { service: entry.service, softwareVersion: entry.softwareVersion }
  }

  #deadlineRefusal (state: CallState): Refusal {
    if (state.mayHaveRun || state.openAttempts.size > 0) return { reason: RefusalReason.DeadlineExceeded, ran: Ran.Maybe, detail: 'no answer before the deadline' }
    return notRun(RefusalReason.DeadlineExceeded, 'no endpoint accepted the call before its deadline', RETRY_AFTER_MS)
  }
}

/** Attempts that their endpoints have left without a sign for long. */
function silentAttempts ({ openAttempts }: CallState): CallAttempt[] {
  const silentSince = monotonicNow() - SILENT_MS
  return [...openAttempts].filter(({ sentAt }) => sentAt <= silentSince)
}

function queryOf ({ call, service, excluded, refuseAt }: CallState, domains: ReadonlySet<string> | undefined): EndpointQuery {
  return { service, origin: call.origin, softwareVersion: call.continues?.softwareVersion, excluded, waitUntil: refuseAt, domains }
}

function outcomeOf ({ reply: { status, headers, body, signature }, origin }: AnsweredAttempt, failures: number): CallOutcome {
  return { ok: true, status, headers, body, signature, origin, failures }
}

/** Describes why an answer broke, and whether its request may have run; if so, work that runs at most once is not retried. */
function describeBreak (reply: EndpointReply): { readonly cause?: BreakCause | undefined, readonly ran?: Ran } {
  return reply.kind === EndpointReplyKind.Broken ? { cause: reply.cause, ran: reply.sent ? Ran.Maybe : Ran.No } : {}
}

function workEndOf (reply: EndpointReply): WorkEnd {
  switch (reply.kind) {
    case EndpointReplyKind.Answer: return WorkEnd.Finished
    case EndpointReplyKind.NotRun: return WorkEnd.Refused
    case EndpointReplyKind.NotSent: return WorkEnd.Cancelled
    case EndpointReplyKind.Broken: return reply.cause === BreakCause.Overrun ? WorkEnd.Overrun : WorkEnd.Broken
    default: return unreachable(reply)
  }
}

/** Number of endpoints at which a call may still run; attempts that reached no endpoint aren't counted. */
function attemptsLeft ({ call, attempts }: CallState): number {
  return call.route.maxAttempts - attempts
}

/** Whether no endpoint can have got the call, nor will one. */
function isUnsent ({ mayHaveRun, openAttempts, arrived }: CallState): boolean {
  return !mayHaveRun && openAttempts.size === 0 && arrived.length === 0
}

/** Whether the call has met that this host can open no connections. */
function lacksConnections ({ isStarved, unreached }: CallState): boolean {
  return isStarved || unreached.size >= MAX_UNREACHED
}
