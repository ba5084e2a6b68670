import { ExpectationKind, ledgerHeadKey, parseLedgerHead, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import type { Clock } from '@cyclamenthread/state'
import type { LedgerHead, ObjectStore, StoreCall } from '@cyclamenthread/protocol'
import type { PartitionSettings } from './partition-owner.js'

/** Result of a conditional write of the head. */
export enum HeadWriteResult {
  Applied = 'applied',
  /** Nothing was written, and the partition still belongs to this owner. */
  NotWritten = 'not-written',
  /** Another owner has replaced the head. Nothing was written. */
  Deposed = 'deposed',
  /** Another owner has replaced the head; this write may have taken effect before. */
  DeposedUncertain = 'deposed-uncertain'
}

/**
 * Replaces the head of one partition by conditional writes, one at a time.
 *
 * A write without an answer is sent again unchanged. The second copy to arrive
 * fails on the changed version, so the write takes effect at most once however
 * late a copy arrives. The write id in the head identifies the writer.
 *
 * Invariant: `NotWritten` and `Deposed` are returned only if no copy of the
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
   * Replaces the head, retrying until the outcome is known.
   *
   * @param head the new head, with a unique write id
   * @param onWait called before each retry
   */
  async replaceHead (head: LedgerHead, onWait: () => void): Promise<HeadWriteResult> {
    const key = ledgerHeadKey(this.#settings.partition)
    const backoff = new Backoff(this.#settings.random)
    let mayBeApplied = false
    for (;;) {
      const result = await this.#store.write(key, head, { kind: ExpectationKind.Version, version: this.#version }, this.#storeCall())
      switch (result.status) {
        case WriteStatus.Applied:
          this.#version = result.version
          return HeadWriteResult.Applied
        case WriteStatus.Conflict: {
          const found = mayBeApplied ? await this.#resolveConflict(head.writeId) : HeadWriteResult.Deposed
          if (found !== undefined) return found
          break
        }
        case WriteStatus.NotWritten:
          if (!mayBeApplied) return HeadWriteResult.NotWritten
          break
        case WriteStatus.Unknown:
          mayBeApplied = true
      }
      onWait()
      await this.#clock.sleep(backoff.nextDelayMs())
    }
  }

  /** Checks whether this owner held the head at some time during the call; undefined if the store can't be read. */
  async confirmOwnership (): Promise<boolean | undefined> {
    const found = await this.#store.read(ledgerHeadKey(this.#settings.partition), this.#storeCall())
    return found.ok ? found.value?.version === this.#version : undefined
  }

  /** Checks after a conflict whether an earlier copy of this write took effect; undefined if the store can't be read. */
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
