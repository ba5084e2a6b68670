import { EventEmitter } from 'node:events'
import { CatalogueView } from '@cyclamenthread/state'
import { joinCatalogueParts } from '@cyclamenthread/protocol'
import type { CataloguePart, Revisions } from '@cyclamenthread/protocol'
import type { CatalogueOrigin, CatalogueState } from './catalogue-origin.js'

/** Called with the view before a change, if there was one, and the view after it. */
export type CatalogueListener = (view: CatalogueView, before: CatalogueView | undefined) => void

/**
 * Holds the newest catalogue that this host knows, and the parts it is made of,
 * so that a change fetches only the parts that changed.
 *
 * Invariants: none of the three revisions ever goes down, and a view is whole:
 * it is replaced only when every part of the new head is there.
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

  /** How far this host is; zeros before the first catalogue. */
  get revisions (): Revisions {
    const { head, roster, releases } = this.#state ?? {}
    return { catalogue: head?.revision ?? 0, roster: roster?.sequence ?? 0, releases: releases?.sequence ?? 0 }
  }

  /** Whether this host knows everything up to these revisions. */
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
   * Takes over what an origin has that is newer.
   *
   * @returns whether everything the origin had is known now
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

  /** Takes over each of the three that is newer; another pull may have been faster. */
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
