import { z } from 'zod'
import {
  ApplyResult, endpointSchema, HostState, LedgerRecordKind, RefusalReason, Ran, SlotEnd, WorkClass
} from '@cyclamenthread/state'
import type { BatchEvent, ChainedDecision, LedgerRecord } from '@cyclamenthread/state'

/** Kinds of messages between two processes. Each is also the name of the task's action that answers it. */
export enum PeerMessageKind {
  AcquireSlot = 'dispatcher.acquire',
  ReleaseSlot = 'dispatcher.release',
  CancelRequest = 'dispatcher.cancel',
  SummariseCells = 'dispatcher.summarise',
  ExplainRequest = 'dispatcher.explain',
  CommitRecord = 'ledger.commit',
  ReadClaim = 'ledger.claim',
  ReadBatch = 'ledger.batch',
  OpenBatch = 'batches.open',
  Probe = 'member.probe'
}

const refusalSchema = z.object({
  reason: z.enum(RefusalReason),
  ran: z.enum(Ran),
  detail: z.string(),
  retryAfterMs: z.number().optional()
})

/** Asks the dispatcher of a cell for a slot; answered when one is granted or refused. */
export const acquireSlotSchema = z.object({
  kind: z.literal(PeerMessageKind.AcquireSlot),
  cell: z.string(),
  requestId: z.string(),
  workspace: z.string(),
  weight: z.number().positive(),
  class: z.enum(WorkClass),
  entry: z.string(),
  expectedTokens: z.number().nonnegative(),
  prefix: z.string(),
  digest: z.string(),
  excluded: z.array(z.string()),
  /** Milliseconds the request may still wait and run. */
  leftMs: z.number().nonnegative()
})

/** Gives a slot back and says how its use ended. */
export const releaseSlotSchema = z.object({
  kind: z.literal(PeerMessageKind.ReleaseSlot),
  cell: z.string(),
  slotId: z.string(),
  end: z.enum(SlotEnd),
  actualTokens: z.number().nonnegative()
})

/** Withdraws a request that still waits. */
export const cancelRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.CancelRequest),
  cell: z.string(),
  requestId: z.string()
})

/** Asks for the summaries of all cells a host owns. */
export const summariseCellsSchema = z.object({ kind: z.literal(PeerMessageKind.SummariseCells) })

/** Asks for the decisions a host keeps on one request. */
export const explainRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.ExplainRequest),
  requestId: z.string()
})

/** Asks the owner of a partition to commit records, all or none. */
export const commitRecordSchema = z.object({
  kind: z.literal(PeerMessageKind.CommitRecord),
  partition: z.int().nonnegative(),
  records: z.array(z.custom<LedgerRecord>(isLedgerRecord)).min(1)
})

/** Reads a claim from the owner of its partition. */
export const readClaimSchema = z.object({
  kind: z.literal(PeerMessageKind.ReadClaim),
  partition: z.int().nonnegative(),
  claimId: z.string()
})

/** Reads the events of a batch after a cursor, waiting for the next when there are none. */
export const readBatchSchema = z.object({
  kind: z.literal(PeerMessageKind.ReadBatch),
  partition: z.int().nonnegative(),
  workspace: z.string(),
  batchId: z.string(),
  after: z.int().nonnegative(),
  limit: z.int().positive(),
  waitMs: z.number().nonnegative()
})

/** Tells the owner of a partition that a batch was opened there and is to be run. */
export const openBatchSchema = z.object({
  kind: z.literal(PeerMessageKind.OpenBatch),
  partition: z.int().nonnegative(),
  workspace: z.string(),
  batchId: z.string()
})

/** Asks a host whether it lives and what it knows. */
export const probeSchema = z.object({
  kind: z.literal(PeerMessageKind.Probe)
})

/** Every message between two processes. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  acquireSlotSchema, releaseSlotSchema, cancelRequestSchema, summariseCellsSchema, explainRequestSchema,
  commitRecordSchema, readClaimSchema, readBatchSchema, openBatchSchema, probeSchema
])

function isLedgerRecord (value: unknown): boolean {
  const kinds: readonly string[] = Object.values(LedgerRecordKind)
  return typeof value === 'object' && value !== null && 'kind' in value && kinds.includes(String(value.kind))
}

/** The answer to {@link acquireSlotSchema}. */
export const slotAnswerSchema = z.discriminatedUnion('granted', [
  z.object({ granted: z.literal(true), slotId: z.string(), endpoint: endpointSchema, leaseMs: z.number() }),
  z.object({ granted: z.literal(false), refusal: refusalSchema })
])

