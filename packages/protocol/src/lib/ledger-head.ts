import * as z from 'zod'
import { LedgerRecordKind } from '@cyclamenthread/state'
import type { LedgerRecord, UsageTotal } from '@cyclamenthread/state'
import type { UsageWindow } from './platform-client.js'

/** Reference to an immutable object, with the version that is required to remove it. */
const objectReferenceSchema = z.object({ key: z.string(), version: z.string() })

/**
 * Stored form of a committed record and the usage window of its commit. A
 * record that is too large for the head is stored in separate pages.
 */
const storedRecordSchema = z.object({
  window: z.int(),
  record: z.unknown().optional(),
  pages: z.array(objectReferenceSchema).optional()
})

/** Usage of a closed window of one partition; windows without usage have no entry in the head. */
const usageSummaryReferenceSchema = z.object({
  window: z.int(),
  object: objectReferenceSchema.optional(),
  /** False if a journal with usage from an outage was lost. */
  complete: z.boolean()
})

const ledgerHeadSchema = z.object({
  epoch: z.int().positive(),
  /** Host and incarnation that are allowed to commit. */
  owner: z.string(),
  /** Number of records committed so far. */
  sequence: z.int().nonnegative(),
  /** Usage window of the next commit; never decreases. */
  window: z.int().nonnegative(),
  /** Identifies the write, so that its author can determine after a lost response whether it took effect. */
  writeId: z.string(),
  /** Pages of the last snapshot, in order. */
  snapshot: z.array(objectReferenceSchema),
  /** Sealed segments since the snapshot, oldest first. */
  segments: z.array(objectReferenceSchema),
  /** Records since the last segment. */
  open: z.array(storedRecordSchema),
  /** Usage of closed windows that haven't been reported yet. */
  summaries: z.array(usageSummaryReferenceSchema),
  /** Unreferenced objects that still have to be removed. */
  obsolete: z.array(objectReferenceSchema),
  /** False if usage of the current window is known to be lost. */
  complete: z.boolean()
})

const segmentSchema = z.object({ records: z.array(storedRecordSchema) })
const pageSchema = z.object({ text: z.string() })
const usageTotalSchema = z.object({
  workspace: z.string(),
  entry: z.string(),
  correctionOf: z.int().exactOptional(),
  promptTokens: z.int(),
  answerTokens: z.int(),
  calls: z.int(),
  items: z.int()
})
const usageWindowSchema = z.object({
  window: z.int(),
  from: z.int(),
  to: z.int(),
  complete: z.boolean(),
  totals: z.array(usageTotalSchema)
})
const usageSummarySchema = z.object({ totals: z.array(usageTotalSchema) })

export type ObjectReference = z.infer<typeof objectReferenceSchema>
export type StoredRecord = z.infer<typeof storedRecordSchema>
export type UsageSummaryReference = z.infer<typeof usageSummaryReferenceSchema>

/** The head object of a ledger partition. Every commit is one conditional write of it. */
export type LedgerHead = z.infer<typeof ledgerHeadSchema>

/** Initial head of a partition that has never had an owner. */
export const INITIAL_LEDGER_HEAD: Omit<LedgerHead, 'epoch' | 'owner' | 'writeId'> = {
  sequence: 0, window: 0, snapshot: [], segments: [], open: [], summaries: [], obsolete: [], complete: true
}

/** Parses a head object; undefined if the value is invalid. */
export function parseLedgerHead (value: unknown): LedgerHead | undefined {
  return ledgerHeadSchema.safeParse(value).data
}

/** Parses the records of a sealed segment; undefined if the value is invalid. */
export function parseLedgerSegment (value: unknown): readonly StoredRecord[] | undefined {
  return segmentSchema.safeParse(value).data?.records
}

/** Parses the text of a page; undefined if the value is invalid. */
export function parseLedgerPage (value: unknown): string | undefined {
  return pageSchema.safeParse(value).data?.text
}

/** Parses the usage of one closed window of one partition; undefined if the value is invalid. */
export function parseUsageSummary (value: unknown): readonly UsageTotal[] | undefined {
  return usageSummarySchema.safeParse(value).data?.totals
}

/** Parses a sealed usage window; undefined if the value is invalid. */
export function parseUsageWindow (value: unknown): UsageWindow | undefined {
  return usageWindowSchema.safeParse(value).data
}

/** Maximum number of characters in a page. A character takes at most three bytes, so a page stays below one megabyte. */
const MAX_PAGE_CHARACTERS = 256 * 1024

/**
 * Splits a text into pages that fit into one stored object.
 *
 * @example
 * splitIntoPages('ab') // ['ab']
 */
export function splitIntoPages (text: string): string[] {
  const pages: string[] = []
  for (let from = 0; from < text.length; from += MAX_PAGE_CHARACTERS) pages.push(text.slice(from, from + MAX_PAGE_CHARACTERS))
  return pages
}

/** Encodes a value as JSON, with byte arrays in base64. */
export function encodeJson (value: unknown): string {
  return JSON.stringify(value, (_, part: unknown) => part instanceof Uint8Array ? { base64: Buffer.from(part).toString('base64') } : part)
}

/** Decodes the output of {@link encodeJson}. */
export function decodeJson (text: string): unknown {
  return JSON.parse(text, (_, part: unknown) => isBase64(part) ? new Uint8Array(Buffer.from(part.base64, 'base64')) : part)
}

function isBase64 (value: unknown): value is { base64: string } {
  return typeof value === 'object' && value !== null && 'base64' in value && typeof value.base64 === 'string' && Object.keys(value).length === 1
}

/** Converts a record to its stored form, with the body of an answer in base64. */
export function encodeStoredRecord (record: LedgerRecord, window: number): StoredRecord {
  if (record.kind !== LedgerRecordKind.Answer) return { window, record }
  const body = Buffer.from(record.answer.body).toString('base64')
  return { window, record: { ...record, answer: { ...record.answer, body } } }
}

/** Decodes the `record` field that {@link encodeStoredRecord} produced. */
export function decodeStoredRecord (stored: unknown): LedgerRecord {
  const record = stored as LedgerRecord
  if (record.kind !== LedgerRecordKind.Answer) return record
  const body = new Uint8Array(Buffer.from(String(record.answer.body), 'base64'))
  return { ...record, answer: { ...record.answer, body } }
}
