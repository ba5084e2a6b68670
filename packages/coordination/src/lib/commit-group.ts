import { LedgerRecordKind, unreachable } from '@cyclamenthread/state'
import type { LedgerRecord } from '@cyclamenthread/state'
import type { CommitResponse } from '@cyclamenthread/protocol'

/** Most records that one group commit takes. */
const MAX_GROUP_RECORDS = 512

/** Most characters of records in one group commit. */
const MAX_GROUP_CHARACTERS = 64 * 1024

/** Characters from which on a record gets objects of its own. */
export const LARGE_RECORD_CHARACTERS = 32 * 1024

/** Characters of a record besides its texts. */
const RECORD_OVERHEAD = 400

/** Characters that base64 makes of one byte. */
const BASE64_EXPANSION = 4 / 3

/** Records that wait for the next group commit. */
export interface PendingCommit {
  readonly records: readonly LedgerRecord[]
  /** Monotonic milliseconds after which nobody waits for the answer. */
  readonly deadline: number
  readonly resolve: (answer: CommitResponse) => void
  /** Asked again when the group is formed; a commit that no longer holds is not written. */
  readonly isStillValid?: () => boolean
}

/** What a record excludes from its group, and what it only must not meet excluded. */
interface ConflictKeys {
  readonly exclusive: string
  readonly shared?: string
}

/**
 * Takes what may go into one commit, in the order of arrival: no two commits
 * of a group touch the same thing, so that each can be checked by itself, and
 * none overtakes an earlier one about the same thing.
 *
 * @returns the group and what stays
 * @example
 * const { group, rest } = takeGroup(pending)
 */
export function takeCommitGroup (pending: readonly PendingCommit[]): { readonly group: PendingCommit[], readonly rest: PendingCommit[] } {
  const group: PendingCommit[] = []
  const rest: PendingCommit[] = []
  const exclusive = new Set<string>()
  const shared = new Set<string>()
  let records = 0
  let characters = 0
  for (const commit of pending) {
    const subjects = commit.records.map(conflictKeysOf)
    const size = commit.records.reduce((sum, record) => sum + storedCharacters(record), 0)
    const fits = group.length === 0 || (records + commit.records.length <= MAX_GROUP_RECORDS && characters + size <= MAX_GROUP_CHARACTERS)
    const conflicts = subjects.some((subject) => exclusive.has(subject.exclusive) || shared.has(subject.exclusive) || (subject.shared !== undefined && exclusive.has(subject.shared)))
    for (const subject of subjects) {
      exclusive.add(subject.exclusive)
      if (subject.shared !== undefined) shared.add(subject.shared)
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
 * Characters that a record takes up in a head or segment, at a close estimate.
 *
 * @example
 * storedCharacters(record) < LARGE_RECORD_CHARACTERS
 */
export function storedCharacters (record: LedgerRecord): number {
  const characters = recordCharacters(record)
  return characters >= LARGE_RECORD_CHARACTERS ? RECORD_OVERHEAD : characters
}

/** Characters of a whole record, at a close estimate: to encode it only to learn its length would cost as much as to write it. */
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
    // Deliveries never make an acknowledgement wrong, nor it them: only other acknowledgements are kept apart.
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
