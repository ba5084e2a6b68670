import { failure, StoreBudget, StoreCallKind } from '@cyclamenthread/state'
import { StoreFailure, WriteStatus } from '@cyclamenthread/protocol'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, Outcome, StoreAllowance, StoreShare } from '@cyclamenthread/state'
import type { Expectation, ObjectStore, StoreCall, StoredObject, WatchBatch, WriteResult } from '@cyclamenthread/protocol'

/** How often this process's share of the rates is recomputed, in milliseconds. */
const SHARE_UPDATE_MS = 1_000

/** Shortest sleep while a call waits for the rate limit, in milliseconds. */
const MIN_WAIT_MS = 5

/** Options of a rate-limited store. */
export interface RateLimitedStoreOptions {
  readonly store: ObjectStore
  readonly allowance: StoreAllowance
  /** Returns the share of the allowance that this process may use now. */
  readonly share: () => StoreShare
  readonly clock?: Clock
}

/**
 * An object store that delays calls to keep within this process's share of the
 * store's rates; how long a call waits depends on its purpose. A call that can't
 * be made before its deadline is refused without being sent.
 */
export class RateLimitedStore implements ObjectStore {
  readonly #store: ObjectStore
  readonly #clock: Clock
  readonly #share: () => StoreShare
  readonly #budget: StoreBudget
  #shareUpdateAt = 0
  /** Calls that were delayed, and calls refused because the delay would have exceeded their deadline. */
  readonly counters = { delayed: 0, refused: 0 }

  constructor (context: RateLimitedStoreOptions) {
    this.#store = context.store
    this.#clock = context.clock ?? SYSTEM_CLOCK
    this.#share = context.share
    this.#budget = new StoreBudget(context.allowance, context.share(), this.#clock.now())
  }

  async read (key: string, call: StoreCall): Promise<Outcome<StoredObject | undefined, StoreFailure>> {
    return await this.#admit(StoreCallKind.Read, call) ? await this.#store.read(key, call) : failure(StoreFailure.Timeout)
  }

  async list (prefix: string, call: StoreCall): Promise<Outcome<readonly StoredObject[], StoreFailure>> {
    return await this.#admit(StoreCallKind.Read, call) ? await this.#store.list(prefix, call) : failure(StoreFailure.Timeout)
  }

  async watch (prefix: string, after: string, call: StoreCall): Promise<Outcome<WatchBatch, StoreFailure>> {
    return await this.#admit(StoreCallKind.Read, call) ? await this.#store.watch(prefix, after, call) : failure(StoreFailure.Timeout)
  }

  async write (key: string, value: unknown, expectation: Expectation, call: StoreCall): Promise<WriteResult> {
    if (!await this.#admit(StoreCallKind.Write, call)) return { status: WriteStatus.NotWritten, detail: 'store rate limit exceeded' }
    return await this.#store.write(key, value, expectation, call)
  }

  async remove (key: string, version: string, call: StoreCall): Promise<WriteResult> {
    if (!await this.#admit(StoreCallKind.Write, call)) return { status: WriteStatus.NotWritten, detail: 'store rate limit exceeded' }
    return await this.#store.remove(key, version, call)
  }

  /** Waits until the rate limit permits the call; returns false if that would be after its deadline. */
  async #admit (kind: StoreCallKind, call: StoreCall): Promise<boolean> {
    this.#updateShare()
    let delay = this.#budget.delay(kind, call.purpose, this.#clock.now())
    if (delay > 0) this.counters.delayed += 1
    while (delay > 0) {
      if (this.#clock.now() + delay >= call.deadline) {
        this.counters.refused += 1
        return false
      }
      await this.#clock.sleep(Math.max(MIN_WAIT_MS, delay))
      delay = this.#budget.delay(kind, call.purpose, this.#clock.now())
    }
    this.#budget.spend(kind, this.#clock.now())
    return true
  }

  #updateShare (): void {
    const now = this.#clock.now()
    if (now < this.#shareUpdateAt) return
    this.#shareUpdateAt = now + SHARE_UPDATE_MS
    this.#budget.resize(this.#share(), now)
  }
}
