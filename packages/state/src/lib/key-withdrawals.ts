import { GossipQueue } from './gossip-queue.js'
import type { Catalogue } from './catalogue.js'

/** How often a withdrawal is told to other hosts. */
const TRANSMISSIONS = 40

/** Most withdrawals kept that the catalogue does not confirm yet. */
const MAX_UNCONFIRMED = 10_000

/**
 * The keys that this host knows to be withdrawn from other hosts, ahead of its
 * own catalogue. A withdrawal is for good, so the set only grows, and the order
 * and number of times in which hosts hear of one do not matter.
 *
 * Invariant: a key leaves the set only once the catalogue itself refuses it.
 */
export class KeyWithdrawals {
  readonly #unconfirmed = new Set<string>()
  readonly #gossip = new GossipQueue()

  /** Whether the key was withdrawn. */
  has (keyId: string): boolean {
    return this.#unconfirmed.has(keyId)
  }

  /**
   * Learns of withdrawals.
   *
   * @param inForce ids of the keys that the own catalogue still accepts
   * @returns those that were not known yet
   */
  recordWithdrawals (keyIds: readonly string[], inForce: (keyId: string) => boolean): string[] {
    const fresh = keyIds.filter((keyId) => !this.#unconfirmed.has(keyId) && inForce(keyId))
    for (const keyId of fresh) {
      if (this.#unconfirmed.size < MAX_UNCONFIRMED) this.#unconfirmed.add(keyId)
      this.#gossip.add(keyId)
    }
    return fresh
  }

  /** Passes on what a new catalogue withdrew, and forgets what it confirms. */
  reconcileWithCatalogue (withdrawn: readonly string[], inForce: (keyId: string) => boolean): void {
    for (const keyId of withdrawn) this.#gossip.add(keyId)
    for (const keyId of this.#unconfirmed) {
      if (!inForce(keyId)) this.#unconfirmed.delete(keyId)
    }
  }

  /** Withdrawals for one message to another host. */
  take (count: number): string[] {
    return this.#gossip.take(count, TRANSMISSIONS)
  }
}

/**
 * Ids of the keys that one catalogue accepts and a later one does not.
 *
 * @example
 * withdrawnBetween(older, newer) // ['desk-key']
 */
export function keysWithdrawnBetween (older: Catalogue, newer: Catalogue): string[] {
  const kept = new Set(newer.keys.filter((key) => !key.withdrawn).map((key) => key.id))
  return older.keys.filter((key) => !key.withdrawn && !kept.has(key.id)).map((key) => key.id)
}
