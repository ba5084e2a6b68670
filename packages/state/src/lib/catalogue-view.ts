import { hashKey, matchesKey } from './key.js'
import { EMPTY_ROSTER, EndpointState, NO_RELEASES } from './roster.js'
import type { Catalogue, Endpoint, Entry, Key, Pool, Workspace } from './catalogue.js'
import type { Roster, WeightReleases } from './roster.js'

/** Separates the id of a key from its secret in a bearer token. */
const KEY_SEPARATOR = '_'

/**
 * A catalogue revision with the indexes that requests need. Immutable: a new
 * revision is a new view, so a request sees one revision from start to end.
 */
export class CatalogueView {
  readonly revision: number
  readonly catalogue: Catalogue
  readonly roster: Roster
  readonly releases: WeightReleases
  readonly #entries: ReadonlyMap<string, Entry>
  readonly #keys: ReadonlyMap<string, Key>
  readonly #pools: ReadonlyMap<string, Pool>
  readonly #workspaces: ReadonlyMap<string, Workspace>

  constructor (revision: number, catalogue: Catalogue, roster: Roster = EMPTY_ROSTER, releases: WeightReleases = NO_RELEASES) {
    this.revision = revision
    this.catalogue = catalogue
    this.roster = roster
    this.releases = releases
    this.#entries = new Map(catalogue.entries.map((entry) => [entry.name, entry]))
    this.#keys = new Map(catalogue.keys.map((key) => [key.id, key]))
    this.#pools = new Map(catalogue.pools.map((pool) => [pool.name, pool]))
    this.#workspaces = new Map(catalogue.workspaces.map((workspace) => [workspace.name, workspace]))
  }

  /** The entry of that name, if the catalogue has one. */
  entry (name: string): Entry | undefined {
    return this.#entries.get(name)
  }

  /** The pool of that name, if the catalogue has one. */
  pool (name: string): Pool | undefined {
    return this.#pools.get(name)
  }

  /** The endpoints of a pool that may be given work: declared ones and running ones of the roster. */
  endpoints (pool: string): Endpoint[] {
    const rostered = this.roster.endpoints.filter((item) => item.pool === pool && item.state === EndpointState.Running)
    return [...this.pool(pool)?.endpoints ?? [], ...rostered.map((item) => item.endpoint)]
  }

  /** The newest weight version released to a pool; 0 before the first. */
  releasedVersion (pool: string): number {
    return this.releases.releases.find((release) => release.pool === pool)?.version ?? 0
  }

  /** The workspace of that name, if the catalogue has one. */
  workspace (name: string): Workspace | undefined {
    return this.#workspaces.get(name)
  }

  /** The key of that id, withdrawn or not. */
  key (id: string): Key | undefined {
    return this.#keys.get(id)
  }

  /**
   * Finds the key that a bearer token proves. A token is `<key id>_<secret>`; an
   * unknown id costs the same hash as a known one, so timing does not tell them apart.
   *
   * @returns the key, or undefined when the token proves none that is in force.
   * @example
   * view.authenticate('desk-1_5f2c…')?.workspace // 'desk'
   */
  authenticate (token: string): Key | undefined {
    const separatorIndex = token.indexOf(KEY_SEPARATOR)
    const id = token.slice(0, Math.max(separatorIndex, 0))
    const key = this.#keys.get(id)
    if (key === undefined) {
      hashKey('00000000', token)
      return undefined
    }
    const matches = matchesKey(key, token)
    return matches && !key.withdrawn ? key : undefined
  }
}
