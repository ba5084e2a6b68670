import * as z from 'zod'
import { RequestOrigin } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'

/** Reports that an endpoint was lost while it ran a request. */
export const reportEndpointLossSchema = z.object({
  kind: z.literal(PeerMessageKind.ReportEndpointLoss),
  digest: z.string(),
  origin: z.enum(RequestOrigin).default(RequestOrigin.Caller),
  endpointId: z.string()
})

/** Reports that a request suspected of crashing endpoints finished. */
export const clearSuspectSchema = z.object({
  kind: z.literal(PeerMessageKind.ClearSuspect),
  digest: z.string(),
  origin: z.enum(RequestOrigin).default(RequestOrigin.Caller)
})

export type ReportEndpointLoss = z.infer<typeof reportEndpointLossSchema>
export type ClearSuspect = z.infer<typeof clearSuspectSchema>
