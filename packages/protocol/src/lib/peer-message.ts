import * as z from 'zod'
import { openBatchSchema } from './batch-message.js'
import { readRequestDecisionsSchema, requestDecisionsSchema, archiveDecisionsSchema } from './decision-message.js'
import {
  announceCatalogueSchema, fetchCatalogueResponseSchema, catalogueStatusSchema, readCatalogueStatusSchema, fetchCatalogueSchema, fetchCataloguePartsSchema, fetchCataloguePartsResponseSchema
} from './catalogue-message.js'
import {
  acquireSlotSchema, cancelRequestSchema, cellSummariesSchema, heldSlotsSchema, listHeldSlotsSchema, pushSummariesSchema, releaseSlotSchema,
  acquireSlotResponseSchema, summariseCellsSchema
} from './dispatcher-message.js'
import { requestLimitGrantSchema, limitGrantSchema } from './limit-message.js'
import {
  readBatchResponseSchema, readClaimResponseSchema, commitResponseSchema, commitRecordSchema, readBatchSchema, readClaimSchema
} from './ledger-message.js'
import { appendJournalSchema, trimJournalSchema } from './journal-message.js'
import { membershipEnvelopeSchema, probeResponseSchema, probeSchema } from './member-message.js'
import { PeerMessageKind } from './message-kind.js'
import { mirrorAgeSchema, readMirrorAgeSchema, relayMirrorUpdateSchema } from './mirror-message.js'
import { clearSuspectSchema, reportEndpointLossSchema } from './quarantine-message.js'
import { forwardCallSchema, forwardedCallSchema } from './call-message.js'
import { offerDutiesSchema } from './duty-message.js'
import { clearCrashesSchema, endpointProbeSchema, heldRequestsSchema, probeEndpointSchema, readHeldRequestsSchema, reportCrashSchema, shareCrashesSchema } from './crash-message.js'
import { chargeSendsSchema, reportEndpointLeavingSchema, reportLimitLiftedSchema, requestSendsSchema, sendGrantSchema } from './endpoint-message.js'
import { findStreamOriginResponseSchema, findStreamOriginSchema, recordStreamOriginSchema } from './stream-message.js'
import { acceptedResponseSchema } from './accepted-response.js'
import { acceptRolloutResponseSchema, acceptRolloutSchema, adoptRolloutSchema, endRolloutSchema, keepRolloutEndsSchema, offerRolloutResponseSchema, offerRolloutSchema, reportDemandSchema, reportEndpointWeightsSchema, readRolloutSchema, readRequestCountsSchema, recheckRolloutSchema, rolloutPageSchema, runRolloutSchema, requestCountsSchema } from './rollout-message.js'

