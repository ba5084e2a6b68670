import type { Outcome } from '@cyclamenthread/state'
import type { ObjectStore, StoreCall, StoredObject, StoreFailure } from './object-store.js'

/** All objects under a prefix, and the point from which a watch goes on. */
export interface StoreSnapshot {
  readonly objects: readonly StoredObject[]
  readonly next: string
}

/** A store whose listings can be followed by a watch without a gap. */
export interface SnapshotStore extends ObjectStore {
  snapshot (prefix: string, call: StoreCall): Promise<Outcome<StoreSnapshot, StoreFailure>>
}
