import type { Outcome, StorePurpose } from '@cyclamenthread/state'

export { StorePurpose } from '@cyclamenthread/state'

/** One object of the platform's object store. */
export interface StoredObject {
  readonly key: string
  /** Opaque version that changes with each write. */
  readonly version: string
  readonly value: unknown
  /** Status reported by those that process the object; most objects have none. */
  readonly status?: unknown
}

/** Kinds of preconditions of a write. */
export enum ExpectationKind {
  /** No object exists under the key. */
  Absent = 'absent',
  /** The object has exactly the given version. */
  Version = 'version'
}

/** The precondition of a write. There are no unconditional writes. */
export type Expectation =
  | { readonly kind: ExpectationKind.Absent }
  | { readonly kind: ExpectationKind.Version, readonly version: string }

/** Why a read failed. */
export enum StoreFailure {
  Unavailable = 'unavailable',
  Timeout = 'timeout',
  Malformed = 'malformed',
  /** The store no longer has the changes after the given revision; a new listing is required. */
  HistoryLost = 'history-lost'
}

/** Outcome of a conditional write. */
export enum WriteStatus {
  Applied = 'applied',
  /** The precondition failed. Nothing was written. */
  Conflict = 'conflict',
  /** The store rejected the write or wasn't reached. Nothing was written. */
  NotWritten = 'not-written',
  /** The response was lost. The write may have taken effect and has to be read back. */
  Unknown = 'unknown'
}

/** The result of a conditional write; `version` is the new version of an applied write. */
export type WriteResult =
  | { readonly status: WriteStatus.Applied, readonly version: string }
  | { readonly status: WriteStatus.Conflict }
  | { readonly status: WriteStatus.NotWritten, readonly detail: string }
  | { readonly status: WriteStatus.Unknown, readonly detail: string }

/** A change returned by a watch; `value` is absent if the object was removed. */
export interface StoreChange {
  readonly key: string
  readonly version: string
  readonly value?: unknown
}

/** The changes returned by a watch, and the revision to continue from. */
export interface WatchBatch {
  readonly changes: readonly StoreChange[]
  readonly next: string
}

/** Learns what a call shows about the store itself, beyond the outcome of the call. */
export interface StoreCallObserver {
  /**
   * The call was written, or a connection for it was opened in vain. Never called
   * for a call that this process delayed or refused itself.
   *
   * @param at monotonic milliseconds
   */
  onSent (at: number): void
  /** The store serves calls: it gave any response but a server error. A refusal for too many calls is such a response. */
  onServed (): void
}

/** Options of a store call. */
export interface StoreCall {
  readonly purpose: StorePurpose
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  readonly observer?: StoreCallObserver
}

/** The platform's versioned object store. */
export interface ObjectStore {
  /** Reads one object; undefined if it doesn't exist. */
  read (key: string, call: StoreCall): Promise<Outcome<StoredObject | undefined, StoreFailure>>
  /** Lists the objects whose keys start with a prefix, ordered by key. */
  list (prefix: string, call: StoreCall): Promise<Outcome<readonly StoredObject[], StoreFailure>>
  /** Writes one object if the precondition holds. */
  write (key: string, value: unknown, expectation: Expectation, call: StoreCall): Promise<WriteResult>
  /** Removes one object if it has the given version. */
  remove (key: string, version: string, call: StoreCall): Promise<WriteResult>
  /** Waits for changes under a prefix after a revision; an empty `after` starts from the current one. */
  watch (prefix: string, after: string, call: StoreCall): Promise<Outcome<WatchBatch, StoreFailure>>
}
