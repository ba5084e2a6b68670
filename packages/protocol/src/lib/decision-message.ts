import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'
import type { ChainedDecision } from '@cyclamenthread/state'

/** Asks for the decisions a host keeps on one request. */
export const explainRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.ExplainRequest),
  requestId: z.string()
})

/** The answer to {@link explainRequestSchema}. */
export const explanationSchema = z.object({
  records: z.array(z.custom<ChainedDecision>((value) => typeof value === 'object' && value !== null))
})

/** Gives decisions to a host with a data folder; accepted once they are on its disk. */
export const keepDecisionsSchema = z.object({
  kind: z.literal(PeerMessageKind.KeepDecisions),
  records: z.array(z.custom<ChainedDecision>((value) => typeof value === 'object' && value !== null)).min(1)
})

export type ExplainRequest = z.infer<typeof explainRequestSchema>
export type Explanation = z.infer<typeof explanationSchema>
