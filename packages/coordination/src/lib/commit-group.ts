import { LedgerRecordKind, unreachable } from '@cyclamenthread/state'
import type { LedgerRecord } from '@cyclamenthread/state'
import type { CommitResponse } from '@cyclamenthread/protocol'

/** Maximum number of records in a group commit. */
const MAX_GROUP_RECORDS = 512

/** Maximum size of the records in a group commit, in characters. */
const MAX_GROUP_CHARACTERS = 64 * 1024

/** Size in characters from which a record is stored in separate objects. */
export const LARGE_RECORD_CHARACTERS = 32 * 1024

/** Estimated size of a record without its texts, in characters. */
const RECORD_OVERHEAD = 400

/** Characters per byte in base64. */
const BASE64_EXPANSION = 4 / 3

/** A commit that waits for the next group commit. */
export interface PendingCommit {
  readonly records: readonly LedgerRecord[]
  /** Monotonic time in milliseconds after which the answer is no longer awaited. */
  readonly deadline: number
  readonly resolve: (answer: CommitResponse) => void
  /** Checked when the group is formed; a commit that is no longer valid is not written. */
  readonly isStillValid?: () => boolean
}

/**
 * Keys that keep conflicting records out of the same group: an exclusive key may
 * occur once in a group; a shared key conflicts only with an equal exclusive one.
 */
interface ConflictKeys {
  readonly exclusive: string
  readonly shared?: string
}

/**
 * Selects commits for one group, in the order of arrival. No two commits of a
 * group touch the same subject, so each can be checked independently, and no
 * commit overtakes an earlier one about the same subject.
 *
 * @returns the group, and the commits that remain pending
 * @example
 * const { group, rest } = takeCommitGroup(pending)
 */
export function takeCommitGroup (pending: readonly PendingCommit[]): { readonly group: PendingCommit[], readonly rest: PendingCommit[] } {
  const group: PendingCommit[] = []
  const rest: PendingCommit[] = []
  const exclusive = new Set<string>()
  const shared = new Set<string>()
  let records = 0
  let characters = 0
  for (const commit of pending) {
    const keys = commit.records.map(conflictKeysOf)
    const size = commit.records.reduce((sum, record) => sum + storedCharacters(record), 0)
    const fits = group.length === 0 || (records + commit.records.length <= MAX_GROUP_RECORDS && characters + size <= MAX_GROUP_CHARACTERS)
    const conflicts = keys.some((key) => exclusive.has(key.exclusive) || shared.has(key.exclusive) || (key.shared !== undefined && exclusive.has(key.shared)))
    for (const key of keys) {
      exclusive.add(key.exclusive)
      if (key.shared !== undefined) shared.add(key.shared)
    }
    if (!fits || conflicts) {
      rest.push(commit)
      continue
    }
    records += commit.records.length
    characters += size
    group.push(commit)
  }
  return { group, rest }
}

/**
 * Estimates the size of a record within a head or segment, in characters.
 *
 * @example
 * storedCharacters(record) < LARGE_RECORD_CHARACTERS
 */
export function storedCharacters (record: LedgerRecord): number {
  const characters = recordCharacters(record)
  return characters >= LARGE_RECORD_CHARACTERS ? RECORD_OVERHEAD : characters
}

/** Estimates the size of a whole record in characters; encoding it just to measure it would cost as much as writing it. */
export function recordCharacters (record: LedgerRecord): number {
  switch (record.kind) {
    case LedgerRecordKind.Answer: return RECORD_OVERHEAD + record.answer.body.length * BASE64_EXPANSION + record.answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, 0)
    case LedgerRecordKind.BatchOpen: return record.order.samples.reduce((sum, sample) => sum + sample.prompt.length + RECORD_OVERHEAD, RECORD_OVERHEAD)
    case LedgerRecordKind.Delivery: return RECORD_OVERHEAD + record.sample.text.length
    default: return RECORD_OVERHEAD
  }
}

function conflictKeysOf (record: LedgerRecord): ConflictKeys {
  switch (record.kind) {
    case LedgerRecordKind.Claim:
    case LedgerRecordKind.ClaimRelease:
    case LedgerRecordKind.ClaimUncertainty:
    case LedgerRecordKind.Answer: return { exclusive: `claim/${record.claimId}` }
    case LedgerRecordKind.BatchOpen: return { exclusive: `batch/${record.order.workspace}/${record.order.batchId}` }
    case LedgerRecordKind.BatchCancel: return { exclusive: `batch/${record.workspace}/${record.batchId}` }
    // Deliveries and acknowledgements can't invalidate each other: they share the batch's key, and only acknowledgements exclude each other.
    case LedgerRecordKind.Acknowledgement: return { exclusive: `ack/${record.workspace}/${record.batchId}`, shared: `batch/${record.workspace}/${record.batchId}` }
    case LedgerRecordKind.Delivery: return sampleConflictKeys(record.workspace, record.batchId, record.sample.sampleId)
    case LedgerRecordKind.SampleFailure: return sampleConflictKeys(record.workspace, record.batchId, record.sampleId)
    case LedgerRecordKind.Usage: return { exclusive: `usage/${record.usage.requestId}` }
    case LedgerRecordKind.UsageLoss: return { exclusive: `loss/${record.lossId}` }
    case LedgerRecordKind.ChainHead: return { exclusive: `chain/${record.chain}` }
    default: return unreachable(record)
  }
}

function sampleConflictKeys (workspace: string, batchId: string, sampleId: string): ConflictKeys {
  return { exclusive: `sample/${workspace}/${batchId}/${sampleId}`, shared: `batch/${workspace}/${batchId}` }
}
