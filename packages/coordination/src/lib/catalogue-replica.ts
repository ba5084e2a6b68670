import { EventEmitter } from 'node:events'
import { CatalogueView } from '@cyclamenthread/state'
import { joinCatalogueParts } from '@cyclamenthread/protocol'
import type { CataloguePart, Revisions } from '@cyclamenthread/protocol'
import type { CatalogueOrigin, CatalogueState } from './catalogue-origin.js'

/** Called after each change with the new view and the previous one, if any. */
export type CatalogueListener = (view: CatalogueView, before: CatalogueView | undefined) => void

/**
 * Holds the newest catalogue that this host knows, split into parts identified by
 * digest, so that an update fetches only the parts that changed.
 *
 * Invariants: none of the three revisions ever decreases; a view is always
 * complete, as it is replaced only once every part of the new head is available.
 */
export class CatalogueReplica {
  readonly #changes = new EventEmitter()
  #state: CatalogueState | undefined
  #view: CatalogueView | undefined
  #parts = new Map<string, CataloguePart>()

  constructor () {
    this.#changes.setMaxListeners(0)
  }

  get view (): CatalogueView | undefined {
    return this.#view
  }

  get state (): CatalogueState | undefined {
    return this.#state
  }

  /** The revisions held by this host; zeros before the first catalogue. */
  get revisions (): Revisions {
    const { head, roster, releases } = this.#state ?? {}
    return { catalogue: head?.revision ?? 0, roster: roster?.sequence ?? 0, releases: releases?.sequence ?? 0 }
  }

  /** Whether this host's revisions are at least the given ones. */
  covers (revisions: Revisions): boolean {
    const own = this.revisions
    return own.catalogue >= revisions.catalogue && own.roster >= revisions.roster && own.releases >= revisions.releases
  }

  findPart (digest: string): CataloguePart | undefined {
    return this.#parts.get(digest)
  }

  onChange (listener: CatalogueListener): void {
    this.#changes.on('change', listener)
  }

  /**
   * Fetches everything that is newer at an origin.
   *
   * @returns whether this replica is now at least as new as the origin was
   */
  async pull (origin: CatalogueOrigin): Promise<boolean> {
    const state = await origin.fetchState()
    if (state === undefined) return false
    const parts = new Map<string, CataloguePart>()
    if (state.head.revision > this.revisions.catalogue) {
      const missing = state.head.parts.filter((digest) => !this.#parts.has(digest))
      const fetched = missing.length === 0 ? new Map<string, CataloguePart>() : await origin.fetchParts(missing)
      for (const digest of state.head.parts) {
        const part = fetched.get(digest) ?? this.#parts.get(digest)
        if (part === undefined) return false
        parts.set(digest, part)
      }
    }
    this.#merge(state, parts)
    return true
  }

  /** Replaces each of the three documents for which the fetched one is newer; a concurrent pull may already have done so. */
  #merge (found: CatalogueState, parts: Map<string, CataloguePart>): void {
    const known = this.#state
    const own = this.revisions
    const newerHead = found.head.revision > own.catalogue
    const newerRoster = found.roster.sequence > own.roster
    const newerReleases = found.releases.sequence > own.releases
    if (!newerHead && !newerRoster && !newerReleases) return
    const state: CatalogueState = {
      head: newerHead || known === undefined ? found.head : known.head,
      roster: newerRoster || known === undefined ? found.roster : known.roster,
      releases: newerReleases || known === undefined ? found.releases : known.releases
    }
    if (newerHead) this.#parts = parts
    const before = this.#view
    const catalogue = newerHead || before === undefined ? joinCatalogueParts([...this.#parts.values()]) : before.catalogue
    this.#state = state
    this.#view = new CatalogueView(state.head.revision, catalogue, state.roster, state.releases)
    this.#changes.emit('change', this.#view, before)
  }
}
