import type { Outcome, StorePurpose } from '@cyclamenthread/state'

export { StorePurpose } from '@cyclamenthread/state'

/** One object of the platform's service. */
export interface StoredObject {
  readonly key: string
  /** Opaque version; changes with each write. */
  readonly version: string
  readonly value: unknown
  /** What those who act on the object have said of it; most objects have none. */
  readonly status?: unknown
}

/** What the store must hold for a write to take effect. */
export enum ExpectationKind {
  /** No object of that key. */
  Absent = 'absent',
  /** An object in exactly that version. */
  Version = 'version'
}

/** The condition of a write. There is no unconditional write. */
export type Expectation =
  | { readonly kind: ExpectationKind.Absent }
  | { readonly kind: ExpectationKind.Version, readonly version: string }

/** Why a read gave no answer. */
export enum StoreFailure {
  Unavailable = 'unavailable',
  Timeout = 'timeout',
  Malformed = 'malformed',
  /** The changes after the given point are no longer kept; a listing starts anew. */
  HistoryLost = 'history-lost'
}

/** What became of a conditional write. */
export enum WriteStatus {
  Applied = 'applied',
  /** The condition did not hold. Nothing was written. */
  Conflict = 'conflict',
  /** The store refused or was never reached. Nothing was written. */
  NotWritten = 'not-written',
  /** The answer was lost; the write may have taken effect and has to be read back. */
  Unknown = 'unknown'
}

/** The result of a conditional write; `version` is the new one when it was applied. */
export type WriteResult =
  | { readonly status: WriteStatus.Applied, readonly version: string }
  | { readonly status: WriteStatus.Conflict }
  | { readonly status: WriteStatus.NotWritten, readonly detail: string }
  | { readonly status: WriteStatus.Unknown, readonly detail: string }

/** A change seen by a watch; the value is absent when the object was removed. */
export interface StoreChange {
  readonly key: string
  readonly version: string
  readonly value?: unknown
}

/** What a watch returned, and the point from which to go on. */
export interface WatchBatch {
  readonly changes: readonly StoreChange[]
  readonly next: string
}

/** How a call is made. */
export interface StoreCall {
  readonly purpose: StorePurpose
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
}

/** The platform's versioned object service. */
export interface ObjectStore {
  /** Reads one object; undefined when there is none. */
  read (key: string, call: StoreCall): Promise<Outcome<StoredObject | undefined, StoreFailure>>
  /** Lists the objects whose keys start with a prefix, in the order of their keys. */
  list (prefix: string, call: StoreCall): Promise<Outcome<readonly StoredObject[], StoreFailure>>
  /** Writes one object if the expectation holds. */
  write (key: string, value: unknown, expectation: Expectation, call: StoreCall): Promise<WriteResult>
  /** Removes one object if it is in that version. */
  remove (key: string, version: string, call: StoreCall): Promise<WriteResult>
  /** Waits for changes under a prefix after a point; an empty `after` starts with now. */
  watch (prefix: string, after: string, call: StoreCall): Promise<Outcome<WatchBatch, StoreFailure>>
}
