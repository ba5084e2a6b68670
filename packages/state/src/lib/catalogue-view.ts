import { hashKey, matchesKey } from './key.js'
import { EMPTY_ROSTER, EndpointState, NO_RELEASES } from './roster.js'
import type { Catalogue, Endpoint, Entry, Key, Pool, Workspace } from './catalogue.js'
import type { Roster, WeightReleases } from './roster.js'

/** Separates the id of a key from its secret in a bearer token. */
const KEY_SEPARATOR = '_'

/**
 * An indexed catalogue revision. Immutable: a new revision is a new view, so that
 * a request sees the same revision from start to end.
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

  /** Looks up an entry by name. */
  entry (name: string): Entry | undefined {
    return this.#entries.get(name)
  }

  /** Looks up a pool by name. */
  pool (name: string): Pool | undefined {
    return this.#pools.get(name)
  }

  /** Endpoints of a pool that may be given work: those declared in the catalogue and the running ones of the roster. */
  endpoints (pool: string): Endpoint[] {
    const rostered = this.roster.endpoints.filter((item) => item.pool === pool && item.state === EndpointState.Running)
    return [...this.pool(pool)?.endpoints ?? [], ...rostered.map((item) => item.endpoint)]
  }

  /** Newest weight version released to a pool; 0 before the first release. */
  releasedVersion (pool: string): number {
    return this.releases.releases.find((release) => release.pool === pool)?.version ?? 0
  }

  /** Looks up a workspace by name. */
  workspace (name: string): Workspace | undefined {
    return this.#workspaces.get(name)
  }

  /** Looks up a key by id, withdrawn or not. */
  key (id: string): Key | undefined {
    return this.#keys.get(id)
  }

  /**
   * Authenticates a bearer token of the form `<key id>_<secret>`. A hash is computed
   * for unknown ids as well, so that timing does not reveal which ids exist.
   *
   * @returns the key, or undefined if the token matches none or its key was withdrawn.
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
