import { request } from 'undici'
import * as z from 'zod'
import { openDeadlineScope, PoolAgent, resettingConnect, withDeadline } from '@cyclamenthread/transport'
import { CompletionPartKind } from './completion.js'
import { createLeasedBody } from './leased-body.js'
import { failedBeforeSending } from './failed-before-sending.js'
import { describeInvalidStatus, isInvalidStatus, rejectInvalidStatuses } from './response-status.js'
import type { Endpoint } from '@cyclamenthread/state'
import type { CompletionPart, CompletionResumption } from './completion.js'

/** Timeout for connecting to an endpoint, in milliseconds. */
const CONNECT_TIMEOUT_MS = 10_000

/** Maximum number of connections to one endpoint. */
const MAX_CONNECTIONS_PER_ENDPOINT = 128

const chunkSchema = z.object({
  id: z.string(),
  choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullable().optional() })).optional(),
  weight_version: z.int().optional(),
  tokens: z.int().nonnegative().optional(),
  usage: z.object({ prompt_tokens: z.int().nonnegative(), completion_tokens: z.int().nonnegative() }).optional()
})

/** A completion request to an engine. */
export interface CompletionCall {
  readonly requestId: string
  readonly prompt: string
  readonly maxTokens: number
  /** Output to continue from; only the text after it is streamed. */
  readonly resume?: CompletionResumption
  readonly traceparent: string
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  readonly signal?: AbortSignal
}

/** A call of a plain service, already reduced to the headers that an endpoint may see. */
export interface ServiceCall {
  readonly method: string
  readonly path: string
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  readonly deadline: number
  readonly signal?: AbortSignal
}

/** The load that an engine reports about itself; it lags behind the actual load. */
const loadReportSchema = z.object({
  running: z.int().nonnegative(),
  waiting: z.int().nonnegative(),
  version: z.int().nonnegative(),
  /** Age of the measurement when the engine sent it, in milliseconds. */
  ageMs: z.number().nonnegative().default(0)
})

export type LoadReport = z.infer<typeof loadReportSchema>

const cacheEventsSchema = z.object({
  events: z.array(z.object({ sequence: z.int().positive(), kind: z.enum(['stored', 'evicted']), prefix: z.string() }))
})

/** One change of an engine's prefix cache. Changes arrive with a delay; a gap in the sequence means that changes were lost. */
export type CacheChange = z.infer<typeof cacheEventsSchema>['events'][number]

const resumptionSchema = z.object({ text: z.string(), tokens: z.int().nonnegative(), kv: z.string() })

/** Kinds of orders that endpoints accept. */
export enum EndpointOrderKind {
  LoadWeights = 'load-weights'
}

/** An order to one endpoint, with the fencing token of the lease under which it is sent. */
export interface EndpointOrder {
  readonly kind: EndpointOrderKind.LoadWeights
  /** Pool whose weights are to be loaded. */
  readonly pool: string
  readonly version: number
  readonly fence: number
}

/** Outcome of an order to an endpoint. */
export enum OrderStatus {
  Accepted = 'accepted',
  /** The endpoint has seen a newer fencing token. */
  Fenced = 'fenced',
  /** The order may have arrived. */
  Unknown = 'unknown',
  /** No byte of the order was sent. */
  NotSent = 'not-sent'
}

/** The result of a call of a plain service. */
export type ServiceReply =
  | { readonly ok: true, readonly status: number, readonly headers: ReadonlyArray<readonly [string, string]>, readonly body: Uint8Array }
  | { readonly ok: false, readonly sent: boolean, readonly detail: string }

function errorMessage (error: unknown): string {
  if (isInvalidStatus(error)) return describeInvalidStatus(error)
  return error instanceof Error ? error.message : String(error)
}

/** Yields the data of each event in a stream of server-sent events. */
async function * readEventData (body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let buffered = ''
  for await (const bytes of body) {
    buffered += decoder.decode(bytes, { stream: true })
    let end = buffered.indexOf('\n\n')
    while (end >= 0) {
      const event = buffered.slice(0, end)
      buffered = buffered.slice(end + 2)
      if (event.startsWith('data: ')) yield event.slice('data: '.length)
      end = buffered.indexOf('\n\n')
    }
  }
}

/**
 * HTTP client for endpoints: engines through the common completions API with
 * server-sent events, and plain services.
 *
 * @example
 * for await (const part of client.complete(endpoint, call)) …
 */
export class EndpointClient {
  readonly #agent = new PoolAgent({ connections: MAX_CONNECTIONS_PER_ENDPOINT, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: resettingConnect(CONNECT_TIMEOUT_MS) })
  readonly #client = this.#agent.compose(rejectInvalidStatuses)

