import { limitInForce, SEND_GRANT_LIFETIME_MS } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, suspendAwareNow } from '@cyclamenthread/transport'
import { describeCold } from './endpoint-notice-task.js'
import { LogEvent } from './event-log.js'
import { accountKeepers, SendAccountKeeper } from './send-account-keeper.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { EndpointEntry, EndpointLimit, EndpointRecord, Host, SendUrgency } from '@cyclamenthread/state'
import type { SendReply } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Timeout for the answer of a keeper, in milliseconds: a round trip between regions and a delay at a busy host. */
const ASK_TIMEOUT_MS = 250

/** Time for which a keeper that did not answer is passed over, in milliseconds. */
const UNRESPONSIVE_MS = 2_000

/** Time until the keepers are asked again after none of them answered, in milliseconds. */
const UNANSWERED_RETRY_MS = 500

/** Longest time until a keeper that refused is asked again, in milliseconds: others may have given up waiting. */
const MAX_RETRY_MS = 1_000

/** Time after which the grants of an endpoint that nobody asked for are forgotten, in milliseconds. */
const GRANTS_LIFETIME_MS = 60_000

/** Whether a request may be sent to an endpoint. */
export enum SendPermission {
  /** The endpoint names no limit. */
  Unlimited = 'unlimited',
  /** It may be sent, and counts. */
  Granted = 'granted',
  /** A keeper is being asked. */
  Asking = 'asking',
  /** None may be sent now. */
  Denied = 'denied'
}

/** The decision whether a request may be sent to an endpoint. */
export type SendPermit =
  | { readonly kind: SendPermission.Unlimited }
  | {
    readonly kind: SendPermission.Granted
    /** Time after which the request must not begin to be written, in milliseconds by the clock that counts suspends. */
    readonly startBefore: number
  }
  | {
    readonly kind: SendPermission.Asking
    /** Resolves once the keeper has answered. */
    readonly answered: Promise<void>
  }
  | {
    readonly kind: SendPermission.Denied
    /** Monotonic milliseconds at which one may be granted. */
    readonly retryAt: number
  }

/** Decides for all that this host sends to endpoints whether the endpoint's limit allows it. */
export interface SendPermits {
  /**
   * Takes a permit for one request.
   *
   * @param waitMs time for which the request can wait, in milliseconds
   */
  take (record: EndpointRecord, urgency: SendUrgency, waitMs: number): SendPermit
  /** Counts a request that doesn't wait for a permit: an order or a report. */
  charge (record: EndpointRecord): void
  /** Tells the other hosts that an endpoint names no limit any more. */
  reportLifted (entry: EndpointEntry, sentAt: number): void
}

/** Permits for tests and deployments whose endpoints name no limits. */
export const UNLIMITED_SENDS: SendPermits = {
  take: () => ({ kind: SendPermission.Unlimited }),
  charge: () => {},
  reportLifted: () => {}
}

/** Dependencies of a {@link SendPermitTask}. */
export interface SendPermitContext {
  readonly self: Pick<Host, 'id'>
  readonly members: Pick<MemberView, 'workers' | 'members' | 'isSuspected' | 'onChange'>
  readonly bus: Pick<MessageBus, 'post' | 'send'>
  readonly log: EventLog
}

/** What this host holds for one incarnation of a limited endpoint. */
interface EndpointGrants {
  /** Grants that weren't used yet: until when each may be used, in milliseconds by the clock that counts suspends. */
  unused: number[]
  asking: Promise<void> | undefined
  /** Requests for a permit since the keeper was last asked. */
  wanted: number
  /** Urgency of the last request that was denied. */
  deniedUrgency: number
  /** Monotonic milliseconds before which the keeper isn't asked for requests that aren't more urgent. */
  askAt: number
  /** Monotonic milliseconds at which the keeper expects to grant the next request. */
  retryAt: number
  usedAt: number
}

/**
 * Keeps what all hosts send to an endpoint within the limit that the endpoint names, or that of a cold endpoint. Each
 * limited endpoint has an account at one host, which the others ask before they
 * send; two more hosts stand in for it, with a small part of the limit.
 *
 * Invariant: a request to an endpoint that named a limit to this host, or is cold, is written only
 * while an unused grant for that incarnation is valid.
 */
export class SendPermitTask implements SendPermits {
  readonly #context: SendPermitContext
  readonly #keeper: SendAccountKeeper
  readonly #endpoints = new Map<string, EndpointGrants>()
  readonly #unresponsiveUntil = new Map<string, number>()

  constructor (context: SendPermitContext) {
    this.#context = context
    this.#keeper = new SendAccountKeeper(context.self.id, context.members)
  }

  /** Returns the broker service that answers for the accounts that this host keeps. */
  service (): ServiceSchema {
    return taskService('sends', {
      [PeerMessageKind.RequestSends]: async (message, { from }) => this.#keeper.request(from, message),
      [PeerMessageKind.ChargeSends]: async (message) => {
        this.#keeper.charge(message)
        return { accepted: true }
      },
      [PeerMessageKind.ReportLimitLifted]: async (message) => {
        this.#keeper.recordLifted(message, message.ageMs)
        return { accepted: true }
      }
    })
  }

