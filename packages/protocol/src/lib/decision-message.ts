import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'
import type { ChainedDecision } from '@cyclamenthread/state'

/** Asks a host for the decision records that it holds about one request. */
export const readRequestDecisionsSchema = z.object({
  kind: z.literal(PeerMessageKind.ReadRequestDecisions),
  requestId: z.string()
})

/** The response to {@link readRequestDecisionsSchema}. */
export const requestDecisionsSchema = z.object({
  records: z.array(z.custom<ChainedDecision>((value) => typeof value === 'object' && value !== null))
})

/** Copies decision records to a host with a data folder; accepted once they are on its disk. */
export const archiveDecisionsSchema = z.object({
  kind: z.literal(PeerMessageKind.ArchiveDecisions),
  records: z.array(z.custom<ChainedDecision>((value) => typeof value === 'object' && value !== null)).min(1)
})

export type ReadRequestDecisions = z.infer<typeof readRequestDecisionsSchema>
export type RequestDecisions = z.infer<typeof requestDecisionsSchema>
