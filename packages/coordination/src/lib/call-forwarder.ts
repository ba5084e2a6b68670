import { EndpointReach, isHome, notRun, Ran, RefusalReason } from '@cyclamenthread/state'
import { BreakCause, isFinalStatus, PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, PeerFailure, suspendAwareNow, timeLeft } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { CallOrigin } from './plain-call.js'
import { responsiveWorkers } from './responsive-workers.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { HomeRegions, Host } from '@cyclamenthread/state'
import type { EndpointPort, ForwardCall, ForwardedCall } from '@cyclamenthread/protocol'
import type { DeploymentView } from './deployment-view.js'
import type { EventLog } from './event-log.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { CallOutcome, PlainCall } from './plain-call.js'

/** Maximum number of calls that this host runs for others at once; further ones are refused at once. */
const MAX_FORWARDED_CALLS = 32

/** Number of hosts that are asked to run a call. */
const MAX_HELPERS = 2

/** Time for which a host that didn't take a call is asked last, in milliseconds. */
const HELPER_PAUSE_MS = 2_000

/** Time between two requests for a report while this host is cut off, in milliseconds. */
const PROBE_PERIOD_MS = 500

/** Timeout of such a request, in milliseconds. */
const PROBE_TIMEOUT_MS = 400

/** Retry delay suggested to a caller whose call no other host could take, in milliseconds. */
const RETRY_AFTER_MS = 300

/** Runs a call at this host. */
export type CallRunner = (call: PlainCall) => Promise<CallOutcome>

/** Knows whether this host reaches endpoints, and has calls run elsewhere while it doesn't. */
export interface CallRelay {
  recordReached (): void
  recordUnreached (endpointId: string): void
  /** Whether this host reaches no endpoint. */
  readonly isCutOff: boolean
  /** Whether that is in doubt: several endpoints have given no sign, and none has since. */
  readonly isDoubtful: boolean
  /** Calls back several times a second while this host reaches no endpoint. */
  onCutOff (listener: () => void): void
  /**
   * Has another host run a call; undefined if none can, and a refusal if those asked have too many calls.
   *
   * @param maxAttempts number of endpoints to which it may be sent there
   */
  forward (call: PlainCall, maxAttempts: number): Promise<CallOutcome | undefined>
}

/** The relay of a host that always reaches its endpoints. */
export const NO_RELAY: CallRelay = { recordReached: () => {}, recordUnreached: () => {}, isCutOff: false, isDoubtful: false, onCutOff: () => {}, forward: async () => undefined }

/** Dependencies of a {@link CallForwarder}. */
export interface CallForwarderContext {
  readonly self: Host
  readonly deployment: DeploymentView
  readonly endpoints: Pick<EndpointPort, 'readReport'>
  readonly members: Pick<MemberView, 'workers' | 'isSuspected'>
  readonly bus: Pick<MessageBus, 'send'>
  readonly log: EventLog
}

/**
 * Passes calls on to other hosts while this host reaches no endpoint, and runs
 * those of other hosts.
 *
 * Invariants: a call is passed on at most once, and by no host that got it from another; it is sent to a
 * second host only if the first one didn't take it.
 */
export class CallForwarder implements CallRelay {
  readonly #context: CallForwarderContext
  readonly #reach = new EndpointReach()
  readonly #pausedUntil = new Map<string, number>()
  readonly #cutOffListeners: Array<() => void> = []
  #forwarded = 0
  #isProbing = false

  constructor (context: CallForwarderContext) {
    this.#context = context
  }

  /** Returns the broker service that runs calls of other hosts. */
  service (run: CallRunner): ServiceSchema {
    return taskService('calls', {
      [PeerMessageKind.ForwardCall]: async (message, { signal }) => await this.#runForwarded(message, run, signal)
    })
  }

  get isCutOff (): boolean {
    return this.#reach.isCutOff(monotonicNow())
  }

  get isDoubtful (): boolean {
    return this.#reach.isDoubtful
  }

  onCutOff (listener: () => void): void {
    this.#cutOffListeners.push(listener)
  }

  recordReached (): void {
    this.#reach.recordReached(monotonicNow())
  }

  recordUnreached (endpointId: string): void {
    this.#reach.recordUnreached(endpointId)
    if (this.isDoubtful) void this.#probeUntilReached()
  }

