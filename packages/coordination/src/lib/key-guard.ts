import { EventEmitter } from 'node:events'
import { KeyWithdrawals, keysWithdrawnBetween } from '@cyclamenthread/state'
import type { CatalogueView } from '@cyclamenthread/state'

/** Provides the state of API keys to tasks that run work on behalf of a key. */
export interface KeyGuard {
  /** Whether a key was withdrawn, as far as this host knows. */
  isWithdrawn (keyId: string): boolean
  /** Whether this host has proof that its catalogue is current. */
  isCurrent (): boolean
  /**
   * Calls back once when the key is withdrawn.
   *
   * @returns a function that ends the watch
   */
  watchKey (keyId: string, onWithdrawn: () => void): () => void
}

/**
 * Learns of withdrawn keys from the catalogue or from membership messages,
 * whichever arrives first, and notifies the watchers of these keys.
 */
export class KeyWithdrawalTracker {
  readonly #withdrawals = new KeyWithdrawals()
  readonly #events = new EventEmitter()
  readonly #view: () => CatalogueView | undefined
  readonly #onWithdrawal: () => void

  /**
   * @param view returns the catalogue in force on this host
   * @param onWithdrawal called when there are new withdrawals to send to other hosts
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

  /** Returns up to `count` withdrawals to send in one message to another host. */
  takeForMessage (count: number): string[] {
    return this.#withdrawals.take(count)
  }

  /** Records withdrawals received from another host. */
  learnFromPeer (keyIds: readonly string[]): void {
    this.#notify(this.#withdrawals.recordWithdrawals(keyIds, (keyId) => this.#isAccepted(keyId)))
  }

  /** Records the keys that a new catalogue withdraws. */
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

  /** Whether this host's catalogue accepts the key. Before the first catalogue, every key counts as accepted. */
  #isAccepted (keyId: string): boolean {
    const view = this.#view()
    return view === undefined || view.key(keyId)?.withdrawn === false
  }
}

/** Returns the event name of a key; prefixed, as `error` is a valid key id but a special event name. */
function eventName (keyId: string): string {
  return `key ${keyId}`
}