/** All messages between hosts. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  acquireSlotSchema, releaseSlotSchema, cancelRequestSchema, summariseCellsSchema, pushSummariesSchema, listHeldSlotsSchema,
  requestLimitGrantSchema, reportEndpointLossSchema, clearSuspectSchema, readRequestDecisionsSchema, archiveDecisionsSchema, appendJournalSchema, trimJournalSchema,
  commitRecordSchema, readClaimSchema, readBatchSchema, openBatchSchema, probeSchema, membershipEnvelopeSchema,
  readCatalogueStatusSchema, fetchCatalogueSchema, fetchCataloguePartsSchema, announceCatalogueSchema,
  acceptRolloutSchema, offerRolloutSchema, runRolloutSchema, adoptRolloutSchema, readRolloutSchema, endRolloutSchema, keepRolloutEndsSchema, recheckRolloutSchema, reportEndpointWeightsSchema, reportDemandSchema, readRequestCountsSchema, relayMirrorUpdateSchema, readMirrorAgeSchema,
  recordStreamOriginSchema, findStreamOriginSchema, requestSendsSchema, chargeSendsSchema, reportLimitLiftedSchema, reportEndpointLeavingSchema, forwardCallSchema,
  reportCrashSchema, shareCrashesSchema, clearCrashesSchema, readHeldRequestsSchema, probeEndpointSchema, offerDutiesSchema
])

/** Schema of the response to each kind of message. */
export const peerResponseSchemas = {
  [PeerMessageKind.AcquireSlot]: acquireSlotResponseSchema,
  [PeerMessageKind.ReleaseSlot]: acceptedResponseSchema,
  [PeerMessageKind.CancelRequest]: acceptedResponseSchema,
  [PeerMessageKind.SummariseCells]: cellSummariesSchema,
  [PeerMessageKind.PushSummaries]: acceptedResponseSchema,
  [PeerMessageKind.ListHeldSlots]: heldSlotsSchema,
  [PeerMessageKind.RequestLimitGrant]: limitGrantSchema,
  [PeerMessageKind.ReportEndpointLoss]: acceptedResponseSchema,
  [PeerMessageKind.ClearSuspect]: acceptedResponseSchema,
  [PeerMessageKind.ReadRequestDecisions]: requestDecisionsSchema,
  [PeerMessageKind.ArchiveDecisions]: acceptedResponseSchema,
  [PeerMessageKind.AppendJournal]: acceptedResponseSchema,
  [PeerMessageKind.TrimJournal]: acceptedResponseSchema,
  [PeerMessageKind.CommitRecord]: commitResponseSchema,
  [PeerMessageKind.ReadClaim]: readClaimResponseSchema,
  [PeerMessageKind.ReadBatch]: readBatchResponseSchema,
  [PeerMessageKind.OpenBatch]: acceptedResponseSchema,
  [PeerMessageKind.Probe]: probeResponseSchema,
  [PeerMessageKind.MembershipGossip]: acceptedResponseSchema,
  [PeerMessageKind.ReadCatalogueStatus]: catalogueStatusSchema,
  [PeerMessageKind.FetchCatalogue]: fetchCatalogueResponseSchema,
  [PeerMessageKind.FetchCatalogueParts]: fetchCataloguePartsResponseSchema,
  [PeerMessageKind.AnnounceCatalogue]: acceptedResponseSchema,
  [PeerMessageKind.AcceptRollout]: acceptRolloutResponseSchema,
  [PeerMessageKind.OfferRollout]: offerRolloutResponseSchema,
  [PeerMessageKind.RunRollout]: acceptedResponseSchema,
  [PeerMessageKind.AdoptRollout]: acceptedResponseSchema,
  [PeerMessageKind.ReadRollout]: rolloutPageSchema,
  [PeerMessageKind.EndRollout]: acceptedResponseSchema,
  [PeerMessageKind.KeepRolloutEnds]: acceptedResponseSchema,
  [PeerMessageKind.RecheckRollout]: acceptedResponseSchema,
  [PeerMessageKind.ReportEndpointWeights]: acceptedResponseSchema,
  [PeerMessageKind.ReportDemand]: acceptedResponseSchema,
  [PeerMessageKind.ReadRequestCounts]: requestCountsSchema,
  [PeerMessageKind.RelayMirrorUpdate]: acceptedResponseSchema,
  [PeerMessageKind.ReadMirrorAge]: mirrorAgeSchema,
  [PeerMessageKind.RecordStreamOrigin]: acceptedResponseSchema,
  [PeerMessageKind.FindStreamOrigin]: findStreamOriginResponseSchema,
  [PeerMessageKind.RequestSends]: sendGrantSchema,
  [PeerMessageKind.ChargeSends]: acceptedResponseSchema,
  [PeerMessageKind.ReportLimitLifted]: acceptedResponseSchema,
  [PeerMessageKind.ReportEndpointLeaving]: acceptedResponseSchema,
  [PeerMessageKind.ReportCrash]: acceptedResponseSchema,
  [PeerMessageKind.ShareCrashes]: acceptedResponseSchema,
  [PeerMessageKind.ClearCrashes]: acceptedResponseSchema,
  [PeerMessageKind.ReadHeldRequests]: heldRequestsSchema,
  [PeerMessageKind.ProbeEndpoint]: endpointProbeSchema,
  [PeerMessageKind.OfferDuties]: acceptedResponseSchema,
  [PeerMessageKind.ForwardCall]: forwardedCallSchema
} as const

/** A message between hosts. */
export type PeerMessage = z.infer<typeof peerMessageSchema>

/** The response to a kind of message. */
export type PeerResponse<Kind extends PeerMessageKind> = z.infer<(typeof peerResponseSchemas)[Kind]>
