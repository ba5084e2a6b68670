import { randomUUID } from 'node:crypto'
import { failure, LedgerPartition, success } from '@cyclamenthread/state'
import {
  splitIntoPages, decodeJson, encodeJson, ExpectationKind, ledgerHeadKey, LedgerObjectKind, ledgerObjectKey, parseLedgerHead, parseLedgerSegment,
  parseLedgerPage, decodeStoredRecord, StoreFailure, StorePurpose, encodeStoredRecord, USAGE_PROGRESS_KEY, WriteStatus
} from '@cyclamenthread/protocol'
import * as z from 'zod'
import { LARGE_RECORD_CHARACTERS, recordCharacters } from './commit-group.js'
import type { Clock, LedgerRecord, Outcome, PartitionItem, UsageTotal } from '@cyclamenthread/state'
import type { LedgerHead, ObjectReference, ObjectStore, StoreCall, StoredRecord } from '@cyclamenthread/protocol'
import type { PartitionSettings } from './partition-owner.js'

/** Maximum number of objects read in parallel when a partition is loaded. */
const MAX_PARALLEL_READS = 8

/** Size of snapshot items collected into one page, in characters. */
const SNAPSHOT_PAGE_CHARACTERS = 200 * 1024

const progressSchema = z.object({ next: z.int() })

/** A head as read from the store. */
export interface StoredHead {
  readonly head: LedgerHead
  readonly version: string
}

/** Result of loading a partition. */
export interface LoadedPartition {
  readonly state: LedgerPartition
  /** Pages of large records, by the key of the segment that refers to them. */
  readonly pages: ReadonlyMap<string, readonly ObjectReference[]>
}

/**
 * Reads and writes the immutable objects of one partition: segments, pages of
 * snapshots and large records, and usage summaries of closed windows. An object
 * has an effect only once the head refers to it.
 */
export class PartitionStorage {
  readonly #settings: PartitionSettings
  readonly #store: ObjectStore
  readonly #clock: Clock

  constructor (settings: PartitionSettings, store: ObjectStore, clock: Clock) {
    this.#settings = settings
    this.#store = store
    this.#clock = clock
  }

  /** Reads the head; undefined if the partition was never owned. */
  async readHead (): Promise<Outcome<StoredHead | undefined, StoreFailure>> {
    const found = await this.#store.read(ledgerHeadKey(this.#settings.partition), this.#storeCall(StorePurpose.Claim))
    if (!found.ok) return found
    if (found.value === undefined) return success(undefined)
    const head = parseLedgerHead(found.value.value)
    return head === undefined ? failure(StoreFailure.Malformed) : success({ head, version: found.value.version })
  }

  /** Loads everything that a head refers to; undefined if an object can't be read. */
  async load (head: LedgerHead): Promise<LoadedPartition | undefined> {
    const [texts, segments] = await Promise.all([
      this.#readObjects(head.snapshot, parseLedgerPage),
      this.#readObjects(head.segments, parseLedgerSegment)
    ])
    if (texts === undefined || segments === undefined) return undefined
    const state = new LedgerPartition()
    for (const line of texts.join('').split('\n')) {
      if (line !== '') state.restoreItem(decodeJson(line) as PartitionItem)
    }
    const stored = [...segments.flat(), ...head.open]
    const records = await this.#restoreRecords(stored)
    if (records === undefined) return undefined
    for (const [index, record] of records.entries()) state.apply(record, stored[index]?.window ?? 0)
    state.dropUsageBefore(head.window)
    const pages = new Map(head.segments.map((segment, index) => [segment.key, pagesOf(segments[index] ?? [])]))
    return { state, pages }
  }

  /** Prepares a record for the head and writes a large one as separate objects; undefined if a write fails. */
  async storeRecord (record: LedgerRecord, window: number): Promise<StoredRecord | undefined> {
    const stored = encodeStoredRecord(record, window)
    if (recordCharacters(record) < LARGE_RECORD_CHARACTERS) return stored
    const pages = await this.#writePages([JSON.stringify(stored.record)], StorePurpose.Claim)
    return pages === undefined ? undefined : { window, pages }
  }

  /** Writes records as a segment; undefined if the write fails. */
  async writeSegment (records: readonly StoredRecord[]): Promise<ObjectReference | undefined> {
    return await this.#writeObject(LedgerObjectKind.Segment, { records }, StorePurpose.Claim)
  }

