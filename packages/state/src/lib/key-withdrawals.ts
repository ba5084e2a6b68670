import { GossipQueue } from './gossip-queue.js'
import type { Catalogue } from './catalogue.js'

/** How often a withdrawal is sent to other hosts. */
const TRANSMISSIONS = 40

/** Maximum number of stored withdrawals that the catalogue does not confirm yet. */
const MAX_UNCONFIRMED = 10_000

/**
 * Keys that other hosts have reported as withdrawn before the own catalogue does.
 * A withdrawal is permanent, so that the order and number of its reports do not
 * matter.
 *
 * Invariant: a key is removed from the set only once the catalogue itself rejects it.
 */
export class KeyWithdrawals {
  readonly #unconfirmed = new Set<string>()
  readonly #gossip = new GossipQueue()

  /** Whether the key was withdrawn. */
  has (keyId: string): boolean {
    return this.#unconfirmed.has(keyId)
  }

  /**
   * Records reported withdrawals.
   *
   * @param inForce whether the own catalogue still accepts a key
   * @returns those that were not known before
   */
  recordWithdrawals (keyIds: readonly string[], inForce: (keyId: string) => boolean): string[] {
    const fresh = keyIds.filter((keyId) => !this.#unconfirmed.has(keyId) && inForce(keyId))
    for (const keyId of fresh) {
      if (this.#unconfirmed.size < MAX_UNCONFIRMED) this.#unconfirmed.add(keyId)
      this.#gossip.add(keyId)
    }
    return fresh
  }

  /** Forwards the withdrawals of a new catalogue and drops those that it confirms. */
  reconcileWithCatalogue (withdrawn: readonly string[], inForce: (keyId: string) => boolean): void {
    for (const keyId of withdrawn) this.#gossip.add(keyId)
    for (const keyId of this.#unconfirmed) {
      if (!inForce(keyId)) this.#unconfirmed.delete(keyId)
    }
  }

  /** Takes the withdrawals for one message to another host. */
  take (count: number): string[] {
    return this.#gossip.take(count, TRANSMISSIONS)
  }
}

/**
 * Returns the ids of the keys that one catalogue accepts and a later one does not.
 *
 * @example
 * keysWithdrawnBetween(older, newer) // ['desk-key']
 */
export function keysWithdrawnBetween (older: Catalogue, newer: Catalogue): string[] {
  const kept = new Set(newer.keys.filter((key) => !key.withdrawn).map((key) => key.id))
  return older.keys.filter((key) => !key.withdrawn && !kept.has(key.id)).map((key) => key.id)
}
