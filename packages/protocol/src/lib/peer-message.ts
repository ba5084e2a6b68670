import * as z from 'zod'
import { openBatchSchema } from './batch-message.js'
import { explainRequestSchema, explanationSchema, keepDecisionsSchema } from './decision-message.js'
import {
  announceCatalogueSchema, catalogueAnswerSchema, checkAnswerSchema, checkCatalogueSchema, fetchCatalogueSchema, fetchPartsSchema, partsAnswerSchema
} from './catalogue-message.js'
import {
  acquireSlotSchema, cancelRequestSchema, cellSummariesSchema, heldSlotsSchema, listHeldSlotsSchema, pushSummariesSchema, releaseSlotSchema,
  slotAnswerSchema, summariseCellsSchema
} from './dispatcher-message.js'
import { askLimitSchema, limitGrantSchema } from './limit-message.js'
import {
  batchAnswerSchema, claimAnswerSchema, commitAnswerSchema, commitRecordSchema, readBatchSchema, readClaimSchema
} from './ledger-message.js'
import { appendJournalSchema, trimJournalSchema } from './journal-message.js'
import { membershipSchema, probeAnswerSchema, probeSchema } from './member-message.js'
import { PeerMessageKind } from './message-kind.js'
import { relayMirrorsSchema } from './mirror-message.js'
import { clearSuspectSchema, noteLossSchema } from './quarantine-message.js'
import { receiptSchema } from './receipt.js'
import { acceptanceSchema, acceptRolloutSchema, adoptRolloutSchema, endRolloutSchema, noteDemandSchema, noteWeightsSchema, readRolloutSchema, readTallySchema, rolloutPageSchema, runRolloutSchema, tallySchema } from './rollout-message.js'

/** Every message between two processes. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  acquireSlotSchema, releaseSlotSchema, cancelRequestSchema, summariseCellsSchema, pushSummariesSchema, listHeldSlotsSchema,
  askLimitSchema, noteLossSchema, clearSuspectSchema, explainRequestSchema, keepDecisionsSchema, appendJournalSchema, trimJournalSchema,
  commitRecordSchema, readClaimSchema, readBatchSchema, openBatchSchema, probeSchema, membershipSchema,
  checkCatalogueSchema, fetchCatalogueSchema, fetchPartsSchema, announceCatalogueSchema,
  acceptRolloutSchema, runRolloutSchema, adoptRolloutSchema, readRolloutSchema, endRolloutSchema, noteWeightsSchema, noteDemandSchema, readTallySchema, relayMirrorsSchema
])

/** The schema of the answer to each kind of message. */
export const peerAnswerSchemas = {
  [PeerMessageKind.AcquireSlot]: slotAnswerSchema,
  [PeerMessageKind.ReleaseSlot]: receiptSchema,
  [PeerMessageKind.CancelRequest]: receiptSchema,
  [PeerMessageKind.SummariseCells]: cellSummariesSchema,
  [PeerMessageKind.PushSummaries]: receiptSchema,
  [PeerMessageKind.ListHeldSlots]: heldSlotsSchema,
  [PeerMessageKind.AskLimit]: limitGrantSchema,
  [PeerMessageKind.NoteLoss]: receiptSchema,
  [PeerMessageKind.ClearSuspect]: receiptSchema,
  [PeerMessageKind.ExplainRequest]: explanationSchema,
  [PeerMessageKind.KeepDecisions]: receiptSchema,
  [PeerMessageKind.AppendJournal]: receiptSchema,
  [PeerMessageKind.TrimJournal]: receiptSchema,
  [PeerMessageKind.CommitRecord]: commitAnswerSchema,
  [PeerMessageKind.ReadClaim]: claimAnswerSchema,
  [PeerMessageKind.ReadBatch]: batchAnswerSchema,
  [PeerMessageKind.OpenBatch]: receiptSchema,
  [PeerMessageKind.Probe]: probeAnswerSchema,
  [PeerMessageKind.Membership]: receiptSchema,
  [PeerMessageKind.CheckCatalogue]: checkAnswerSchema,
  [PeerMessageKind.FetchCatalogue]: catalogueAnswerSchema,
  [PeerMessageKind.FetchParts]: partsAnswerSchema,
  [PeerMessageKind.AnnounceCatalogue]: receiptSchema,
  [PeerMessageKind.AcceptRollout]: acceptanceSchema,
  [PeerMessageKind.RunRollout]: receiptSchema,
  [PeerMessageKind.AdoptRollout]: receiptSchema,
  [PeerMessageKind.ReadRollout]: rolloutPageSchema,
  [PeerMessageKind.EndRollout]: receiptSchema,
  [PeerMessageKind.NoteWeights]: receiptSchema,
  [PeerMessageKind.NoteDemand]: receiptSchema,
  [PeerMessageKind.ReadTally]: tallySchema,
  [PeerMessageKind.RelayMirrors]: receiptSchema
} as const

/** A message between two processes. */
export type PeerMessage = z.infer<typeof peerMessageSchema>

/** The answer that belongs to a kind of message. */
export type PeerAnswer<Kind extends PeerMessageKind> = z.infer<(typeof peerAnswerSchemas)[Kind]>
