import { randomUUID } from 'node:crypto'
import { LedgerRecordKind } from '@cyclamenthread/state'
import { recordCharacters, storedCharacters } from './commit-group.js'
import { pagesOf } from './partition-storage.js'
import type { LedgerPartition, LedgerRecord, PartitionItem } from '@cyclamenthread/state'
import type { LedgerHead, ObjectReference, StoredRecord, UsageSummaryReference } from '@cyclamenthread/protocol'
import type { PartitionSettings } from './partition-owner.js'
import type { PartitionStorage } from './partition-storage.js'

/** Limits at which open records are sealed into a segment and snapshots are taken. */
export interface SealingSettings {
  /** Size of a head's open records, in characters, above which they are sealed as a segment; a quarter of it while commits are small. */
  readonly openCharacters: number
  /** Minimum number of segments that a snapshot replaces. */
  readonly snapshotSegments: number
}

/**
 * Default limits. Every commit rewrites the open records, and every seal costs a
 * write: at this size a busy partition writes its records about three times.
 */
export const DEFAULT_SEALING_SETTINGS: SealingSettings = { openCharacters: 64 * 1024, snapshotSegments: 32 }

/** Number of group commits per segment, within the limits of {@link SealingSettings}. */
const GROUPS_PER_SEGMENT = 4

/** Maximum number of open records before they are sealed as a segment. */
const MAX_OPEN_RECORDS = 512

/** Segments per page of the last snapshot before the next one is taken, so that writing the state costs less than the records added since. */
const SEGMENTS_PER_SNAPSHOT_PAGE = 2

/** Number of segments that triggers a snapshot of any size, which bounds what a new owner has to load. */
const MAX_SEGMENTS = 128

/** Number of usage summaries in the head from which the reported ones are looked up and removed. */
const MAX_UNCHECKED_SUMMARIES = 3

/** Maximum number of objects removed per maintenance run. */
const MAX_REMOVALS = 8

/** The head of a partition and the state loaded from it. */
export interface PartitionContent {
  readonly head: LedgerHead
  readonly state: LedgerPartition
  /** Pages of large records, by the key of the segment that refers to them. */
  readonly pages: ReadonlyMap<string, readonly ObjectReference[]>
}

/** The state at the time when a head without open records was built. */
interface SnapshotDraft {
  readonly items: readonly PartitionItem[]
  /** The segments that the snapshot replaces. */
  readonly segments: readonly ObjectReference[]
}

/** A snapshot that was written but is not referenced by a head yet. */
interface WrittenSnapshot {
  readonly pages: readonly ObjectReference[]
  readonly segments: readonly ObjectReference[]
}

/**
 * Builds the heads of one partition: adds new records, seals the open ones when
 * they exceed a limit, closes usage windows, and switches to new snapshots. The
 * objects it writes are referenced only once a head is written.
 *
 * Invariants: a serialized head stays far below the store's limit of one
 * megabyte; snapshot, segments and open records together contain each record
 * exactly once.
 */
export class HeadBuilder {
  readonly #settings: PartitionSettings
  readonly #storage: PartitionStorage
  readonly #pagesBySegment: Map<string, readonly ObjectReference[]>
  readonly state: LedgerPartition
  #head: LedgerHead
  #openCharacters: number
  #snapshotDraft: SnapshotDraft | undefined
  #writtenSnapshot: WrittenSnapshot | undefined
  #removedKeys = new Set<string>()
  /** Objects written for the current draft; they become obsolete unless a written head refers to them. */
  #draftObjects: ObjectReference[] = []
  #maintaining = false

  constructor (settings: PartitionSettings, storage: PartitionStorage, content: PartitionContent) {
    this.#settings = settings
    this.#storage = storage
    this.#head = content.head
    this.state = content.state
    this.#pagesBySegment = new Map(content.pages)
    this.#openCharacters = JSON.stringify(content.head.open).length
  }

  /** The head that was written last. */
  get head (): LedgerHead {
    return this.#head
  }

  /**
   * Builds the head that follows a commit; undefined if an object that it needs can't be written.
   *
   * @param records the records to commit
   * @param window the usage window of the commit
   */
  async buildNext (records: readonly LedgerRecord[], window: number): Promise<LedgerHead | undefined> {
    const unusedObjects = this.#draftObjects.splice(0)
    const added: StoredRecord[] = []
    for (const record of records) {
      const stored = await this.#storage.storeRecord(record, window)
      if (stored === undefined) return this.#discardDraft(unusedObjects)
      this.#draftObjects.push(...stored.pages ?? [])
      added.push(stored)
    }
    const sealed = await this.#sealIfFull(records)
    if (sealed === undefined) return this.#discardDraft(unusedObjects)
    const summaries = await this.#nextSummaries(window)
    if (summaries === undefined) return this.#discardDraft(unusedObjects)
    return this.#applySnapshot({
      ...sealed,
      sequence: sealed.sequence + records.length,
      window,
      writeId: randomUUID(),
      open: [...sealed.open, ...added],
      summaries,
      obsolete: [...sealed.obsolete.filter((object) => !this.#removedKeys.has(object.key)), ...unusedObjects],
      complete: (window > sealed.window || sealed.complete) && !records.some((record) => record.kind === LedgerRecordKind.UsageLoss)
    })
  }

