import { request } from 'undici'
import * as z from 'zod'
import { failure, success } from '@cyclamenthread/state'
import { createConnector, DeadlineError, PoolAgent, timeLeft, withDeadline } from '@cyclamenthread/transport'
import { failedBeforeSending } from './failed-before-sending.js'
import { ExpectationKind, StoreFailure, StorePurpose, WriteStatus } from './object-store.js'
import { describeInvalidStatus, isInvalidStatus, rejectInvalidStatuses } from './response-status.js'
import type { Dispatcher } from 'undici'
import type { Outcome } from '@cyclamenthread/state'
import type { Expectation, ObjectStore, StoreCall, StoredObject, WatchBatch, WriteResult } from './object-store.js'

const objectSchema = z.object({ key: z.string(), version: z.string(), value: z.unknown() })
const listSchema = z.object({ objects: z.array(objectSchema) })
const watchSchema = z.object({
  changes: z.array(z.object({ key: z.string(), version: z.string(), value: z.unknown().optional() })),
  next: z.string()
})

/** Maximum number of connections to the store. */
const MAX_CONNECTIONS = 16

/** Timeout for connecting to the store, in milliseconds; each call has a shorter deadline of its own. */
const CONNECT_TIMEOUT_MS = 10_000

/** An undecoded response of the store. */
interface StoreResponse {
  readonly status: number
  readonly etag: string
  readonly body: unknown
}

/**
 * HTTP client for the object store: `GET`, `PUT` with `If-Match` or
 * `If-None-Match`, `DELETE`, listing by prefix, and a long-polling watch.
 *
 * @example
 * const store = new HttpObjectStore('http://127.0.0.1:9000')
 * await store.read('catalogue/head', { purpose: StorePurpose.Configuration, deadline })
 */
export class HttpObjectStore implements ObjectStore {
  /** Number of calls by purpose; a pending watch counts as one. */
  readonly calls: Record<StorePurpose, number> = {
    [StorePurpose.Lease]: 0,
    [StorePurpose.Configuration]: 0,
    [StorePurpose.Claim]: 0,
    [StorePurpose.Other]: 0
  }

  readonly #baseUrl: string
  readonly #agent = new PoolAgent({ connections: MAX_CONNECTIONS, pipelining: 1, connect: createConnector(CONNECT_TIMEOUT_MS) })
  readonly #client = this.#agent.compose(rejectInvalidStatuses)

  constructor (baseUrl: string) {
    this.#baseUrl = baseUrl.replace(/\/$/, '')
  }

  async read (key: string, call: StoreCall): Promise<Outcome<StoredObject | undefined, StoreFailure>> {
    const answer = await this.#sendRead(`/objects/${encodeURIComponent(key)}`, call)
    if (!answer.ok) return answer
    if (answer.value.status === 404) return success(undefined)
    return success({ key, version: answer.value.etag, value: answer.value.body })
  }

  async list (prefix: string, call: StoreCall): Promise<Outcome<readonly StoredObject[], StoreFailure>> {
    const answer = await this.#sendRead(`/objects?prefix=${encodeURIComponent(prefix)}`, call)
    if (!answer.ok) return answer
    const parsed = listSchema.safeParse(answer.value.body)
    return parsed.success ? success(parsed.data.objects) : failure(StoreFailure.Malformed)
  }

  async watch (prefix: string, after: string, call: StoreCall): Promise<Outcome<WatchBatch, StoreFailure>> {
    const waitMs = Math.floor(timeLeft(call.deadline) * 0.8)
    const answer = await this.#sendRead(`/watch?prefix=${encodeURIComponent(prefix)}&after=${encodeURIComponent(after)}&waitMs=${waitMs}`, call)
    if (!answer.ok) return answer
    const parsed = watchSchema.safeParse(answer.value.body)
    return parsed.success ? success(parsed.data) : failure(StoreFailure.Malformed)
  }

  async write (key: string, value: unknown, expectation: Expectation, call: StoreCall): Promise<WriteResult> {
    const condition: Record<string, string> = expectation.kind === ExpectationKind.Absent
      ? { 'if-none-match': '*' }
      : { 'if-match': expectation.version }
    return await this.#sendWrite('PUT', key, { 'content-type': 'application/json', ...condition }, JSON.stringify(value), call)
  }

  async remove (key: string, version: string, call: StoreCall): Promise<WriteResult> {
    return await this.#sendWrite('DELETE', key, { 'if-match': version }, undefined, call)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #sendWrite (method: 'PUT' | 'DELETE', key: string, headers: Record<string, string>, body: string | undefined, call: StoreCall): Promise<WriteResult> {
    try {
      const answer = await this.#send(method, `/objects/${encodeURIComponent(key)}`, headers, body, call)
      return toWriteResult(answer)
    } catch (error) {
      const detail = isInvalidStatus(error) ? describeInvalidStatus(error) : error instanceof Error ? error.message : String(error)
      return { status: failedBeforeSending(error) ? WriteStatus.NotWritten : WriteStatus.Unknown, detail }
    }
  }

  async #sendRead (path: string, call: StoreCall): Promise<Outcome<StoreResponse, StoreFailure>> {
    try {
      const answer = await this.#send('GET', path, {}, undefined, call)
      return answer.status === 200 || answer.status === 404 ? success(answer) : failure(StoreFailure.Unavailable)
    } catch (error) {
      const timedOut = error instanceof DeadlineError
      return failure(timedOut ? StoreFailure.Timeout : StoreFailure.Unavailable)
    }
  }

  async #send (method: Dispatcher.HttpMethod, path: string, headers: Record<string, string>, body: string | undefined, call: StoreCall): Promise<StoreResponse> {
    this.calls[call.purpose] += 1
    return await withDeadline(call.deadline, async (signal) => {
      const response = await request(this.#baseUrl + path, { method, headers, body: body ?? null, dispatcher: this.#client, signal })
      const text = await response.body.text()
      return { status: response.statusCode, etag: String(response.headers['etag'] ?? ''), body: text === '' ? undefined : JSON.parse(text) }
    })
  }
}

function toWriteResult (answer: StoreResponse): WriteResult {
  if (answer.status === 200 || answer.status === 201 || answer.status === 204) return { status: WriteStatus.Applied, version: answer.etag }
  if (answer.status === 412) return { status: WriteStatus.Conflict }
  // A proxy or the store may respond with a 5xx status after the write took effect.
  if (answer.status >= 500 && answer.status !== 503) return { status: WriteStatus.Unknown, detail: `status ${answer.status}` }
  return { status: WriteStatus.NotWritten, detail: `status ${answer.status}` }
}
