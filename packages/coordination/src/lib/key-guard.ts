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
export class KeyWithdrawalTracker {
  readonly #withdrawals = new KeyWithdrawals()
  readonly #events = new EventEmitter()
  readonly #view: () => CatalogueView | undefined
  readonly #onWithdrawal: () => void

  /**
   * @param view the catalogue in force on this host
   * @param onWithdrawal called when there is a withdrawal that other hosts should hear of
   */
  constructor (view: () => CatalogueView | undefined, onWithdrawal: () => void) {
    this.#view = view
    this.#onWithdrawal = onWithdrawal
    this.#events.setMaxListeners(0)
  }

  isWithdrawn (keyId: string): boolean {
    return this.#withdrawals.has(keyId) || !this.#isAccepted(keyId)
  }

  watchKey (keyId: string, onWithdrawn: () => void): () => void {
    this.#events.once(eventName(keyId), onWithdrawn)
    return () => this.#events.off(eventName(keyId), onWithdrawn)
  }

  /** Withdrawals for one message to another host. */
  takeForMessage (count: number): string[] {
    return this.#withdrawals.take(count)
  }

  /** Takes in what another host told. */
  learnFromPeer (keyIds: readonly string[]): void {
    this.#notify(this.#withdrawals.recordWithdrawals(keyIds, (keyId) => this.#isAccepted(keyId)))
  }

  /** Takes in a new catalogue. */
  applyCatalogue (before: CatalogueView, after: CatalogueView): void {
    const withdrawn = keysWithdrawnBetween(before.catalogue, after.catalogue)
    this.#withdrawals.reconcileWithCatalogue(withdrawn, (keyId) => this.#isAccepted(keyId))
    this.#notify(withdrawn)
  }

  #notify (keyIds: readonly string[]): void {
    if (keyIds.length === 0) return
    for (const keyId of keyIds) this.#events.emit(eventName(keyId))
    this.#onWithdrawal()
  }

  /** Whether the own catalogue accepts the key. Before the first catalogue nothing is known against any. */
  #isAccepted (keyId: string): boolean {
    const view = this.#view()
    return view === undefined || view.key(keyId)?.withdrawn === false
  }
}

/** The name of a key's event: prefixed, since `error` is a valid id but a special event. */
function eventName (keyId: string): string {
  return `key ${keyId}`
}
