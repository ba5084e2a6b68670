import { randomUUID } from 'node:crypto'
import { LedgerRecordKind } from '@cyclamenthread/state'
import { recordCharacters, storedCharacters } from './commit-group.js'
import { pagesOf } from './partition-storage.js'
import type { LedgerPartition, LedgerRecord, PartitionItem } from '@cyclamenthread/state'
import type { LedgerHead, ObjectReference, StoredRecord, UsageSummaryReference } from '@cyclamenthread/protocol'
import type { PartitionSettings } from './partition-owner.js'
import type { PartitionStorage } from './partition-storage.js'

/** When open records of a head are sealed and snapshots are taken. */
export interface SealingSettings {
  /** Most characters of the open records of a head before they are sealed as a segment; a quarter is enough while commits are small. */
  readonly openCharacters: number
  /** Fewest segments that a snapshot replaces. */
  readonly snapshotSegments: number
}

/**
 * Every commit writes the open records again, and every seal costs a write: at
 * this size a busy partition writes its records about three times.
 */
export const DEFAULT_SEALING_SETTINGS: SealingSettings = { openCharacters: 64 * 1024, snapshotSegments: 32 }

/** Group commits whose records make up a segment, where the bounds leave the choice. */
const GROUPS_PER_SEGMENT = 4

/** Open records of a head before they are sealed as a segment. */
const MAX_OPEN_RECORDS = 512

/** Segments for each page of the last snapshot before the next is taken: writing the state again must cost less than what was added. */
const SEGMENTS_PER_SNAPSHOT_PAGE = 2

/** Most segments before a snapshot is taken whatever its size, so that a new owner loads a bounded number of them. */
const MAX_SEGMENTS = 128

/** Most closed windows whose usage waits in the head before the reported ones are looked up. */
const MAX_UNCHECKED_SUMMARIES = 3

/** Objects removed in one go. */
const MAX_REMOVALS = 8

/** The head of a partition and what it adds up to. */
export interface PartitionContent {
  readonly head: LedgerHead
  readonly state: LedgerPartition
  /** Pages of large records, by the key of the segment that refers to them. */
  readonly pages: ReadonlyMap<string, readonly ObjectReference[]>
}

/** A state at the moment when a head with no open records was drafted. */
interface SnapshotDraft {
  readonly items: readonly PartitionItem[]
  /** The segments it replaces. */
  readonly segments: readonly ObjectReference[]
}

/** A snapshot that was written and that no head refers to yet. */
interface WrittenSnapshot {
  readonly pages: readonly ObjectReference[]
  readonly segments: readonly ObjectReference[]
}

/**
 * Drafts the heads of one partition: puts new records in, seals the open ones
 * when they have grown, closes usage windows, and brings snapshots in. Writes
 * only objects that nothing refers to before the head does.
 *
 * Invariants: a head's text stays far below the store's bound of a megabyte;
 * snapshot, segments and open records together hold each record exactly once.
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
  /** Objects written for the draft at hand; unless a head refers to them they are to be removed. */
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

  /** The head in force. */
  get head (): LedgerHead {
    return this.#head
  }

  /**
   * The head after a commit; undefined when an object it needs can't be written.
   *
   * @param records what is to be committed
   * @param window usage window of the commit
   */
  async buildNext (records: readonly LedgerRecord[], window: number): Promise<LedgerHead | undefined> {
    const unused = this.#draftObjects.splice(0)
    const added: StoredRecord[] = []
    for (const record of records) {
      const stored = await this.#storage.storeRecord(record, window)
      if (stored === undefined) return this.#discardDraft(unused)
      this.#draftObjects.push(...stored.pages ?? [])
      added.push(stored)
    }
    const sealed = await this.#sealIfFull(records)
    if (sealed === undefined) return this.#discardDraft(unused)
    const summaries = await this.#nextSummaries(window)
    if (summaries === undefined) return this.#discardDraft(unused)
    return this.#applySnapshot({
      ...sealed,
      sequence: sealed.sequence + records.length,
      window,
      writeId: randomUUID(),
      open: [...sealed.open, ...added],
      summaries,
      obsolete: [...sealed.obsolete.filter((object) => !this.#removedKeys.has(object.key)), ...unused],
      complete: (window > sealed.window || sealed.complete) && !records.some((record) => record.kind === LedgerRecordKind.UsageLoss)
    })
  }

  /** Takes a head that was written as the one in force. */
  accept (head: LedgerHead): void {
    if (head.window > this.#head.window) this.state.dropUsageBefore(head.window)
    this.#draftObjects = []
    if (head.snapshot !== this.#head.snapshot) this.#forgetSegments(head)
    const listed = new Set(head.obsolete.map((object) => object.key))
    this.#removedKeys = new Set([...this.#removedKeys].filter((key) => listed.has(key)))
    this.#openCharacters = head.open.reduce((sum, stored) => sum + storedRecordCharacters(stored), 0)
    this.#head = head
  }

  /**
   * Writes a snapshot that is due and removes what nothing refers to.
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

  /** Objects of drafts that came to nothing go on being remembered until a head names them as obsolete. */
  #discardDraft (unused: readonly ObjectReference[]): undefined {
    this.#draftObjects.push(...unused)
  }

  #forgetSegments (head: LedgerHead): void {
    this.#writtenSnapshot = undefined
    const kept = new Set(head.segments.map((segment) => segment.key))
    for (const key of this.#pagesBySegment.keys()) {
      if (!kept.has(key)) this.#pagesBySegment.delete(key)
    }
  }

  /** The head with its open records sealed, if those and the new ones are too many. */
  async #sealIfFull (records: readonly LedgerRecord[]): Promise<LedgerHead | undefined> {
    const head = this.#head
    const added = records.reduce((sum, record) => sum + storedCharacters(record), 0)
    const full = this.#openCharacters + added > this.#maxOpenCharacters(added) || head.open.length + records.length > MAX_OPEN_RECORDS
    if (!full || head.open.length === 0) return head
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

  /** Small groups are sealed early, for each of them writes the open records again; large ones late, for each seal is a write. */
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

  /** The usage of closed windows that is not reported yet, with the one that the step to `window` closes. */
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

  /** Replaces the segments that a written snapshot covers by its pages. */
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

/** Whether the segments are the oldest of a head. */
function startsWithSegments (head: LedgerHead, segments: readonly ObjectReference[]): boolean {
  return segments.every((segment, index) => head.segments[index]?.key === segment.key)
}

function storedRecordCharacters (stored: StoredRecord): number {
  return stored.pages === undefined ? recordCharacters(stored.record as LedgerRecord) : JSON.stringify(stored).length
}
