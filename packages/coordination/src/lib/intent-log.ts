import { randomUUID } from 'node:crypto'
import { failure, success } from '@cyclamenthread/state'
import { ExpectationKind, intentsKey, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import * as z from 'zod'
import type { Outcome } from '@cyclamenthread/state'
import type { Expectation, ObjectStore, StoreCall } from '@cyclamenthread/protocol'
import type { Leadership } from './lease-task.js'

/** Maximum number of open intents; keeps the object far below the store's size limit. */
const MAX_OPEN_INTENTS = 256

const intentsSchema = z.object({
  epoch: z.int().positive(),
  writeId: z.string(),
  open: z.array(z.object({ id: z.string(), epoch: z.int().positive(), order: z.unknown() }))
})

type IntentsObject = z.infer<typeof intentsSchema>

/** An order that a leader is about to send. */
export interface IntentOrder<Order> {
  /** Identifies the order at its receiver, so that a repeated order has no second effect. */
  readonly id: string
  readonly order: Order
}

/** An order that was recorded and may have been sent. */
export interface Intent<Order> extends IntentOrder<Order> {
  /** Epoch of the leader that wrote it. */
  readonly epoch: number
}

/** Why an intent was not written. An order may be sent only after its intent was written. */
export enum IntentFailure {
  /** Another leader has taken over. */
  Deposed = 'deposed',
  /** The store doesn't answer, or the outcome of the write is unknown. */
  Unavailable = 'unavailable',
  /** Too many orders are unsettled. */
  Full = 'full'
}

/** Settings of an intent log. */
export interface IntentSettings<Order> {
  /** Name of the lease under which the log is written. */
  readonly name: string
  readonly storeTimeoutMs: number
  /** Validates an order read from the store; returns undefined if it is not valid. */
  readonly parse: (value: unknown) => Order | undefined
}

/**
 * A write-ahead log of the orders that a leader sends, kept in one object of the
 * store. A leader writes an intent before it sends the order, and settles the
 * intent when the outcome is known; after a takeover, the next leader reads which
 * orders may have been sent and settles those first.
 *
 * All intents are in one object rather than in one object each: a new leader
 * first raises the epoch in it, and from then on every conditional update by a
 * former leader fails, however late it arrives.
 *
 * Invariant: `write` succeeds only while no later epoch has called `open`.
 *
 * @example
 * const open = await intents.open(leadership)   // first, after each takeover
 * await intents.write([{ id, order }], leadership)
 * if (lease.leadership() !== undefined) send(order)
 * await intents.settle([id])
 */
export class IntentLog<Order> {
  readonly #settings: IntentSettings<Order>
  readonly #store: ObjectStore
  #current: { readonly version: string, readonly value: IntentsObject } | undefined
  /** The latest call; the next one waits for it, so that at most one write is in flight. */
  #lastCall: Promise<unknown> = Promise.resolve()

  constructor (settings: IntentSettings<Order>, store: ObjectStore) {
    this.#settings = settings
    this.#store = store
  }

  /**
   * Fences off former leaders and reads the intents they left open. To be called
   * once after each takeover, before any other method.
   *
   * @returns the open intents, oldest first
   */
  async open (leadership: Leadership): Promise<Outcome<ReadonlyArray<Intent<Order>>, IntentFailure>> {
    return await this.#serialize(async () => await this.#open(leadership))
  }

  /** Writes intents. The orders may be sent only after success, and only while the lease is still held. */
  async write (orders: ReadonlyArray<IntentOrder<Order>>, leadership: Leadership): Promise<Outcome<void, IntentFailure>> {
    return await this.#serialize(async () => {
      const held = this.#current
      if (held?.value.epoch !== leadership.epoch) return failure(IntentFailure.Deposed)
      const fresh = orders.filter((order) => !held.value.open.some((intent) => intent.id === order.id))
      const open = [...held.value.open, ...fresh.map(({ id, order }) => ({ id, epoch: leadership.epoch, order }))]
      if (open.length > MAX_OPEN_INTENTS) return failure(IntentFailure.Full)
      return await this.#replaceOpen(open)
    })
  }

  /** Removes intents whose outcome is known. If that fails, the next `open` returns them again. */
  async settle (ids: readonly string[]): Promise<Outcome<void, IntentFailure>> {
    return await this.#serialize(async () => {
      if (this.#current === undefined) return failure(IntentFailure.Deposed)
      return await this.#replaceOpen(this.#current.value.open.filter((intent) => !ids.includes(intent.id)))
    })
  }

  async #serialize<Result> (action: () => Promise<Result>): Promise<Result> {
    const result = this.#lastCall.then(action)
    this.#lastCall = result.catch(() => undefined)
    return await result
  }

  async #open (leadership: Leadership): Promise<Outcome<ReadonlyArray<Intent<Order>>, IntentFailure>> {
    this.#current = undefined
    const found = await this.#store.read(intentsKey(this.#settings.name), this.#storeCall())
    if (!found.ok) return failure(IntentFailure.Unavailable)
    const before = found.value === undefined ? undefined : intentsSchema.safeParse(found.value.value).data
    if (found.value !== undefined && before === undefined) return failure(IntentFailure.Unavailable)
    if (before !== undefined && before.epoch > leadership.epoch) return failure(IntentFailure.Deposed)
    const value: IntentsObject = { epoch: leadership.epoch, writeId: randomUUID(), open: before?.open ?? [] }
    const expectation: Expectation = found.value === undefined
      ? { kind: ExpectationKind.Absent }
      : { kind: ExpectationKind.Version, version: found.value.version }
    const written = await this.#writeObject(value, expectation)
    return written.ok ? success(this.#parseOrders(value)) : written
  }

  async #replaceOpen (open: IntentsObject['open']): Promise<Outcome<void, IntentFailure>> {
    const held = this.#current
    if (held === undefined) return failure(IntentFailure.Deposed)
    return await this.#writeObject({ ...held.value, writeId: randomUUID(), open }, { kind: ExpectationKind.Version, version: held.version })
  }

  /**
   * Writes the object. If the outcome is unknown, it is read back; if it then
   * still isn't known to have taken effect, the write counts as failed, and since it
   * may still arrive, the log must be opened again before it is used.
   */
  async #writeObject (value: IntentsObject, expectation: Expectation): Promise<Outcome<void, IntentFailure>> {
    const key = intentsKey(this.#settings.name)
    const written = await this.#store.write(key, value, expectation, this.#storeCall())
    switch (written.status) {
      case WriteStatus.Applied:
        this.#current = { version: written.version, value }
        return success(undefined)
      case WriteStatus.NotWritten: return failure(IntentFailure.Unavailable)
      default: return await this.#readBack(value)
    }
  }

  async #readBack (value: IntentsObject): Promise<Outcome<void, IntentFailure>> {
    const found = await this.#store.read(intentsKey(this.#settings.name), this.#storeCall())
    const current = found.ok ? intentsSchema.safeParse(found.value?.value).data : undefined
    if (found.ok && found.value !== undefined && current?.writeId === value.writeId) {
      this.#current = { version: found.value.version, value }
      return success(undefined)
    }
    this.#current = undefined
    const deposed = current !== undefined && current.epoch > value.epoch
    return failure(deposed ? IntentFailure.Deposed : IntentFailure.Unavailable)
  }

  #parseOrders (value: IntentsObject): Array<Intent<Order>> {
    return value.open.flatMap(({ id, epoch, order }) => {
      const parsed = this.#settings.parse(order)
      return parsed === undefined ? [] : [{ id, epoch, order: parsed }]
    })
  }

  #storeCall (): StoreCall {
    return { purpose: StorePurpose.Lease, deadline: deadlineAfter(this.#settings.storeTimeoutMs) }
  }
}
