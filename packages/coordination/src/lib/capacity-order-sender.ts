import { FleetOrderKind, PlatformFailure } from '@cyclamenthread/protocol'
import * as z from 'zod'
import { IntentLog } from './intent-log.js'
import type { FleetOrder, ObjectStore, PlatformClient } from '@cyclamenthread/protocol'
import type { Leadership } from './lease-task.js'

const fleetOrderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(FleetOrderKind.Start), orderId: z.string(), pool: z.string(), failureDomain: z.string(), cheap: z.boolean(), count: z.int().positive() }),
  z.object({ kind: z.literal(FleetOrderKind.Stop), orderId: z.string(), endpointId: z.string() })
])

/** Outcome of an order that the platform has answered. */
export enum OrderResult {
  Accepted = 'accepted',
  /** The platform has no capacity of that kind. */
  Refused = 'refused'
}

/** An order whose outcome is known. */
export interface SettledOrder {
  readonly order: FleetOrder
  readonly result: OrderResult
}

/** Name of the lease and of its intent log. */
export const CAPACITY_LEASE = 'capacity'

/**
 * Sends endpoint orders to the platform. Each order is written to the intent log
 * before it is sent, is sent only under the lease, and is resent unchanged until
 * the platform has answered. After a takeover, the orders that the former leader
 * left open are sent first.
 *
 * Invariant: no new order is sent while an earlier one is open, so that no plan
 * is based on orders that may or may not have taken effect.
 */
export class CapacityOrderSender {
  readonly #intents: IntentLog<FleetOrder>
  readonly #platform: Pick<PlatformClient, 'sendFleetOrder'>
  readonly #leadership: () => Leadership | undefined
  #openOrders: FleetOrder[] = []
  #loadedEpoch = 0
  #sequence = 0
  readonly counters = { sent: 0, resent: 0, refused: 0 }

  /** @param leadership returns the leadership that holds at the moment of the call, if any */
  constructor (store: ObjectStore, platform: Pick<PlatformClient, 'sendFleetOrder'>, storeTimeoutMs: number, leadership: () => Leadership | undefined) {
    this.#intents = new IntentLog({ name: CAPACITY_LEASE, storeTimeoutMs, parse: (value) => fleetOrderSchema.safeParse(value).data }, store)
    this.#platform = platform
    this.#leadership = leadership
  }

  /** Returns an unused order id; it contains the epoch, so ids of different leaders differ. */
  nextOrderId (leadership: Leadership): string {
    this.#sequence += 1
    return `${CAPACITY_LEASE}/${leadership.epoch}/${this.#sequence}`
  }

  /**
   * Resends the open orders, after reading them from the store if this leader is new.
   *
   * @returns the orders settled by this call, or undefined if some are still open
   */
  async resendOpenOrders (): Promise<readonly SettledOrder[] | undefined> {
    const leadership = this.#leadership()
    if (leadership === undefined) return undefined
    if (this.#loadedEpoch !== leadership.epoch && !await this.#loadOpenOrders(leadership)) return undefined
    if (this.#openOrders.length === 0) return []
    this.counters.resent += this.#openOrders.length
    const settled = await this.#sendOpenOrders()
    return this.#openOrders.length === 0 ? settled : undefined
  }

  /** Writes orders to the intent log and sends them. Call it only after `resendOpenOrders` returned a list. */
  async send (orders: readonly FleetOrder[]): Promise<readonly SettledOrder[]> {
    const leadership = this.#leadership()
    if (leadership === undefined || leadership.epoch !== this.#loadedEpoch || orders.length === 0) return []
    const written = await this.#intents.write(orders.map((order) => ({ id: order.orderId, order })), leadership)
    if (!written.ok) {
      // The content of the log is unknown now: it is read again before anything else is sent.
      this.#loadedEpoch = 0
      return []
    }
    this.#openOrders = [...orders]
    return await this.#sendOpenOrders()
  }

  async #loadOpenOrders (leadership: Leadership): Promise<boolean> {
    const opened = await this.#intents.open(leadership)
    if (!opened.ok) return false
    this.#openOrders = opened.value.map((intent) => intent.order)
    this.#loadedEpoch = leadership.epoch
    return true
  }

  async #sendOpenOrders (): Promise<SettledOrder[]> {
    const settled: SettledOrder[] = []
    for (const order of this.#openOrders) {
      const result = await this.#sendOrder(order)
      if (result !== undefined) settled.push({ order, result })
    }
    const ids = settled.map((item) => item.order.orderId)
    this.#openOrders = this.#openOrders.filter((order) => !ids.includes(order.orderId))
    if (ids.length > 0) await this.#intents.settle(ids)
    return settled
  }

  /** Sends one order; returns undefined if the outcome is unknown. */
  async #sendOrder (order: FleetOrder): Promise<OrderResult | undefined> {
    const leadership = this.#leadership()
    if (leadership === undefined || leadership.epoch !== this.#loadedEpoch) return undefined
    this.counters.sent += 1
    const answer = await this.#platform.sendFleetOrder(order, { deadline: leadership.deadline, isHeld: () => this.#leadership()?.epoch === leadership.epoch })
    if (answer.ok) return OrderResult.Accepted
    if (answer.failure !== PlatformFailure.Refused) return undefined
    this.counters.refused += 1
    return OrderResult.Refused
  }
}