  take (record: EndpointRecord, urgency: SendUrgency, waitMs: number): SendPermit {
    const now = monotonicNow()
    const limit = limitInForce(record, now)
    if (limit === undefined) return { kind: SendPermission.Unlimited }
    const held = this.#grantsOf(record.entry, now)
    const validAt = suspendAwareNow()
    held.unused = held.unused.filter((startBefore) => startBefore > validAt)
    const startBefore = held.unused.shift()
    if (startBefore !== undefined) return { kind: SendPermission.Granted, startBefore }
    held.wanted += 1
    if (held.asking === undefined && (now >= held.askAt || urgency < held.deniedUrgency)) {
      held.asking = this.#ask(held, record, limit, urgency, waitMs).finally(() => {
        held.asking = undefined
      })
    }
    return held.asking === undefined ? { kind: SendPermission.Denied, retryAt: Math.max(held.retryAt, held.askAt) } : { kind: SendPermission.Asking, answered: held.asking }
  }

  charge (record: EndpointRecord): void {
    if (limitInForce(record, monotonicNow()) === undefined) return
    const { id: endpointId, bornAt } = record.entry
    this.#postToKeepers(endpointId, 1, { kind: PeerMessageKind.ChargeSends, endpointId, bornAt })
  }

  reportLifted ({ id: endpointId, bornAt }: EndpointEntry, sentAt: number): void {
    this.#postToKeepers(endpointId, Infinity, { kind: PeerMessageKind.ReportLimitLifted, endpointId, bornAt, ageMs: monotonicNow() - sentAt })
  }

  #postToKeepers (endpointId: string, most: number, message: Parameters<MessageBus['post']>[1]): void {
    for (const keeper of accountKeepers(endpointId, this.#context.members.workers()).slice(0, most)) void this.#context.bus.post(keeper, message)
  }

  #grantsOf (entry: EndpointEntry, now: number): EndpointGrants {
    const key = `${entry.id}@${entry.bornAt}`
    const known = this.#endpoints.get(key)
    if (known !== undefined) {
      known.usedAt = now
      return known
    }
    for (const [other, { usedAt }] of this.#endpoints) {
      if (now - usedAt > GRANTS_LIFETIME_MS) this.#endpoints.delete(other)
    }
    const held: EndpointGrants = { unused: [], asking: undefined, wanted: 0, deniedUrgency: -Infinity, askAt: -Infinity, retryAt: -Infinity, usedAt: now }
    this.#endpoints.set(key, held)
    return held
  }

  /** Returns the keepers of an endpoint's account that aren't suspected, or all if all are. */
  #keepersToAsk (endpointId: string): readonly Host[] {
    const { members } = this.#context
    const keepers = accountKeepers(endpointId, members.workers())
    const responsive = keepers.filter(({ id }) => !members.isSuspected(id))
    return responsive.length > 0 ? responsive : keepers
  }

  /** Asks the first keeper that answers for as many grants as are wanted. */
  async #ask (held: EndpointGrants, record: EndpointRecord, limit: EndpointLimit, urgency: SendUrgency, waitMs: number): Promise<void> {
    const { entry } = record
    const askedAt = monotonicNow()
    const grantsEnd = suspendAwareNow() + SEND_GRANT_LIFETIME_MS
    const count = held.wanted
    held.wanted = 0
    const message = {
      kind: PeerMessageKind.RequestSends as const,
      endpointId: entry.id,
      bornAt: entry.bornAt,
      requestsPerSecond: limit.requestsPerSecond,
      ageMs: Math.max(0, askedAt - limit.namedAt),
      urgency,
      count,
      waitMs,
      ...(limit.cold === undefined ? {} : { cold: { requestsPerSecond: limit.cold.requestsPerSecond, leftMs: Math.max(0, limit.cold.until - askedAt) } })
    }
    let reply: SendReply | undefined
    let answeredBy: string | undefined
    for (const keeper of this.#keepersToAsk(entry.id)) {
      if ((this.#unresponsiveUntil.get(keeper.id) ?? 0) > monotonicNow()) continue
      const answer = await this.#context.bus.send(keeper, message, { deadline: deadlineAfter(ASK_TIMEOUT_MS) })
      if (answer.ok) {
        reply = answer.value
        answeredBy = keeper.id
        break
      }
      this.#unresponsiveUntil.set(keeper.id, deadlineAfter(UNRESPONSIVE_MS))
    }
    const now = monotonicNow()
    if (reply?.lifted === true) record.requestLimit.apply({ requestsPerSecond: undefined, sentAt: now, receivedAt: now })
    const { granted = 0, retryAfterMs = UNANSWERED_RETRY_MS } = reply ?? {}
    // Counted from before the keeper was asked: its answer may be processed late.
    for (let index = 0; index < granted; index += 1) held.unused.push(grantsEnd)
    held.deniedUrgency = granted < count ? urgency : -Infinity
    held.retryAt = now + retryAfterMs
    held.askAt = now + Math.min(retryAfterMs, MAX_RETRY_MS)
    this.#context.log.record(LogEvent.SendsRequested, {
      endpoint: entry.id,
      keeper: answeredBy,
      limit: limit.requestsPerSecond,
      limitAgeMs: Math.round(askedAt - limit.namedAt),
      ...describeCold(limit, askedAt),
      urgency,
      wanted: count,
      granted,
      heldBack: count - granted,
      retryAfterMs: Math.round(retryAfterMs),
      outcome: reply === undefined ? 'unanswered' : reply.lifted ? 'lifted' : granted > 0 ? 'granted' : 'denied',
      tookMs: Math.round(now - askedAt)
    })
  }
}