/** The answer to {@link summariseCellsSchema}. */
export const cellSummariesSchema = z.object({
  cells: z.array(z.object({
    cell: z.string(),
    freeSlots: z.number(),
    totalSlots: z.number(),
    waiting: z.number(),
    expectedTokensQueued: z.number()
  }))
})

/** What became of a commit. */
export enum CommitStatus {
  Committed = 'committed',
  /** The host does not own the partition. Nothing was written. */
  NotOwner = 'not-owner',
  /** A record contradicts what was committed before. Nothing was written. */
  Rejected = 'rejected',
  /** The store can't be written. Nothing was written. */
  Unavailable = 'unavailable',
  /** Whether the records were written is not known. */
  Unknown = 'unknown'
}

/** The answer to {@link commitRecordSchema}. */
export const commitAnswerSchema = z.object({
  status: z.enum(CommitStatus),
  results: z.array(z.enum(ApplyResult))
})

const recordedAnswerSchema = z.object({
  status: z.int(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array)
})

/** The answer to {@link readClaimSchema}. */
export const claimAnswerSchema = z.discriminatedUnion('status', [
  z.object({ status: z.literal('not-owner') }),
  z.object({ status: z.literal('none') }),
  z.object({
    status: z.literal('held'),
    requestId: z.string(),
    requestDigest: z.string(),
    answer: recordedAnswerSchema.optional()
  })
])

/** The answer to {@link readBatchSchema}. */
export const batchAnswerSchema = z.discriminatedUnion('status', [
  z.object({ status: z.literal('not-owner') }),
  z.object({ status: z.literal('none') }),
  z.object({
    status: z.literal('found'),
    events: z.array(z.custom<BatchEvent>((value) => typeof value === 'object' && value !== null)),
    total: z.int(),
    settled: z.int(),
    acknowledged: z.int(),
    cancelled: z.boolean()
  })
])

/** The answer to {@link explainRequestSchema}. */
export const explanationSchema = z.object({
  records: z.array(z.custom<ChainedDecision>((value) => typeof value === 'object' && value !== null))
})

/** The answer to {@link probeSchema}. */
export const probeAnswerSchema = z.object({
  hostId: z.string(),
  state: z.enum(HostState),
  catalogueRevision: z.int()
})

/** The answer of messages that only need to arrive. */
export const receiptSchema = z.object({ accepted: z.boolean() })

/** The schema of the answer to each kind of message. */
export const peerAnswerSchemas = {
  [PeerMessageKind.AcquireSlot]: slotAnswerSchema,
  [PeerMessageKind.ReleaseSlot]: receiptSchema,
  [PeerMessageKind.CancelRequest]: receiptSchema,
  [PeerMessageKind.SummariseCells]: cellSummariesSchema,
  [PeerMessageKind.ExplainRequest]: explanationSchema,
  [PeerMessageKind.CommitRecord]: commitAnswerSchema,
  [PeerMessageKind.ReadClaim]: claimAnswerSchema,
  [PeerMessageKind.ReadBatch]: batchAnswerSchema,
  [PeerMessageKind.OpenBatch]: receiptSchema,
  [PeerMessageKind.Probe]: probeAnswerSchema
} as const

export type PeerMessage = z.infer<typeof peerMessageSchema>
export type AcquireSlot = z.infer<typeof acquireSlotSchema>
export type ReleaseSlot = z.infer<typeof releaseSlotSchema>
export type CancelRequest = z.infer<typeof cancelRequestSchema>
export type ExplainRequest = z.infer<typeof explainRequestSchema>
export type CommitRecord = z.infer<typeof commitRecordSchema>
export type ReadClaim = z.infer<typeof readClaimSchema>
export type ReadBatch = z.infer<typeof readBatchSchema>
export type OpenBatch = z.infer<typeof openBatchSchema>
export type SlotAnswer = z.infer<typeof slotAnswerSchema>
export type CommitAnswer = z.infer<typeof commitAnswerSchema>
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>
export type BatchAnswer = z.infer<typeof batchAnswerSchema>
export type Explanation = z.infer<typeof explanationSchema>
export type ProbeAnswer = z.infer<typeof probeAnswerSchema>
export type Receipt = z.infer<typeof receiptSchema>
export type CellSummaries = z.infer<typeof cellSummariesSchema>

/** The answer that belongs to a kind of message. */
export type PeerAnswer<Kind extends PeerMessageKind> = z.infer<(typeof peerAnswerSchemas)[Kind]>
