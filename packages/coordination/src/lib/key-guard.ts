import { EventEmitter } from 'node:events'
import { KeyWithdrawals, keysWithdrawnBetween } from '@cyclamenthread/state'
import type { CatalogueView } from '@cyclamenthread/state'

/** Tells of keys that no longer work, to those who hold work of them. */
export interface KeyGuard {
  /** Whether a key was withdrawn, as far as this host has heard by any way. */
  isWithdrawn (keyId: string): boolean
  /** Whether this host has proof that its catalogue is current. */
  isCurrent (): boolean
  /**
   * Calls back once when the key is withdrawn.
   *
   * @returns ends the watch
   */
  watchKey (keyId: string, onWithdrawn: () => void): () => void
}

/**
 * Learns of withdrawn keys by catalogue and by membership traffic, whichever is
 * first, and tells whoever holds work of such a key.
 */
export class KeyWatch {
  readonly #withdrawals = new KeyWithdrawals()
  readonly #events = new EventEmitter()
  readonly #view: () => CatalogueView | undefined
  readonly #onNews: () => void

  /**
   * @param view the catalogue in force on this host
   * @param onNews called when there is a withdrawal that other hosts should hear of
   */
  constructor (view: () => CatalogueView | undefined, onNews: () => void) {
    this.#view = view
    this.#onNews = onNews
    this.#events.setMaxListeners(0)
  }

  isWithdrawn (keyId: string): boolean {
    return this.#withdrawals.has(keyId) || !this.#inForce(keyId)
  }

  watchKey (keyId: string, onWithdrawn: () => void): () => void {
    this.#events.once(eventOf(keyId), onWithdrawn)
    return () => this.#events.off(eventOf(keyId), onWithdrawn)
  }

  /** Withdrawals for one message to another host. */
  take (count: number): string[] {
    return this.#withdrawals.take(count)
  }

  /** Takes in what another host told. */
  learn (keyIds: readonly string[]): void {
    this.#tell(this.#withdrawals.recordWithdrawals(keyIds, (keyId) => this.#inForce(keyId)))
  }

  /** Takes in a new catalogue. */
  compare (before: CatalogueView, after: CatalogueView): void {
    const withdrawn = keysWithdrawnBetween(before.catalogue, after.catalogue)
    this.#withdrawals.reconcileWithCatalogue(withdrawn, (keyId) => this.#inForce(keyId))
    this.#tell(withdrawn)
  }

  #tell (keyIds: readonly string[]): void {
    if (keyIds.length === 0) return
    for (const keyId of keyIds) this.#events.emit(eventOf(keyId))
    this.#onNews()
  }

  /** Whether the own catalogue accepts the key. Before the first catalogue nothing is known against any. */
  #inForce (keyId: string): boolean {
    const view = this.#view()
    return view === undefined || view.key(keyId)?.withdrawn === false
  }
}

/** The name of a key's event: prefixed, since `error` is a valid id but a special event. */
function eventOf (keyId: string): string {
  return `key ${keyId}`
}
