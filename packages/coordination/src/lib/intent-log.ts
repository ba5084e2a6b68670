import { randomUUID } from 'node:crypto'
import { failure, success } from '@cyclamenthread/state'
import { ExpectationKind, intentsKey, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import * as z from 'zod'
import type { Outcome } from '@cyclamenthread/state'
import type { Expectation, ObjectStore, StoreCall } from '@cyclamenthread/protocol'
import type { Leadership } from './lease-task.js'

/** Most intents that may be open at once; keeps the object far below the store's bound. */
const MAX_OPEN_INTENTS = 256

const intentsSchema = z.object({
  epoch: z.int().positive(),
  writeId: z.string(),
  open: z.array(z.object({ id: z.string(), epoch: z.int().positive(), order: z.unknown() }))
})

type IntentsObject = z.infer<typeof intentsSchema>

/** Something a leader is about to order. */
export interface IntentOrder<Order> {
  /** Names the order wherever it is sent, so that sending it again has no second effect. */
  readonly id: string
  readonly order: Order
}

/** An order that was about to be sent, and perhaps was. */
export interface Intent<Order> extends IntentOrder<Order> {
  /** Epoch of the leader that wrote it. */
  readonly epoch: number
}

/** Why an intent was not written. Unless it is written, nothing may be sent. */
export enum IntentFailure {
  /** Another leader has taken over. */
  Deposed = 'deposed',
  /** The store doesn't answer, or the outcome of the write is not known. */
  Unavailable = 'unavailable',
  /** Too many orders are unsettled. */
  Full = 'full'
}

/** Settings of the intents of one leader. */
export interface IntentSettings<Order> {
  /** Name of the lease. */
  readonly name: string
  readonly storeTimeoutMs: number
  /** Checks an order that was read from the store; undefined when it is none. */
  readonly parse: (value: unknown) => Order | undefined
}

/**
 * The orders a leader is about to send, kept in one object of the store. A
 * leader writes its intent before it sends the order and settles it when the
 * effect is known; after a takeover the next leader finds what may have been
 * sent and settles that first.
 *
 * One object rather than one for each order: the first thing a new leader does
 * is to raise the epoch in it, and from then on the conditional update of a
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
  /** The call in progress; the next waits for it, so that one write is in flight. */
  #lastCall: Promise<unknown> = Promise.resolve()

  constructor (settings: IntentSettings<Order>, store: ObjectStore) {
    this.#settings = settings
    this.#store = store
  }

  /**
   * Fences former leaders off and reads what they left open. To be called
   * once after each takeover, before anything is written.
   *
   * @returns the open intents, oldest first
   */
  async open (leadership: Leadership): Promise<Outcome<ReadonlyArray<Intent<Order>>, IntentFailure>> {
    return await this.#serialize(async () => await this.#open(leadership))
  }

  /** Writes intents; only after success may the orders be sent, and only while the lease still holds. */
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

  /** Forgets intents whose effect is known. One that can't be forgotten now is found again by the next `open`. */
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
   * Writes the object. An unknown outcome counts as failed, and as the write
   * may still arrive, the log has to be opened anew before it is used again.
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
