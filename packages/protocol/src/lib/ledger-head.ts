import * as z from 'zod'
import { LedgerRecordKind } from '@cyclamenthread/state'
import type { LedgerRecord, UsageTotal } from '@cyclamenthread/state'
import type { UsageWindow } from './platform-client.js'

/** An immutable object that a head refers to, and the version under which it can be removed. */
const objectReferenceSchema = z.object({ key: z.string(), version: z.string() })

/**
 * A committed record and the usage window of its commit, as the store keeps it.
 * A record too large for a head lies in pages of its own.
 */
const storedRecordSchema = z.object({
  window: z.int(),
  record: z.unknown().optional(),
  pages: z.array(objectReferenceSchema).optional()
})

/** Usage of a closed window of one partition; absent from the head when there was none. */
const usageSummaryReferenceSchema = z.object({
  window: z.int(),
  object: objectReferenceSchema.optional(),
  /** False when a journal with usage of an outage was lost. */
  complete: z.boolean()
})

const ledgerHeadSchema = z.object({
  epoch: z.int().positive(),
  /** Host and incarnation that may commit. */
  owner: z.string(),
  /** Records committed so far. */
  sequence: z.int().nonnegative(),
  /** Usage window of the next commit; only moves on. */
  window: z.int().nonnegative(),
  /** Identifies the write, so that its author can tell after a lost answer whether it took effect. */
  writeId: z.string(),
  /** Pages of the last snapshot, in their order. */
  snapshot: z.array(objectReferenceSchema),
  /** Sealed segments since the snapshot, oldest first. */
  segments: z.array(objectReferenceSchema),
  /** Records since the last segment. */
  open: z.array(storedRecordSchema),
  /** Usage of closed windows that are not reported yet. */
  summaries: z.array(usageSummaryReferenceSchema),
  /** Objects that nothing refers to any more and that are to be removed. */
  obsolete: z.array(objectReferenceSchema),
  /** False while usage of the current window is known to be lost. */
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

/** The head object of a ledger partition: the one place where its commits happen. */
export type LedgerHead = z.infer<typeof ledgerHeadSchema>

/** The head of a partition that was never owned. */
export const INITIAL_LEDGER_HEAD: Omit<LedgerHead, 'epoch' | 'owner' | 'writeId'> = {
  sequence: 0, window: 0, snapshot: [], segments: [], open: [], summaries: [], obsolete: [], complete: true
}

/** Reads a head object; undefined when it is none. */
export function parseLedgerHead (value: unknown): LedgerHead | undefined {
  return ledgerHeadSchema.safeParse(value).data
}

/** Reads the records of a sealed segment; undefined when it is none. */
export function parseLedgerSegment (value: unknown): readonly StoredRecord[] | undefined {
  return segmentSchema.safeParse(value).data?.records
}

/** Reads the text of a page; undefined when it is none. */
export function parseLedgerPage (value: unknown): string | undefined {
  return pageSchema.safeParse(value).data?.text
}

/** Reads the usage of one closed window of one partition; undefined when it is none. */
export function parseUsageSummary (value: unknown): readonly UsageTotal[] | undefined {
  return usageSummarySchema.safeParse(value).data?.totals
}

/** Reads a sealed usage window; undefined when it is none. */
export function parseUsageWindow (value: unknown): UsageWindow | undefined {
  return usageWindowSchema.safeParse(value).data
}

/** Characters of one page. In the worst case each takes three bytes, so that a page stays below a megabyte. */
const MAX_PAGE_CHARACTERS = 256 * 1024

/**
 * Cuts a text into pages that the store can hold.
 *
 * @example
 * cutPages('ab') // ['ab']
 */
export function splitIntoPages (text: string): string[] {
  const pages: string[] = []
  for (let from = 0; from < text.length; from += MAX_PAGE_CHARACTERS) pages.push(text.slice(from, from + MAX_PAGE_CHARACTERS))
  return pages
}

/** A value as JSON, with bytes as base64. */
export function encodeJson (value: unknown): string {
  return JSON.stringify(value, (_, part: unknown) => part instanceof Uint8Array ? { base64: Buffer.from(part).toString('base64') } : part)
}

/** The value that {@link encodeJson} wrote. */
export function decodeJson (text: string): unknown {
  return JSON.parse(text, (_, part: unknown) => isBase64(part) ? new Uint8Array(Buffer.from(part.base64, 'base64')) : part)
}

function isBase64 (value: unknown): value is { base64: string } {
  return typeof value === 'object' && value !== null && 'base64' in value && typeof value.base64 === 'string' && Object.keys(value).length === 1
}

/** Turns a record into JSON values: the bytes of an answer become base64. */
export function encodeStoredRecord (record: LedgerRecord, window: number): StoredRecord {
  if (record.kind !== LedgerRecordKind.Answer) return { window, record }
  const body = Buffer.from(record.answer.body).toString('base64')
  return { window, record: { ...record, answer: { ...record.answer, body } } }
}

/** The record that {@link encodeStoredRecord} stored, given the value it was stored as. */
export function decodeStoredRecord (stored: unknown): LedgerRecord {
  const record = stored as LedgerRecord
  if (record.kind !== LedgerRecordKind.Answer) return record
  const body = new Uint8Array(Buffer.from(String(record.answer.body), 'base64'))
  return { ...record, answer: { ...record.answer, body } }
}
