import { RefusalReason } from '@cyclamenthread/state'
import type { ServerResponse } from 'node:http'
import type { Refusal } from '@cyclamenthread/state'

/** Media type of RFC 9457 problem documents. */
const PROBLEM_MEDIA_TYPE = 'application/problem+json'

/** Prefix of the problem types, which are stable identifiers. */
const PROBLEM_TYPE_PREFIX = 'urn:cyclamenthread:problem:'

const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.BadRequest]: 400,
  [RefusalReason.Unauthorized]: 401,
  [RefusalReason.Forbidden]: 403,
  [RefusalReason.NotFound]: 404,
  [RefusalReason.UnknownEntry]: 404,
  [RefusalReason.UnknownBatch]: 404,
  [RefusalReason.KeyRequired]: 400,
  [RefusalReason.KeyReused]: 422,
  [RefusalReason.InProgress]: 409,
  [RefusalReason.BatchChanged]: 409,
  [RefusalReason.TooLarge]: 413,
  [RefusalReason.Quarantined]: 422,
  [RefusalReason.HeldBack]: 503,
  [RefusalReason.Overloaded]: 503,
  [RefusalReason.LimitReached]: 429,
  [RefusalReason.DeadlineExceeded]: 504,
  [RefusalReason.NoEndpoint]: 503,
  [RefusalReason.NotReady]: 503,
  [RefusalReason.Isolated]: 503,
  [RefusalReason.EndpointFailed]: 502,
  [RefusalReason.OutcomeUnknown]: 503,
  [RefusalReason.StoreUnavailable]: 503,
  [RefusalReason.NotOwner]: 503,
  [RefusalReason.Cancelled]: 499,
  [RefusalReason.Leaving]: 503
}

/**
 * The HTTP status for a refusal reason.
 *
 * @example
 * httpStatusOf(RefusalReason.LimitReached) // 429
 */
export function httpStatusOf (reason: RefusalReason): number {
  return STATUS_BY_REASON[reason]
}

/** Converts a refusal to a problem document. */
export function toProblemDocument (refusal: Refusal, requestId: string): Readonly<Record<string, unknown>> {
  return {
    type: PROBLEM_TYPE_PREFIX + refusal.reason,
    title: refusal.reason.replaceAll('-', ' '),
    status: httpStatusOf(refusal.reason),
    detail: refusal.detail,
    ran: refusal.ran,
    instance: requestId
  }
}

/**
 * Responds with the problem document of a refusal. If the headers were already
 * sent, destroys the response instead.
 *
 * @example
 * sendProblem(response, notRun(RefusalReason.Overloaded, 'the queue is full'), requestId)
 */
export function sendProblem (response: ServerResponse, refusal: Refusal, requestId: string): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  if (refusal.retryAfterMs !== undefined) response.setHeader('retry-after', Math.max(1, Math.ceil(refusal.retryAfterMs / 1000)))
  response.setHeader('x-request-id', requestId)
  sendJson(response, httpStatusOf(refusal.reason), toProblemDocument(refusal, requestId), PROBLEM_MEDIA_TYPE)
}

/** Responds with a JSON document. */
export function sendJson (response: ServerResponse, status: number, body: unknown, type = 'application/json'): void {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-type': type, 'content-length': bytes.length })
  response.end(bytes)
}