  /** Streams a completion. The stream always ends with `End` or `Failure` and never throws. */
  async * streamCompletion (endpoint: Endpoint, call: CompletionCall): AsyncGenerator<CompletionPart> {
    let sent = false
    const scope = openDeadlineScope(call.deadline, call.signal)
    try {
      const response = await request(`${endpoint.url}/v1/completions`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', 'x-request-id': call.requestId, traceparent: call.traceparent },
        body: JSON.stringify({ prompt: call.prompt, max_tokens: call.maxTokens, stream: true, request_id: call.requestId, resume: call.resume }),
        dispatcher: this.#client,
        signal: scope.signal
      })
      sent = true
      if (response.statusCode !== 200) {
        await response.body.dump()
        yield { kind: CompletionPartKind.Failure, sent: true, detail: `endpoint responded with status ${response.statusCode}` }
        return
      }
      yield * this.#readParts(response.body, call.requestId)
    } catch (error) {
      yield { kind: CompletionPartKind.Failure, sent: sent || !failedBeforeSending(error), detail: errorMessage(error) }
    } finally {
      scope.close()
    }
  }

  /** Calls a plain service and reads the complete response. Never throws. */
  async callService (endpoint: Endpoint, call: ServiceCall): Promise<ServiceReply> {
    try {
      return await withDeadline(call.deadline, async (signal): Promise<ServiceReply> => {
        const { origin, pathname } = new URL(endpoint.url)
        // Not as a URL: that would normalise the caller's path.
        const response = await this.#client.request({
          origin,
          path: pathname.replace(/\/$/, '') + call.path,
          method: call.method as 'GET',
          headers: call.headers.flat(),
          body: call.body.length > 0 ? call.body : null,
          signal
        })
        const body = new Uint8Array(await response.body.arrayBuffer())
        return { ok: true, status: response.statusCode, headers: toHeaderPairs(response.headers), body }
      }, call.signal)
    } catch (error) {
      return { ok: false, sent: !failedBeforeSending(error), detail: errorMessage(error) }
    }
  }

  /** Reads an engine's load report; undefined if none arrives before the deadline. */
  async readLoad (endpoint: Endpoint, deadline: number): Promise<LoadReport | undefined> {
    try {
      return await withDeadline(deadline, async (signal) => {
        const response = await request(`${endpoint.url}/load`, { dispatcher: this.#client, signal })
        return loadReportSchema.safeParse(await response.body.json()).data
      })
    } catch {
      return undefined
    }
  }

  /** Reads the changes of an engine's prefix cache after a sequence number; undefined if none arrive before the deadline. */
  async readCacheChanges (endpoint: Endpoint, after: number, deadline: number): Promise<readonly CacheChange[] | undefined> {
    try {
      return await withDeadline(deadline, async (signal) => {
        const response = await request(`${endpoint.url}/cache-events?after=${after}`, { dispatcher: this.#client, signal })
        return cacheEventsSchema.safeParse(await response.body.json()).data?.events
      })
    } catch {
      return undefined
    }
  }

  /** Exports the output and the KV cache of a running request, to resume it elsewhere; undefined if the endpoint doesn't provide them. */
  async exportKv (endpoint: Endpoint, requestId: string, deadline: number): Promise<CompletionResumption | undefined> {
    try {
      return await withDeadline(deadline, async (signal) => {
        const response = await request(`${endpoint.url}/kv/export`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ request_id: requestId }),
          dispatcher: this.#client,
          signal
        })
        return resumptionSchema.safeParse(await response.body.json()).data
      })
    } catch {
      return undefined
    }
  }

  /**
   * Sends an order to an endpoint. The lease is checked again in the event loop
   * turn that writes the first byte, because connecting takes time.
   *
   * @param endpoint the endpoint
   * @param order the order, including its fencing token
   * @param deadline monotonic time at which the lease expires, in milliseconds; the order is aborted then
   * @param isHeld returns whether the lease is held, which may have been lost before its deadline
   */
  async sendOrder (endpoint: Endpoint, order: EndpointOrder, deadline: number, isHeld?: () => boolean): Promise<OrderStatus> {
    const body = createLeasedBody(JSON.stringify(order), deadline, isHeld)
    try {
      return await withDeadline(deadline, async (signal) => {
        const response = await request(`${endpoint.url}/orders`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: body.stream(),
          dispatcher: this.#client,
          signal
        })
        await response.body.dump()
        if (response.statusCode === 200) return OrderStatus.Accepted
        return response.statusCode === 409 ? OrderStatus.Fenced : OrderStatus.Unknown
      })
    } catch {
      return body.started ? OrderStatus.Unknown : OrderStatus.NotSent
    }
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async * #readParts (body: AsyncIterable<Uint8Array>, requestId: string): AsyncGenerator<CompletionPart> {
    let end: CompletionPart | undefined
    for await (const data of readEventData(body)) {
      if (data === '[DONE]') {
        yield end ?? { kind: CompletionPartKind.Failure, sent: true, detail: 'the stream ended without a usage report' }
        return
      }
      const chunk = chunkSchema.parse(JSON.parse(data))
      if (chunk.id !== requestId) {
        yield { kind: CompletionPartKind.Failure, sent: true, detail: 'the response belongs to another request' }
        return
      }
      const choice = chunk.choices?.[0]
      if (choice !== undefined && choice.text !== '') {
        yield { kind: CompletionPartKind.Text, text: choice.text, tokens: chunk.tokens ?? 1, version: chunk.weight_version }
      }
      if (chunk.usage !== undefined) {
        end = {
          kind: CompletionPartKind.End,
          finishReason: choice?.finish_reason ?? 'stop',
          promptTokens: chunk.usage.prompt_tokens,
          answerTokens: chunk.usage.completion_tokens
        }
      }
    }
    yield { kind: CompletionPartKind.Failure, sent: true, detail: 'the stream ended before it was complete' }
  }
}

function toHeaderPairs (headers: Record<string, string | string[] | undefined>): Array<[string, string]> {
  return Object.entries(headers).flatMap(([name, value]) => {
    const values = Array.isArray(value) ? value : [value ?? '']
    return values.map((one): [string, string] => [name, one])
  })
}
