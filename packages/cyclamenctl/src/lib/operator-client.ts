import { request } from 'undici'
import * as z from 'zod'
import { HostState } from '@cyclamenthread/state'
import { failedReport } from './command.js'
import { ExitCode } from './exit-code.js'
import { fetchLiveHosts } from './host-directory.js'
import { readOperatorToken } from './operator-store.js'
import type { ChainedDecision } from '@cyclamenthread/state'
import type { CommandContext, FailedReport } from './command.js'

/** Longest a host is waited for, in milliseconds; it may have to ask all others. */
const RESPONSE_TIMEOUT_MS = 10_000

/** Decisions asked for at once. */
const PAGE_SIZE = 1_000

const hostSchema = z.object({
  id: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  callerUrl: z.string(),
  state: z.enum(HostState)
})
const statusSchema = z.object({ hostId: z.string(), catalogueRevision: z.int(), running: z.int(), hosts: z.array(hostSchema) })
const recordsSchema = z.object({
  complete: z.boolean(),
  records: z.array(z.custom<ChainedDecision>((value) => typeof value === 'object' && value !== null && 'hash' in value))
})

/** A host as another one sees it. */
export type KnownHost = z.infer<typeof hostSchema>

/** What a host tells operators of itself and the others. */
export type OperatorStatus = z.infer<typeof statusSchema>

/** Decision records, and whether every host that was asked answered. */
export type DecisionRecords = z.infer<typeof recordsSchema>

/** The answer of a host, or why there is none. */
export type HostResult<Value> = { readonly ok: true, readonly value: Value } | FailedReport

/** Talks to the operators' interface of one host. */
export class OperatorClient {
  readonly #url: string
  readonly #token: string

  constructor (url: string, token: string) {
    this.#url = url
    this.#token = token
  }

  /** What the host knows of itself and the others. */
  async readStatus (): Promise<HostResult<OperatorStatus>> {
    return await this.#sendRequest('GET', '/operator/v1/status', statusSchema)
  }

  /** Asks the host to finish what it has and leave. */
  async requestDrain (): Promise<HostResult<unknown>> {
    return await this.#sendRequest('POST', '/operator/v1/drain', z.unknown())
  }

  /** The same operator at another host. */
  forHost (url: string): OperatorClient {
    return new OperatorClient(url, this.#token)
  }

  /** Every decision that is kept on a request, of any workspace. */
  async readDecisions (requestId: string): Promise<HostResult<DecisionRecords>> {
    return await this.#sendRequest('GET', `/operator/v1/requests/${encodeURIComponent(requestId)}/decisions`, recordsSchema)
  }

  /** The chain of the host after a sequence number, page by page to its end or to `until`. */
  async readChain (after = 0, until = Infinity): Promise<HostResult<readonly ChainedDecision[]>> {
    const records: ChainedDecision[] = []
    for (;;) {
      const from = records.at(-1)?.sequence ?? after
      const page = await this.#sendRequest('GET', `/operator/v1/decisions?after=${from}&limit=${PAGE_SIZE}`, recordsSchema)
      if (!page.ok) return page
      records.push(...page.value.records.filter((record) => record.sequence <= until))
      const last = page.value.records.at(-1)
      if (last === undefined || last.sequence >= until || last.sequence <= from) return { ok: true, value: records }
    }
  }

  async #sendRequest<Schema extends z.ZodType> (method: 'GET' | 'POST', path: string, schema: Schema): Promise<HostResult<z.infer<Schema>>> {
    try {
      const response = await request(this.#url + path, { method, headers: { authorization: `Bearer ${this.#token}` }, signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) })
      const body = await response.body.json()
      if (response.statusCode === 401) return failedReport(ExitCode.Usage, `${this.#url} refuses the operator token`)
      if (response.statusCode >= 400) return failedReport(ExitCode.Unavailable, `${this.#url}${path} answers ${response.statusCode}: ${problemDetail(body)}`)
      const parsed = schema.safeParse(body)
      return parsed.success ? { ok: true, value: parsed.data } : failedReport(ExitCode.Unavailable, `${this.#url}${path} answers what this version does not understand`)
    } catch (error) {
      return failedReport(ExitCode.Unavailable, `${this.#url} can't be reached (${error instanceof Error ? error.message : String(error)})`)
    }
  }
}

/**
 * A client of the first live host that lets this operator in.
 *
 * @example
 * const client = await operatorClient(context)
 */
export async function connectOperatorClient (context: CommandContext): Promise<HostResult<OperatorClient>> {
  const token = readOperatorToken(context)
  if (typeof token !== 'string') return token
  const live = await fetchLiveHosts(context.flags)
  if (!live.ok) return live
  const failures: FailedReport[] = []
  for (const host of live.hosts) {
    const client = new OperatorClient(host.url, token)
    const status = await client.readStatus()
    if (status.ok) return { ok: true, value: client }
    failures.push(status)
  }
  // A refused token tells the operator more than a host that is down.
  const refused = failures.find((failure) => failure.exit === ExitCode.Usage)
  return refused ?? failures[0] ?? failedReport(ExitCode.Unavailable, 'no live host')
}

function problemDetail (body: unknown): string {
  const parsed = z.object({ detail: z.string() }).safeParse(body)
  return parsed.success ? parsed.data.detail : 'no such route; is the operator token set in its settings?'
}
