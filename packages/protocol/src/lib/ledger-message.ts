import * as z from 'zod'
import { ApplyResult, LedgerRecordKind } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'
import type { BatchEvent, LedgerRecord } from '@cyclamenthread/state'

/** @internal */
export function isLedgerRecord (value: unknown): boolean {
  const kinds: readonly string[] = Object.values(LedgerRecordKind)
  return typeof value === 'object' && value !== null && 'kind' in value && kinds.includes(String(value.kind))
}

/** Asks the owner of a partition to commit records atomically. */
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

/** Reads the events of a batch after a cursor; waits for the next event if there are none. */
export const readBatchSchema = z.object({
  kind: z.literal(PeerMessageKind.ReadBatch),
  partition: z.int().nonnegative(),
  workspace: z.string(),
  batchId: z.string(),
  after: z.int().nonnegative(),
  limit: z.int().positive(),
  waitMs: z.number().nonnegative()
})

/** Outcome of a commit. */
export enum CommitStatus {
  Committed = 'committed',
  /** The host doesn't own the partition. Nothing was written. */
  NotOwner = 'not-owner',
  /** A record conflicts with an earlier commit. Nothing was written. */
  Rejected = 'rejected',
  /** The store can't be written. Nothing was written. */
  Unavailable = 'unavailable',
  /** The records may or may not have been written. */
  Unknown = 'unknown'
}

/** The response to {@link commitRecordSchema}. */
export const commitResponseSchema = z.object({
  status: z.enum(CommitStatus),
  results: z.array(z.enum(ApplyResult))
})

const recordedAnswerSchema = z.object({
  status: z.int(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  forgotten: z.boolean().exactOptional()
})

/** The response to {@link readClaimSchema}. */
export const readClaimResponseSchema = z.discriminatedUnion('status', [
  z.object({ status: z.literal('not-owner') }),
  z.object({ status: z.literal('none') }),
  z.object({
    status: z.literal('held'),
    requestId: z.string(),
    requestDigest: z.string(),
    /** The call was sent, its answer was lost, and it is no longer running. */
    uncertain: z.boolean(),
    answer: recordedAnswerSchema.optional()
  })
])

/** The response to {@link readBatchSchema}. */
export const readBatchResponseSchema = z.discriminatedUnion('status', [
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

export type CommitRecord = z.infer<typeof commitRecordSchema>
export type ReadClaim = z.infer<typeof readClaimSchema>
export type ReadBatch = z.infer<typeof readBatchSchema>
export type CommitResponse = z.infer<typeof commitResponseSchema>
export type ReadClaimResponse = z.infer<typeof readClaimResponseSchema>
export type ReadBatchResponse = z.infer<typeof readBatchResponseSchema>
