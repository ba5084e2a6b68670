import { LogEvent } from './event-log.js'
import type { EndpointEntry, EndpointRecord, NoticeEvidence } from '@cyclamenthread/state'
import type { DeploymentView } from './deployment-view.js'
import type { EventLog, LogFields } from './event-log.js'
import type { SendPermits } from './send-permit-task.js'

/** Dependencies of {@link recordNotice}. */
interface NoticeContext {
  readonly deployment: Pick<DeploymentView, 'endpointTable'>
  readonly sends: Pick<SendPermits, 'reportLifted'>
  readonly log: EventLog
}

/**
 * Records what an endpoint states about itself with an answer, and logs a change.
 *
 * @example
 * recordNotice(context, entry, { requestsPerSecond: 1.2, sentAt, receivedAt: monotonicNow() })
 */
export function recordNotice ({ deployment, sends, log }: NoticeContext, entry: EndpointEntry, evidence: NoticeEvidence): void {
  const previous = deployment.endpointTable.find(entry.id)?.requestLimit.current
  if (!deployment.endpointTable.recordNotice(entry.id, entry.bornAt, evidence)) return
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

/**
 * Describes the request limit of an endpoint for the log line of a send: the limit, since when
 * this host knows one, and the age of the answer that named it last.
 *
 * @example
 * log.record(LogEvent.SampleSent, { requestId, ...describeLimit(record, monotonicNow()) })
 */
export function describeLimit ({ requestLimit: { current } }: EndpointRecord, now: number): LogFields {
  return current === undefined ? {} : { limit: current.requestsPerSecond, limitKnownMs: Math.round(now - current.since), limitAgeMs: Math.round(now - current.namedAt) }
}
