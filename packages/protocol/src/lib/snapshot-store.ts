import type { Outcome } from '@cyclamenthread/state'
import type { ObjectStore, StoreCall, StoredObject, StoreFailure } from './object-store.js'

/** All objects under a prefix, and the revision from which a watch can continue. */
export interface StoreSnapshot {
  readonly objects: readonly StoredObject[]
  readonly next: string
}

/** A store whose listings can be continued by a watch without missing changes. */
export interface SnapshotStore extends ObjectStore {
  snapshot (prefix: string, call: StoreCall): Promise<Outcome<StoreSnapshot, StoreFailure>>
}
