import { z } from 'zod'
import { LedgerRecordKind } from '@cyclamenthread/state'
import type { LedgerRecord } from '@cyclamenthread/state'

/** A committed record and the usage window of its commit, as the store keeps it. */
const storedRecordSchema = z.object({ window: z.int(), record: z.unknown() })

const ledgerHeadSchema = z.object({
  epoch: z.int().positive(),
  /** Host and incarnation that may commit. */
  owner: z.string(),
  sequence: z.int().nonnegative(),
  /** Usage window of the next commit; only moves on. */
  window: z.int().nonnegative(),
  /** Identifies the write, so that its author can tell after a lost answer whether it took effect. */
  writeId: z.string(),
  /** Sealed segments, the last of which has this number less one. */
  segments: z.int().nonnegative(),
  open: z.array(storedRecordSchema)
})

const segmentSchema = z.object({ records: z.array(storedRecordSchema) })

export type StoredRecord = z.infer<typeof storedRecordSchema>

/** The head object of a ledger partition: the one place where its commits happen. */
export type LedgerHead = z.infer<typeof ledgerHeadSchema>

/** Reads a head object; undefined when it is none. */
export function parseLedgerHead (value: unknown): LedgerHead | undefined {
  return ledgerHeadSchema.safeParse(value).data
}

/** Reads the records of a sealed segment; undefined when it is none. */
export function parseLedgerSegment (value: unknown): readonly StoredRecord[] | undefined {
  return segmentSchema.safeParse(value).data?.records
}

/** Turns a record into JSON values: bytes become base64. */
export function storeRecord (record: LedgerRecord, window: number): StoredRecord {
  if (record.kind !== LedgerRecordKind.Answer) return { window, record }
  const body = Buffer.from(record.answer.body).toString('base64')
  return { window, record: { ...record, answer: { ...record.answer, body } } }
}

/** The record that {@link storeRecord} stored. */
export function restoreRecord (stored: StoredRecord): LedgerRecord {
  const record = stored.record as LedgerRecord
  if (record.kind !== LedgerRecordKind.Answer) return record
  const body = new Uint8Array(Buffer.from(String(record.answer.body), 'base64'))
  return { ...record, answer: { ...record.answer, body } }
}
