import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'

/** Tells a host that an endpoint was lost while it ran a request. */
export const reportEndpointLossSchema = z.object({
  kind: z.literal(PeerMessageKind.ReportEndpointLoss),
  digest: z.string(),
  endpointId: z.string()
})

/** Tells a host that a suspect request ran to its end. */
export const clearSuspectSchema = z.object({
  kind: z.literal(PeerMessageKind.ClearSuspect),
  digest: z.string()
})

export type ReportEndpointLoss = z.infer<typeof reportEndpointLossSchema>
export type ClearSuspect = z.infer<typeof clearSuspectSchema>