  async forward (call: PlainCall, maxAttempts: number): Promise<CallOutcome | undefined> {
    const { bus, log } = this.#context
    let overload: CallOutcome | undefined
    for (const helper of this.#helpers(call.homes).slice(0, MAX_HELPERS)) {
      const sentAt = monotonicNow()
      const { requestId, route, method, path, headers, body, workspace, continues, homes, deadline, startBefore, signal } = call
      const startLeftMs = startBefore === undefined ? undefined : startBefore - suspendAwareNow()
      if (startLeftMs !== undefined && startLeftMs <= 0) return overload
      const message: ForwardCall = {
        kind: PeerMessageKind.ForwardCall, requestId, host: route.host, method, path, headers: headers.map(([name, value]): [string, string] => [name, value]), body, workspace, continues, ...(homes === undefined ? {} : { homes: [...homes] }), maxAttempts, leftMs: Math.max(0, timeLeft(deadline)), ...(startLeftMs === undefined ? {} : { startLeftMs })
      }
      const reply = await bus.send(helper, message, { deadline, signal })
      const isTaken = reply.ok ? reply.value.ok || reply.value.taken : reply.failure !== PeerFailure.NotSent
      // A host of an earlier build passes on any status of an endpoint.
      const invalidStatus = reply.ok && reply.value.ok && !isFinalStatus(reply.value.status) ? reply.value.status : undefined
      log.record(LogEvent.CallForwarded, { requestId, host: helper.id, cause: invalidStatus === undefined ? undefined : BreakCause.InvalidStatus, ran: invalidStatus === undefined ? undefined : Ran.Maybe, reason: reply.ok && !reply.value.ok ? reply.value.refusal.detail : undefined, isCutOff: this.isCutOff, outcome: !isTaken ? 'not-taken' : reply.ok ? reply.value.ok ? reply.value.status : reply.value.refusal.reason : reply.failure, tookMs: Math.round(monotonicNow() - sentAt) })
      if (!isTaken) {
        this.#pausedUntil.set(helper.id, deadlineAfter(HELPER_PAUSE_MS))
        if (reply.ok && !reply.value.ok && reply.value.refusal.reason === RefusalReason.Overloaded) overload = outcomeOf(reply.value)
        continue
      }
      if (reply.ok && invalidStatus !== undefined) return { ok: false, refusal: { reason: RefusalReason.EndpointFailed, ran: Ran.Maybe, detail: `host ${helper.id} passed on an answer with the invalid status ${invalidStatus}` }, failures: reply.value.failures }
      if (reply.ok) return outcomeOf(reply.value)
      return { ok: false, refusal: { reason: RefusalReason.EndpointFailed, ran: Ran.Maybe, detail: `host ${helper.id} took the call and gave no answer` }, failures: 0 }
    }
    return overload
  }

  /** Returns the other hosts in the homes: first those of other failure domains, since one may be cut off as a whole, in random order. */
  #helpers (homes: HomeRegions): Host[] {
    const { self, members } = this.#context
    const now = monotonicNow()
    const rank = (host: Host): number => ((this.#pausedUntil.get(host.id) ?? 0) > now ? 2 : 0) + (host.failureDomain === self.failureDomain ? 1 : 0)
    return responsiveWorkers(members)
      .filter(({ id, region }) => id !== self.id && isHome(homes, region))
      .map((host) => ({ host, order: rank(host) + Math.random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ host }) => host)
  }

  async #runForwarded (message: ForwardCall, run: CallRunner, signal: AbortSignal): Promise<ForwardedCall> {
    const { requestId, host, method, path, headers, body, workspace, continues, homes, maxAttempts, leftMs, startLeftMs } = message
    const route = this.#context.deployment.routeTable?.findRoute(host, path)
    const notTaken = (reason: RefusalReason, detail: string): ForwardedCall => ({ ok: false, refusal: notRun(reason, detail, RETRY_AFTER_MS), taken: false, failures: 0 })
    if (route === undefined) return notTaken(RefusalReason.NotReady, 'no route matches at the other host')
    if (this.isCutOff) return notTaken(RefusalReason.NoEndpoint, 'the other host reaches no endpoint either')
    if (this.#forwarded >= MAX_FORWARDED_CALLS) return notTaken(RefusalReason.Overloaded, 'the other host runs too many calls for others')
    this.#forwarded += 1
    try {
      const outcome = await run({
        requestId, route: { ...route, maxAttempts: Math.min(route.maxAttempts, maxAttempts) }, origin: CallOrigin.Caller, workspace, method, path, headers, body, ...(continues === undefined ? {} : { continues }), ...(homes === undefined ? {} : { homes }), deadline: deadlineAfter(leftMs), ...(startLeftMs === undefined ? {} : { startBefore: suspendAwareNow() + startLeftMs }), signal, isForwarded: true
      })
      if (!outcome.ok) return { ...outcome, taken: outcome.refusal.reason !== RefusalReason.Leaving && outcome.refusal.reason !== RefusalReason.NoEndpoint }
      return { ...outcome, headers: outcome.headers.map(([name, value]): [string, string] => [name, value]) }
    } finally {
      this.#forwarded -= 1
    }
  }

  /** Asks one endpoint after the other for a report until one answers. */
  async #probeUntilReached (): Promise<void> {
    if (this.#isProbing) return
    this.#isProbing = true
    const { deployment, endpoints, log } = this.#context
    let cutOffSince: number | undefined
    for (let index = 0; this.isDoubtful; index += 1) {
      if (this.isCutOff && cutOffSince === undefined) {
        cutOffSince = monotonicNow()
        log.record(LogEvent.DependencyLost, { dependency: 'endpoints', detail: 'no endpoint is reached; calls and rollouts are passed on to other hosts' })
      }
      if (this.isCutOff) for (const listener of this.#cutOffListeners) listener()
      const records = deployment.endpointTable.endpointsInService()
      const entry = records[index % Math.max(1, records.length)]?.entry
      const report = entry === undefined ? undefined : await endpoints.readReport(entry, deadlineAfter(PROBE_TIMEOUT_MS))
      if (report !== undefined) this.recordReached()
      else await new Promise((resolve) => setTimeout(resolve, PROBE_PERIOD_MS).unref())
    }
    this.#isProbing = false
    if (cutOffSince !== undefined) log.record(LogEvent.DependencyRegained, { dependency: 'endpoints', outMs: Math.round(monotonicNow() - cutOffSince) })
  }
}

function outcomeOf (reply: ForwardedCall): CallOutcome {
  if (!reply.ok) return { ok: false, refusal: reply.refusal, failures: reply.failures }
  const { status, headers, body, signature, origin, failures } = reply
  return { ok: true, status, headers, body, signature, origin, failures }
}