  /** Writes the usage of a closed window; undefined if the write fails. */
  async writeSummary (totals: readonly UsageTotal[]): Promise<ObjectReference | undefined> {
    return await this.#writeObject(LedgerObjectKind.Summary, { totals }, StorePurpose.Claim)
  }

  /** Writes a snapshot page by page; undefined if a write fails. */
  async writeSnapshot (items: readonly PartitionItem[]): Promise<ObjectReference[] | undefined> {
    const pages: ObjectReference[] = []
    let text = ''
    for (const [index, item] of items.entries()) {
      text += `${encodeJson(item)}\n`
      if (text.length < SNAPSHOT_PAGE_CHARACTERS && index < items.length - 1) continue
      const written = await this.#writePages([text], StorePurpose.Other)
      if (written === undefined) return undefined
      pages.push(...written)
      text = ''
    }
    return pages
  }

  /** Removes an object; returns whether it is gone. */
  async remove (object: ObjectReference): Promise<boolean> {
    const result = await this.#store.remove(object.key, object.version, this.#storeCall(StorePurpose.Other))
    return result.status === WriteStatus.Applied || result.status === WriteStatus.Conflict
  }

  /** Reads the first usage window that is not reported yet; undefined if it can't be read. */
  async readUsageProgress (): Promise<number | undefined> {
    const found = await this.#store.read(USAGE_PROGRESS_KEY, this.#storeCall(StorePurpose.Other))
    return found.ok ? progressSchema.safeParse(found.value?.value).data?.next : undefined
  }

  async #restoreRecords (stored: readonly StoredRecord[]): Promise<LedgerRecord[] | undefined> {
    const texts = await this.#readObjects(pagesOf(stored), parseLedgerPage)
    if (texts === undefined) return undefined
    let next = 0
    return stored.map((item) => {
      if (item.pages === undefined) return decodeStoredRecord(item.record)
      const text = texts.slice(next, next + item.pages.length).join('')
      next += item.pages.length
      return decodeStoredRecord(JSON.parse(text))
    })
  }

  /** Reads objects in parallel and returns them in order; undefined if one can't be read. */
  async #readObjects<Value> (objects: readonly ObjectReference[], parse: (value: unknown) => Value | undefined): Promise<Value[] | undefined> {
    const values: Value[] = []
    for (let from = 0; from < objects.length; from += MAX_PARALLEL_READS) {
      const found = await Promise.all(objects.slice(from, from + MAX_PARALLEL_READS).map(async (object) => await this.#store.read(object.key, this.#storeCall(StorePurpose.Claim))))
      for (const item of found) {
        const value = item.ok ? parse(item.value?.value) : undefined
        if (value === undefined) return undefined
        values.push(value)
      }
    }
    return values
  }

  async #writePages (texts: readonly string[], purpose: StorePurpose): Promise<ObjectReference[] | undefined> {
    const pages: ObjectReference[] = []
    for (const text of texts.flatMap(splitIntoPages)) {
      const page = await this.#writeObject(LedgerObjectKind.Page, { text }, purpose)
      if (page === undefined) return undefined
      pages.push(page)
    }
    return pages
  }

  /** Writes an object under a new key; if the outcome is unknown, reads it back. */
  async #writeObject (kind: LedgerObjectKind, value: unknown, purpose: StorePurpose): Promise<ObjectReference | undefined> {
    const key = ledgerObjectKey(this.#settings.partition, kind, randomUUID())
    const result = await this.#store.write(key, value, { kind: ExpectationKind.Absent }, this.#storeCall(purpose))
    if (result.status === WriteStatus.Applied) return { key, version: result.version }
    if (result.status === WriteStatus.NotWritten) return undefined
    const found = await this.#store.read(key, this.#storeCall(purpose))
    return found.ok && found.value !== undefined ? { key, version: found.value.version } : undefined
  }

  #storeCall (purpose: StorePurpose): StoreCall {
    return { purpose, deadline: this.#clock.now() + this.#settings.storeTimeoutMs }
  }
}

/** Returns the pages that records refer to. */
export function pagesOf (records: readonly StoredRecord[]): ObjectReference[] {
  return records.flatMap((record) => record.pages ?? [])
}
