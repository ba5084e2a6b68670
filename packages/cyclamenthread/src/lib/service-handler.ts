import { EntryKind, notRun, RefusalReason } from '@cyclamenthread/state'
import { deadlineAfter } from '@cyclamenthread/transport'
import { admit } from './admission.js'
import { sendProblem } from './problem.js'
import { readBody } from './request-body.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RecordedAnswer } from '@cyclamenthread/state'
import type { Gateway, RequestContext } from './gateway.js'

/** Path prefix of plain services. */
const SERVICES_PATH = '/v1/services/'

/** Maximum length of an idempotency key, in characters. */
const MAX_IDEMPOTENCY_KEY_CHARACTERS = 255

/** Matches dot segments, which could escape the service's base URL when the path is resolved. */
const DOT_SEGMENT = /^[^?]*\/(\.|%2e){1,2}(\/|\?|$)/i

/** Request headers that are forwarded to endpoints. All others are dropped, in particular credentials. */
const FORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'accept', 'accept-language', 'content-type', 'content-language', 'if-match', 'if-none-match',
  'if-modified-since', 'if-unmodified-since', 'range', 'user-agent', 'idempotency-key', 'prefer'
])

/** Response headers of an endpoint that aren't forwarded: hop-by-hop headers and cookies. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'te', 'trailer', 'upgrade',
  'proxy-authenticate', 'proxy-authorization', 'set-cookie'
])

/** Handles `ANY /v1/services/{entry}/*`. */
export async function handleService (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const target = splitTarget(context.url)
  if (DOT_SEGMENT.test(target.path)) {
    sendProblem(response, notRun(RefusalReason.BadRequest, 'the path must not contain the segments . and ..'), context.requestId)
    return
  }
  const admitted = admit(context, request, target.entry)
  if (!admitted.ok) {
    sendProblem(response, admitted.failure, context.requestId)
    return
  }
  const { caller, entry } = admitted.value
  const idempotencyKey = String(request.headers['idempotency-key'] ?? '')
  if (entry.kind !== EntryKind.Service || idempotencyKey.length > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
    const detail = entry.kind === EntryKind.Service ? `the Idempotency-Key exceeds ${MAX_IDEMPOTENCY_KEY_CHARACTERS} characters` : `${entry.name} is not a service`
    sendProblem(response, notRun(RefusalReason.BadRequest, detail), context.requestId)
    return
  }
  const body = await readBody(request, gateway.settings.maxBodyBytes)
  if (!body.ok) {
    sendProblem(response, body.failure, context.requestId)
    return
  }
  const result = await gateway.services.run({
    requestId: context.requestId,
    workspace: caller.workspace,
    entry,
    method: request.method ?? 'GET',
    path: target.path,
    headers: forwardedHeaders(request),
    body: body.value,
    idempotencyKey,
    deadline: deadlineAfter(entry.timeoutMs),
    traceparent: context.traceparent,
    signal: context.signal
  })
  if (result.ok) sendRecordedAnswer(response, result.answer, result.replayed, context.requestId)
  else sendProblem(response, context.keyWatch.explainRefusal(result.refusal), context.requestId)
}

/** Splits a URL into the entry and the remaining path with its query, exactly as received. */
function splitTarget (url: string): { readonly entry: string, readonly path: string } {
  const rest = url.slice(SERVICES_PATH.length)
  const separator = rest.search(/[/?]/)
  if (separator < 0) return { entry: rest, path: '/' }
  const path = rest.slice(separator)
  return { entry: rest.slice(0, separator), path: path.startsWith('/') ? path : `/${path}` }
}

function forwardedHeaders (request: IncomingMessage): Array<[string, string]> {
  return Object.entries(request.headers).flatMap(([name, value]) => {
    if (!FORWARDED_HEADERS.has(name) || value === undefined) return []
    return [[name, Array.isArray(value) ? value.join(', ') : value] as [string, string]]
  })
}

function sendRecordedAnswer (response: ServerResponse, answer: RecordedAnswer, replayed: boolean, requestId: string): void {
  const headers: Record<string, string> = { 'x-request-id': requestId }
  for (const [name, value] of answer.headers) {
    if (!HOP_BY_HOP_HEADERS.has(name)) headers[name] = value
  }
  if (replayed) headers['idempotent-replayed'] = 'true'
  response.writeHead(answer.status, { ...headers, 'content-length': answer.body.length })
  response.end(answer.body)
}
