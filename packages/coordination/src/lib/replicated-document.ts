import { ExpectationKind, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import type { output, ZodType } from 'zod'
import type { Expectation, ObjectStore } from '@cyclamenthread/protocol'

/** Outcome of a change of a document. */
export enum DocumentChange {
  Written = 'written',
  Unchanged = 'unchanged',
  /** The store can't be reached, another writer was faster, or the outcome is unknown. */
  Failed = 'failed'
}

/**
 * A document in the store that one leader writes and every host reads, such as the
 * roster and the weight releases. Each write is conditional on the version that
 * was read, so that the writes of a former leader fail.
 */
export class ReplicatedDocument<Schema extends ZodType> {
  readonly #store: ObjectStore
  readonly #key: string
  readonly #schema: Schema
  readonly #empty: output<Schema>
  readonly #timeoutMs: number
  #cached: { readonly value: output<Schema>, readonly expectation: Expectation } | undefined

  constructor (store: ObjectStore, key: string, schema: Schema, empty: output<Schema>, timeoutMs: number) {
    this.#store = store
    this.#key = key
    this.#schema = schema
    this.#empty = empty
    this.#timeoutMs = timeoutMs
  }

  /** Discards the cached document, as another leader may have written a newer one. */
  reset (): void {
    this.#cached = undefined
  }

  /** Returns the document as last read or written; undefined if the store can't be read. */
  async read (): Promise<output<Schema> | undefined> {
    if (this.#cached !== undefined) return this.#cached.value
    const found = await this.#store.read(this.#key, this.#storeCall())
    if (!found.ok) return undefined
    const value = found.value === undefined ? this.#empty : this.#schema.safeParse(found.value.value).data
    if (value === undefined) return undefined
    const expectation: Expectation = found.value === undefined
      ? { kind: ExpectationKind.Absent }
      : { kind: ExpectationKind.Version, version: found.value.version }
    this.#cached = { value, expectation }
    return value
  }

  /**
   * Changes the document with a conditional write.
   *
   * @param change returns the new value, or undefined to leave the document unchanged
   */
  async change (change: (value: output<Schema>) => output<Schema> | undefined): Promise<DocumentChange> {
    const before = await this.read()
    if (before === undefined || this.#cached === undefined) return DocumentChange.Failed
    const value = change(before)
    if (value === undefined) return DocumentChange.Unchanged
    const written = await this.#store.write(this.#key, value, this.#cached.expectation, this.#storeCall())
    if (written.status === WriteStatus.Applied) {
      this.#cached = { value, expectation: { kind: ExpectationKind.Version, version: written.version } }
      return DocumentChange.Written
    }
    if (written.status !== WriteStatus.NotWritten) this.reset()
    return DocumentChange.Failed
  }

  #storeCall (): { readonly purpose: StorePurpose, readonly deadline: number } {
    return { purpose: StorePurpose.Configuration, deadline: deadlineAfter(this.#timeoutMs) }
  }
}
