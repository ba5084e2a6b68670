import { notRun, RefusalReason } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { authenticate } from './admission.js'
import { sendJson, sendProblem } from './problem.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ChainedDecision } from '@cyclamenthread/state'
import type { Gateway, RequestContext } from './gateway.js'

/** Maximum time for collecting records from the hosts, in milliseconds. */
const COLLECT_TIMEOUT_MS = 5_000

/** Handles `GET /v1/requests/{id}/decisions`: returns all decisions about a request of the caller's workspace. */
export async function handleReadDecisions (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const caller = authenticate(context, request)
  if (!caller.ok) {
    sendProblem(response, caller.failure, context.requestId)
    return
  }
  const id = decodeURIComponent(new URL(context.url, 'http://local').pathname.split('/')[3] ?? '')
  const deadline = deadlineAfter(COLLECT_TIMEOUT_MS)
  const answers = await Promise.all(gateway.members.workers().map(async (host) => await gateway.bus.send(host, { kind: PeerMessageKind.ReadRequestDecisions, requestId: id }, { deadline, traceparent: context.traceparent })))
  const records = deduplicateRecords(answers.flatMap((answer) => answer.ok ? answer.value.records : []))
    .filter((record) => record.decision.workspace === caller.value.workspace.name)
    .sort((a, b) => a.at - b.at || a.sequence - b.sequence)
  if (records.length === 0) sendProblem(response, notRun(RefusalReason.BadRequest, 'no decision about this request is stored'), context.requestId)
  else sendJson(response, 200, { id, complete: answers.every((answer) => answer.ok), records })
}

/** Removes duplicates: the host that made a decision and the hosts that archive it all return it. */
function deduplicateRecords (records: readonly ChainedDecision[]): ChainedDecision[] {
  return [...new Map(records.map((record) => [`${record.chain}/${record.sequence}`, record])).values()]
}
