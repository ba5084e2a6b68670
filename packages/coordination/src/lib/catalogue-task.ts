import { EventEmitter } from 'node:events'
import { CatalogueView, EMPTY_ROSTER, NO_RELEASES, rosterSchema, weightReleasesSchema } from '@cyclamenthread/state'
import { CATALOGUE_PREFIX, CatalogueStore, RELEASES_KEY, ROSTER_KEY, StorePurpose } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import type { output, ZodType } from 'zod'
import type { Roster, WeightReleases } from '@cyclamenthread/state'
import type { ObjectStore, StoredCatalogue } from '@cyclamenthread/protocol'
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
    const deadline = deadlineAfter(this.#settings.storeTimeoutMs)
    const stored = await this.#catalogues.read(deadline)
    if (!stored.ok || stored.value === undefined) return
    const roster = await this.#document(ROSTER_KEY, rosterSchema, deadline)
    const releases = await this.#document(RELEASES_KEY, weightReleasesSchema, deadline)
    this.#adopt(stored.value, roster ?? EMPTY_ROSTER, releases ?? NO_RELEASES)
  }

  /** Takes over whatever is newer than what is known. */
  #adopt (stored: StoredCatalogue, roster: Roster, releases: WeightReleases): void {
    const known = this.#view
    const newerCatalogue = known === undefined || stored.revision > known.revision
    const newerRoster = known === undefined || roster.sequence > known.roster.sequence
    const newerReleases = known === undefined || releases.sequence > known.releases.sequence
    if (!newerCatalogue && !newerRoster && !newerReleases) return
    const revision = newerCatalogue ? stored.revision : known.revision
    const catalogue = newerCatalogue ? stored.catalogue : known.catalogue
    this.#view = new CatalogueView(revision, catalogue, newerRoster ? roster : known.roster, newerReleases ? releases : known.releases)
    this.#changes.emit('change', this.#view)
  }

  async #document<Schema extends ZodType> (key: string, schema: Schema, deadline: number): Promise<output<Schema> | undefined> {
    const found = await this.#store.read(key, { purpose: StorePurpose.Configuration, deadline })
    return found.ok ? schema.safeParse(found.value?.value).data : undefined
  }
}
