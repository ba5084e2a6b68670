import { request } from 'undici'
import * as z from 'zod'
import { endpointSchema, failure, success } from '@cyclamenthread/state'
import { PoolAgent, resettingConnect, withDeadline } from '@cyclamenthread/transport'
import { createLeasedBody } from './leased-body.js'
import { rejectInvalidStatuses } from './response-status.js'
import type { Outcome, UsageTotal } from '@cyclamenthread/state'

/** Timeout for connecting to the platform, in milliseconds. */
const CONNECT_TIMEOUT_MS = 10_000

const hostListSchema = z.object({
  hosts: z.array(z.object({
    id: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    peerAddress: z.string(),
    callerUrl: z.string(),
    hasDataFolder: z.boolean(),
    leaving: z.boolean()
  }))
})

const orderedEndpointSchema = z.object({
  endpoint: endpointSchema,
  pool: z.string(),
  state: z.enum(['starting', 'running', 'reclaiming', 'stopping']),
  /** Seconds until a reclaimed endpoint is terminated. */
  noticeSeconds: z.number().optional()
})

const fleetSchema = z.object({ endpoints: z.array(orderedEndpointSchema) })

/** Why a platform call failed. */
export enum PlatformFailure {
  Unavailable = 'unavailable',
  Refused = 'refused',
  Malformed = 'malformed'
}

/** Kinds of orders that the platform's endpoint API accepts. */
export enum FleetOrderKind {
  Start = 'start',
  Stop = 'stop'
}

/** An order to start or stop endpoints; idempotent by `orderId`. */
export type FleetOrder =
  | { readonly kind: FleetOrderKind.Start, readonly orderId: string, readonly pool: string, readonly failureDomain: string, readonly cheap: boolean, readonly count: number }
  | { readonly kind: FleetOrderKind.Stop, readonly orderId: string, readonly endpointId: string }

/** A sealed usage window, in the form in which it is reported. */
export interface UsageWindow {
  readonly window: number
  /** Milliseconds since 1970. */
  readonly from: number
  readonly to: number
  readonly complete: boolean
  readonly totals: readonly UsageTotal[]
}

export type PlatformHost = z.infer<typeof hostListSchema>['hosts'][number]
export type OrderedEndpoint = z.infer<typeof orderedEndpointSchema>

/** Options of a platform call. */
export interface PlatformCall {
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
}

/** Options of a platform call that is made under a lease. */
export interface LeasedPlatformCall extends PlatformCall {
  /** Returns whether the lease is held, which may have been lost before its deadline. */
  readonly isHeld?: () => boolean
  readonly signal?: AbortSignal
}

/**
 * HTTP client for the platform's other APIs: the host list, which may be out of
 * date, endpoint orders and usage reports.
 *
 * @example
 * const hosts = await platform.hosts({ deadline })
 */
export class PlatformClient {
  readonly #baseUrl: string
  readonly #agent = new PoolAgent({ connections: 4, pipelining: 1, connect: resettingConnect(CONNECT_TIMEOUT_MS) })
  readonly #client = this.#agent.compose(rejectInvalidStatuses)

  constructor (baseUrl: string) {
    this.#baseUrl = baseUrl.replace(/\/$/, '')
  }

  /** Lists the hosts that the platform considers running, including leaving ones. */
  async hosts (call: PlatformCall): Promise<Outcome<readonly PlatformHost[], PlatformFailure>> {
    const answer = await this.#send('GET', '/hosts', undefined, call)
    if (!answer.ok) return answer
    const parsed = hostListSchema.safeParse(answer.value)
    return parsed.success ? success(parsed.data.hosts) : failure(PlatformFailure.Malformed)
  }

  /** Lists the endpoints that were ordered, with their state. */
  async listOrderedEndpoints (call: PlatformCall): Promise<Outcome<readonly OrderedEndpoint[], PlatformFailure>> {
    const answer = await this.#send('GET', '/fleet', undefined, call)
    if (!answer.ok) return answer
    const parsed = fleetSchema.safeParse(answer.value)
    return parsed.success ? success(parsed.data.endpoints) : failure(PlatformFailure.Malformed)
  }

  /**
   * Sends one order; fails with `Refused` if the platform has no capacity.
   *
   * @param call its deadline is the expiry of the lease under which the order is sent; no byte is sent after it
   */
  async sendFleetOrder (order: FleetOrder, call: LeasedPlatformCall): Promise<Outcome<unknown, PlatformFailure>> {
    return await this.#send('POST', '/fleet/orders', order, call)
  }

  /** Reports one sealed usage window, with the reporter's lease epoch. */
  async reportUsage (window: UsageWindow, epoch: number, call: LeasedPlatformCall): Promise<Outcome<unknown, PlatformFailure>> {
    return await this.#send('PUT', `/usage/${window.window}`, { epoch, ...window }, call)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #send (method: 'GET' | 'POST' | 'PUT', path: string, body: unknown, call: LeasedPlatformCall): Promise<Outcome<unknown, PlatformFailure>> {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const length = text === undefined ? {} : { 'content-length': String(Buffer.byteLength(text)) }
    try {
      return await withDeadline(call.deadline, async (signal) => {
        const response = await request(this.#baseUrl + path, {
          method,
          headers: { 'content-type': 'application/json', ...length },
          body: text === undefined ? null : createLeasedBody(text, call.deadline, call.isHeld).stream(),
          dispatcher: this.#client,
          signal
        })
        const answer = await response.body.text()
        if (response.statusCode >= 400 && response.statusCode < 500) return failure(PlatformFailure.Refused)
        if (response.statusCode !== 200) return failure(PlatformFailure.Unavailable)
        return success<unknown>(answer === '' ? undefined : JSON.parse(answer))
      }, call.signal)
    } catch {
      return failure(PlatformFailure.Unavailable)
    }
  }
}
