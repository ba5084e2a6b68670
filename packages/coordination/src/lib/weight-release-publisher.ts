import { NO_RELEASES, weightReleasesSchema } from '@cyclamenthread/state'
import { RELEASES_KEY } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { DocumentChange, ReplicatedDocument } from './replicated-document.js'
import type { WeightReleases } from '@cyclamenthread/state'
import type { ObjectStore, WeightRelease, WeightStoreClient } from '@cyclamenthread/protocol'

/** Longest wait for the weight store's answer, in milliseconds. */
const POLL_TIMEOUT_MS = 1_000

/**
 * Copies the versions released in the weight store to the document that all hosts
 * follow.
 *
 * Invariant: the released version of a pool never decreases.
 */
export class WeightReleasePublisher {
  readonly #client: Pick<WeightStoreClient, 'readReleases'>
  readonly #document: ReplicatedDocument<typeof weightReleasesSchema>
  readonly counters = { written: 0 }

  constructor (client: Pick<WeightStoreClient, 'readReleases'>, store: ObjectStore, storeTimeoutMs: number) {
    this.#client = client
    this.#document = new ReplicatedDocument(store, RELEASES_KEY, weightReleasesSchema, NO_RELEASES, storeTimeoutMs)
  }

  /** Discards the cached releases, as another leader may have written newer ones. */
  reset (): void {
    this.#document.reset()
  }

  /** Polls the weight store once and publishes newer versions. */
  async publishNewReleases (): Promise<void> {
    const released = await this.#client.readReleases(deadlineAfter(POLL_TIMEOUT_MS))
    if (released === undefined) return
    const change = await this.#document.change((known) => mergeReleases(known, released))
    if (change === DocumentChange.Written) this.counters.written += 1
  }
}

/**
 * Merges newer versions into the known releases; returns undefined if there are none.
 *
 * @internal
 */
export function mergeReleases (known: WeightReleases, released: readonly WeightRelease[]): WeightReleases | undefined {
  const versions = new Map(known.releases.map((item) => [item.pool, item.version]))
  const newer = released.filter((item) => item.version > (versions.get(item.pool) ?? 0))
  if (newer.length === 0) return undefined
  for (const item of newer) versions.set(item.pool, Math.max(item.version, versions.get(item.pool) ?? 0))
  return { sequence: known.sequence + 1, releases: [...versions].map(([pool, version]) => ({ pool, version })) }
}
