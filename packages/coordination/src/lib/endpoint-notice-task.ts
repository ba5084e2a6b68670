import { limitInForce } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { LogEvent } from './event-log.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { EndpointEntry, EndpointLimit, EndpointRecord, Host, NoticeEvidence } from '@cyclamenthread/state'
import type { DeploymentView } from './deployment-view.js'
import type { EventLog, LogFields } from './event-log.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { SendPermits } from './send-permit-task.js'

/** Takes what endpoints state about themselves. */
export interface EndpointNotices {
  /** Records what an endpoint states with an answer. */
  record (entry: EndpointEntry, evidence: NoticeEvidence): void
  /** Records that an endpoint has said that it is leaving. */
  recordLeaving (entry: EndpointEntry): void
}

/** Notices for tests whose endpoints state nothing. */
export const IGNORED_NOTICES: EndpointNotices = { record: () => {}, recordLeaving: () => {} }

/** Dependencies of an {@link EndpointNoticeTask}. */
export interface EndpointNoticeContext {
  readonly self: Pick<Host, 'id'>
  readonly deployment: Pick<DeploymentView, 'endpointTable'>
  readonly sends: Pick<SendPermits, 'reportLifted'>
  readonly members: Pick<MemberView, 'workers'>
  readonly bus: Pick<MessageBus, 'post'>
  readonly log: EventLog
}

/**
 * Records what endpoints state about themselves with their answers: their request limits, and that
 * they are leaving. The latter is also passed on to the other hosts, each of which
 * would learn it from its own next answer.
 */
export class EndpointNoticeTask implements EndpointNotices {
  readonly #context: EndpointNoticeContext

  constructor (context: EndpointNoticeContext) {
    this.#context = context
  }

  /** Returns the broker service that takes what other hosts heard. */
  service (): ServiceSchema {
    return taskService('endpoints', {
      [PeerMessageKind.ReportEndpointLeaving]: async ({ endpointId, bornAt }, { from }) => {
        const { deployment, log } = this.#context
        const accepted = deployment.endpointTable.recordLeaving(endpointId, bornAt)
        if (accepted) log.record(LogEvent.EndpointLeaving, { endpoint: endpointId, outcome: 'reported', from })
        return { accepted }
      }
    })
  }

  record (entry: EndpointEntry, evidence: NoticeEvidence): void {
    const { deployment: { endpointTable }, sends, log } = this.#context
    if (evidence.leaving === true) this.recordLeaving(entry)
    const previous = endpointTable.find(entry.id)?.requestLimit.current
    if (!endpointTable.recordNotice(entry.id, entry.bornAt, evidence)) return
    if (evidence.requestsPerSecond === undefined) sends.reportLifted(entry, evidence.sentAt)
    log.record(LogEvent.EndpointLimited, {
      endpoint: entry.id,
      service: entry.service,
      outcome: evidence.requestsPerSecond === undefined ? 'lifted' : previous === undefined ? 'named' : 'changed',
      limit: evidence.requestsPerSecond,
      previous: previous?.requestsPerSecond,
      heldMs: previous === undefined ? undefined : Math.round(evidence.receivedAt - previous.since)
    })
  }

  recordLeaving ({ id: endpointId, bornAt, service, phase }: EndpointEntry): void {
    const { self, deployment, members, bus, log } = this.#context
    if (!deployment.endpointTable.recordLeaving(endpointId, bornAt)) return
    for (const host of members.workers()) {
      if (host.id !== self.id) void bus.post(host, { kind: PeerMessageKind.ReportEndpointLeaving, endpointId, bornAt })
    }
    log.record(LogEvent.EndpointLeaving, { endpoint: endpointId, service, phase, outcome: 'heard' })
  }
}

/**
 * Describes the request limit of an endpoint for the log line of a send: the limit, that of a cold endpoint included, since when
 * this host knows one, and the age of the answer that named it last.
 *
 * @example
 * log.record(LogEvent.SampleSent, { requestId, ...describeLimit(record, monotonicNow()) })
 */
export function describeLimit (record: EndpointRecord, now: number): LogFields {
  const current = limitInForce(record, now)
  if (current === undefined) return {}
  return { limit: current.requestsPerSecond, limitKnownMs: Math.round(now - current.since), limitAgeMs: Math.round(now - current.namedAt), ...describeCold(current, now) }
}

/**
 * Describes why an endpoint counts as cold, for a log line; empty if it doesn't.
 *
 * @example
 * log.record(LogEvent.SendsRequested, { ...describeCold(limit, monotonicNow()) })
 */
export function describeCold ({ cold }: EndpointLimit, now: number): LogFields {
  return cold === undefined ? {} : { cold: cold.reason, coldLeftMs: Math.round(cold.until - now) }
}
