import * as z from 'zod'
import { isLedgerRecord } from './ledger-message.js'
import { PeerMessageKind } from './message-kind.js'
import type { LedgerRecord } from '@cyclamenthread/state'

const journalEntrySchema = z.object({
  /** Names the entry; drawn at random by its origin. */
  id: z.string(),
  partition: z.int().nonnegative(),
  record: z.custom<LedgerRecord>(isLedgerRecord)
})

/** Gives records that can't be committed yet to a host with a data folder; accepted once they are on its disk. */
export const appendJournalSchema = z.object({
  kind: z.literal(PeerMessageKind.AppendJournal),
  entries: z.array(journalEntrySchema).min(1)
})

/** Says that journaled records are committed. */
export const trimJournalSchema = z.object({
  kind: z.literal(PeerMessageKind.TrimJournal),
  ids: z.array(z.string()).min(1)
})

export type JournalEntry = z.infer<typeof journalEntrySchema>
