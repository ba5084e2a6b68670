import { EventEmitter } from 'node:events'
import { CatalogueView } from '@cyclamenthread/state'
import { CATALOGUE_PREFIX, CatalogueStore, StorePurpose } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import type { ObjectStore } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'

/** Longest a watch waits for a change, in milliseconds. */
const WATCH_MS = 20_000

/** Pause after a failed call of the store, in milliseconds. */
const RETRY_MS = 500

/** The catalogue as the other tasks read it. */
export interface CatalogueSource {
  /** The newest revision known; undefined before the first. */
  current (): CatalogueView | undefined
  onChange (listener: (view: CatalogueView) => void): void
}

/**
 * Follows the catalogue in the store.
 *
 * Invariant: the revision of `current()` never goes down.
 */
export class CatalogueTask implements CatalogueSource {
  readonly #settings: HostSettings
  readonly #store: ObjectStore
  readonly #catalogues: CatalogueStore
  readonly #changes = new EventEmitter()
  #view: CatalogueView | undefined
  #stopped = false

  constructor (settings: HostSettings, store: ObjectStore) {
    this.#settings = settings
    this.#store = store
    this.#catalogues = new CatalogueStore(store)
  }

  current (): CatalogueView | undefined {
    return this.#view
  }

  onChange (listener: (view: CatalogueView) => void): void {
    this.#changes.on('change', listener)
  }

  async start (): Promise<void> {
    await this.#refresh()
    void this.#follow()
  }

  /** Ends the watch; one that waits for the store is left to its deadline. */
  async stop (): Promise<void> {
    this.#stopped = true
  }

  async #follow (): Promise<void> {
    let after = ''
    while (!this.#stopped) {
      const batch = await this.#store.watch(CATALOGUE_PREFIX, after, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(WATCH_MS) })
      if (!batch.ok) {
        await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
        continue
      }
      // A watch from "now" on misses what came before it, so the first answer always reads.
      if (after === '' || batch.value.changes.length > 0) await this.#refresh()
      after = batch.value.next
    }
  }

  async #refresh (): Promise<void> {
    const stored = await this.#catalogues.read(deadlineAfter(this.#settings.storeTimeoutMs))
    if (!stored.ok || stored.value === undefined) return
    if (stored.value.revision <= (this.#view?.revision ?? 0)) return
    this.#view = new CatalogueView(stored.value.revision, stored.value.catalogue)
    this.#changes.emit('change', this.#view)
  }
}
