import { randomUUID, createHash, timingSafeEqual } from 'node:crypto'
import { notRun, RefusalReason } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import * as z from 'zod'
import { readBearerToken } from './admission.js'
import { sendJson, sendProblem } from './problem.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Gateway } from './gateway.js'

/** Maximum time for collecting records from the hosts, in milliseconds. */
const COLLECT_TIMEOUT_MS = 5_000

/** Maximum number of decision records in one response. */
const MAX_PAGE_SIZE = 5_000

const pageSchema = z.object({
  after: z.coerce.number().int().nonnegative().default(0),
  limit: z.coerce.number().int().positive().max(MAX_PAGE_SIZE).default(1_000)
})

type Handler = (gateway: Gateway, response: ServerResponse, url: URL) => Promise<void> | void

/**
 * Creates the routes of the operator API. Without an operator token in the
 * settings there are no routes, so no request can pass authentication.
 *
 * @param gateway the gateway that serves the routes
 * @example
 * const aliases = { ...createOperatorAliases(gateway) }
 */
export function createOperatorAliases (gateway: Gateway): Readonly<Record<string, unknown>> {
  const token = gateway.settings.operatorToken
  if (token === undefined) return {}
  const route = (handler: Handler) => async (request: IncomingMessage & { readonly originalUrl?: string }, response: ServerResponse): Promise<void> => {
    if (!isSameToken(readBearerToken(request), token)) {
      sendProblem(response, notRun(RefusalReason.Unauthorized, 'the operator token is required as a bearer token'), randomUUID())
      return
    }
    await handler(gateway, response, new URL(request.originalUrl ?? request.url ?? '/', 'http://local'))
  }
  return {
    'GET operator/v1/status': route(handleStatus),
    'POST operator/v1/drain': route(handleDrain),
    'GET operator/v1/requests/:id/decisions': route(handleRequestDecisions),
    'GET operator/v1/decisions': route(handleDecisions)
  }
}

/** Compares digests in constant time, so that timing reveals neither the content nor the length of the token. */
function isSameToken (given: string, expected: string): boolean {
  const digestOf = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digestOf(given), digestOf(expected))
}

function handleStatus (gateway: Gateway, response: ServerResponse): void {
  sendJson(response, 200, {
    hostId: gateway.settings.hostId,
    catalogueRevision: gateway.catalogue.current()?.revision ?? 0,
    running: gateway.running,
    hosts: gateway.members.members().map(({ host, state }) => {
      const { id, region, failureDomain, callerUrl } = host
      return { id, region, failureDomain, callerUrl, state }
    })
  })
}

/** Starts the drain only after the response was sent, because the drain closes the server. */
function handleDrain (gateway: Gateway, response: ServerResponse): void {
  response.on('finish', () => gateway.leave())
  sendJson(response, 202, { hostId: gateway.settings.hostId, leaving: true })
}

/** Returns the decisions about a request of any workspace, collected from all working hosts. */
async function handleRequestDecisions (gateway: Gateway, response: ServerResponse, url: URL): Promise<void> {
  const requestId = decodeURIComponent(url.pathname.split('/')[4] ?? '')
  const deadline = deadlineAfter(COLLECT_TIMEOUT_MS)
  const answers = await Promise.all(gateway.members.workers().map(async (host) => {
    return await gateway.bus.send(host, { kind: PeerMessageKind.ReadRequestDecisions, requestId }, { deadline })
  }))
  const records = answers.flatMap((answer) => answer.ok ? answer.value.records : [])
  records.sort((a, b) => a.at - b.at || a.sequence - b.sequence)
  sendJson(response, 200, { complete: answers.every((answer) => answer.ok), records })
}

/** Returns a page of this host's decision chain. */
async function handleDecisions (gateway: Gateway, response: ServerResponse, url: URL): Promise<void> {
  const page = pageSchema.safeParse(Object.fromEntries(url.searchParams))
  if (!page.success) {
    sendProblem(response, notRun(RefusalReason.BadRequest, page.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`).join('; ')), randomUUID())
    return
  }
  sendJson(response, 200, { complete: true, records: await gateway.decisions.readPage(page.data.after, page.data.limit) })
}
