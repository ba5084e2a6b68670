import { ExpectationKind, ledgerHeadKey, parseLedgerHead, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import type { Clock } from '@cyclamenthread/state'
import type { LedgerHead, ObjectStore, StoreCall } from '@cyclamenthread/protocol'
import type { PartitionSettings } from './partition-owner.js'

/** How a conditional write of the head ended. */
export enum HeadWriteResult {
  Applied = 'applied',
  /** Nothing was written; the owner is still in charge. */
  NotWritten = 'not-written',
  /** Another owner has moved the head. Nothing was written. */
  Deposed = 'deposed',
  /** Another owner has moved the head; it may have found this write in it. */
  DeposedUncertain = 'deposed-uncertain'
}

/**
 * Moves the head of one partition by conditional updates, one at a time.
 *
 * An unanswered write is sent again unchanged: whichever of the copies arrives
 * second meets a changed version, so it takes effect once however late a copy
 * arrives, and the write id in the head tells whose write that was.
 *
 * Invariant: `NotWritten` and `Deposed` are answered only when no copy of the
 * write took effect or still can.
 */
export class HeadWriter {
  readonly #settings: PartitionSettings
  readonly #store: ObjectStore
  readonly #clock: Clock
  #version: string

  constructor (settings: PartitionSettings, store: ObjectStore, clock: Clock, version: string) {
    this.#settings = settings
    this.#store = store
    this.#clock = clock
    this.#version = version
  }

  /**
   * Replaces the head.
   *
   * @param head the new head, with a write id of its own
   * @param onWait called before each further try, while the outcome is unknown
   */
  async replaceHead (head: LedgerHead, onWait: () => void): Promise<HeadWriteResult> {
    const key = ledgerHeadKey(this.#settings.partition)
    const backoff = new Backoff(this.#settings.random)
    let uncertain = false
    for (;;) {
      const result = await this.#store.write(key, head, { kind: ExpectationKind.Version, version: this.#version }, this.#storeCall())
      switch (result.status) {
        case WriteStatus.Applied:
          this.#version = result.version
          return HeadWriteResult.Applied
        case WriteStatus.Conflict: {
          const found = uncertain ? await this.#resolveConflict(head.writeId) : HeadWriteResult.Deposed
          if (found !== undefined) return found
          break
        }
        case WriteStatus.NotWritten:
          if (!uncertain) return HeadWriteResult.NotWritten
          break
        case WriteStatus.Unknown:
          uncertain = true
      }
      onWait()
      await this.#clock.sleep(backoff.nextDelayMs())
    }
  }

  /** Whether this owner is in charge at some moment during the call; undefined when the store doesn't say. */
  async confirmOwnership (): Promise<boolean | undefined> {
    const found = await this.#store.read(ledgerHeadKey(this.#settings.partition), this.#storeCall())
    return found.ok ? found.value?.version === this.#version : undefined
  }

  /** After a conflict: was it an earlier copy of our own write that took effect? Undefined when the store doesn't say. */
  async #resolveConflict (writeId: string): Promise<HeadWriteResult | undefined> {
    const found = await this.#store.read(ledgerHeadKey(this.#settings.partition), this.#storeCall())
    if (!found.ok || found.value === undefined) return undefined
    if (parseLedgerHead(found.value.value)?.writeId !== writeId) return HeadWriteResult.DeposedUncertain
    this.#version = found.value.version
    return HeadWriteResult.Applied
  }

  #storeCall (): StoreCall {
    return { purpose: StorePurpose.Claim, deadline: this.#clock.now() + this.#settings.storeTimeoutMs }
  }
}