  /** Makes a head that was written the current one. */
  markWritten (head: LedgerHead): void {
    if (head.window > this.#head.window) this.state.dropUsageBefore(head.window)
    this.#draftObjects = []
    if (head.snapshot !== this.#head.snapshot) this.#forgetSegments(head)
    const listed = new Set(head.obsolete.map((object) => object.key))
    this.#removedKeys = new Set([...this.#removedKeys].filter((key) => listed.has(key)))
    this.#openCharacters = head.open.reduce((sum, stored) => sum + storedRecordCharacters(stored), 0)
    this.#head = head
  }

  /**
   * Writes a due snapshot and removes obsolete objects.
   *
   * @returns whether a snapshot was written
   */
  async maintain (): Promise<boolean> {
    if (this.#maintaining) return false
    this.#maintaining = true
    const snapshot = this.#snapshotDraft !== undefined && startsWithSegments(this.#head, this.#snapshotDraft.segments) ? this.#snapshotDraft : undefined
    this.#snapshotDraft = undefined
    const pages = snapshot === undefined ? undefined : await this.#storage.writeSnapshot(snapshot.items)
    if (snapshot !== undefined && pages !== undefined) this.#writtenSnapshot = { pages, segments: snapshot.segments }
    const due = this.#head.obsolete.filter((object) => !this.#removedKeys.has(object.key)).slice(0, MAX_REMOVALS)
    for (const object of due) {
      if (await this.#storage.remove(object)) this.#removedKeys.add(object.key)
    }
    this.#maintaining = false
    return pages !== undefined
  }

  /** Keeps the unused objects of a failed draft on record until a head lists them as obsolete. */
  #discardDraft (unusedObjects: readonly ObjectReference[]): undefined {
    this.#draftObjects.push(...unusedObjects)
  }

  #forgetSegments (head: LedgerHead): void {
    this.#writtenSnapshot = undefined
    const kept = new Set(head.segments.map((segment) => segment.key))
    for (const key of this.#pagesBySegment.keys()) {
      if (!kept.has(key)) this.#pagesBySegment.delete(key)
    }
  }

  /** Returns the head, with its open records sealed if they and the new ones exceed a limit. */
  async #sealIfFull (records: readonly LedgerRecord[]): Promise<LedgerHead | undefined> {
    const head = this.#head
    const added = records.reduce((sum, record) => sum + storedCharacters(record), 0)
    const isFull = this.#openCharacters + added > this.#maxOpenCharacters(added) || head.open.length + records.length > MAX_OPEN_RECORDS
    if (!isFull || head.open.length === 0) return head
    const segment = await this.#storage.writeSegment(head.open)
    if (segment === undefined) return undefined
    this.#draftObjects.push(segment)
    this.#pagesBySegment.set(segment.key, pagesOf(head.open))
    const segments = [...head.segments, segment]
    const due = Math.min(MAX_SEGMENTS, Math.max(this.#settings.sealing.snapshotSegments, SEGMENTS_PER_SNAPSHOT_PAGE * head.snapshot.length))
    if (segments.length >= due && !this.#maintaining && this.#writtenSnapshot === undefined) {
      this.#compactState(head.window)
      this.#snapshotDraft = { items: this.state.snapshotItems(), segments }
    }
    return { ...head, segments, open: [] }
  }

  /** Small groups are sealed early, since each of them rewrites the open records; large ones late, since each seal costs a write. */
  #maxOpenCharacters (added: number): number {
    const { openCharacters } = this.#settings.sealing
    return Math.min(openCharacters, Math.max(openCharacters / 4, GROUPS_PER_SEGMENT * added))
  }

  #compactState (window: number): void {
    const { answerRetentionMs, claimRetentionMs, usageWindowMs } = this.#settings
    this.state.compact({
      answers: window - Math.ceil(answerRetentionMs / usageWindowMs),
      claims: window - Math.ceil(claimRetentionMs / usageWindowMs)
    })
  }

  /** Returns the summaries of closed, unreported windows, including the window that the change to `window` closes. */
  async #nextSummaries (window: number): Promise<UsageSummaryReference[] | undefined> {
    const { head } = this
    if (window === head.window) return head.summaries
    const summaries = await this.#unreportedSummaries(head.summaries)
    const totals = this.state.usage(head.window)
    if (totals.length === 0 && head.complete) return summaries
    const object = await this.#storage.writeSummary(totals)
    if (object === undefined) return undefined
    this.#draftObjects.push(object)
    return [...summaries, { window: head.window, object, complete: head.complete }]
  }

  async #unreportedSummaries (summaries: readonly UsageSummaryReference[]): Promise<UsageSummaryReference[]> {
    if (summaries.length < MAX_UNCHECKED_SUMMARIES) return [...summaries]
    const progress = await this.#storage.readUsageProgress() ?? 0
    return summaries.filter((summary) => summary.window >= progress)
  }

  /** Replaces the segments covered by a written snapshot with the snapshot's pages. */
  #applySnapshot (head: LedgerHead): LedgerHead {
    const dropped = this.#head.summaries.filter((summary) => !head.summaries.includes(summary)).flatMap((summary) => summary.object ?? [])
    const obsolete = [...head.obsolete, ...dropped]
    const written = this.#writtenSnapshot
    if (written === undefined || !startsWithSegments(head, written.segments)) return { ...head, obsolete }
    const pages = written.segments.flatMap((segment) => this.#pagesBySegment.get(segment.key) ?? [])
    return {
      ...head,
      snapshot: [...written.pages],
      segments: head.segments.slice(written.segments.length),
      obsolete: [...obsolete, ...head.snapshot, ...written.segments, ...pages]
    }
  }
}

/** Checks whether the given segments are the oldest ones of a head. */
function startsWithSegments (head: LedgerHead, segments: readonly ObjectReference[]): boolean {
  return segments.every((segment, index) => head.segments[index]?.key === segment.key)
}

function storedRecordCharacters (stored: StoredRecord): number {
  return stored.pages === undefined ? recordCharacters(stored.record as LedgerRecord) : JSON.stringify(stored).length
}
