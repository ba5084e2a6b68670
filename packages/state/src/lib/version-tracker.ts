import type { VersionSpan } from './ledger-record.js'

/** What became of a sample when its versions were looked at. */
export enum Freshness {
  Fresh = 'fresh',
  /** Some part is older than the bound allows. */
  Stale = 'stale',
  /** The endpoint did not name the version of some part. */
  Unnamed = 'unnamed'
}

/**
 * Knows the newest weight version of each entry, from releases and from what
 * streams name.
 *
 * Invariant: the newest version of an entry never goes down.
 */
export class VersionTracker {
  readonly #newestVersions = new Map<string, number>()

  /** Takes note of a version that was released or seen. */
  recordVersion (entry: string, version: number): void {
    if (version > this.newestVersion(entry)) this.#newestVersions.set(entry, version)
  }

  /** The newest version known; 0 before the first. */
  newestVersion (entry: string): number {
    return this.#newestVersions.get(entry) ?? 0
  }

  /**
   * Judges what an endpoint named, after taking note of it.
   *
   * @param versions undefined when the endpoint did not name the version of some part
   * @param bound versions that a part may be behind; undefined for no bound
   * @example
   * staleness.judge('critique', [{ version: 3, tokens: 8 }], 2)
   */
  classify (entry: string, versions: readonly VersionSpan[] | undefined, bound: number | undefined): Freshness {
    if (versions === undefined) return Freshness.Unnamed
    for (const span of versions) this.recordVersion(entry, span.version)
    if (bound === undefined) return Freshness.Fresh
    const newest = this.newestVersion(entry)
    return versions.every((span) => newest - span.version <= bound) ? Freshness.Fresh : Freshness.Stale
  }
}
