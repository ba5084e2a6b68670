import * as z from 'zod'
import { SendUrgency } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'

/** An incarnation of an endpoint. */
const endpointIncarnationSchema = z.object({
  endpointId: z.string(),
  bornAt: z.number()
})

/** Asks the keeper of an endpoint's account to grant requests to the endpoint. */
export const requestSendsSchema = endpointIncarnationSchema.extend({
  kind: z.literal(PeerMessageKind.RequestSends),
  /** The limit that the endpoint named to the sender, or that of a cold endpoint if it is smaller. */
  requestsPerSecond: z.number().nonnegative(),
  /** Time since the endpoint last named it, in milliseconds. */
  ageMs: z.number().nonnegative(),
  urgency: z.enum(SendUrgency),
  /** Number of requests that the sender would send now. */
  count: z.int().positive(),
  /** Time for which they can wait, in milliseconds. */
  waitMs: z.number().nonnegative(),
  /** The limit of a cold endpoint, which no answer without a limit lifts; absent if the sender doesn't take it for cold. */
  cold: z.object({
    requestsPerSecond: z.number().nonnegative(),
    /** Time for which it remains cold, as far as the sender knows, in milliseconds. */
    leftMs: z.number().nonnegative()
  }).optional()
})

/** The response to {@link requestSendsSchema}. */
export const sendGrantSchema = z.object({
  granted: z.int().nonnegative(),
  /** Expected time until another request is granted, in milliseconds. */
  retryAfterMs: z.number().nonnegative(),
  /** Whether a later answer of the endpoint, to another host, named no limit. */
  lifted: z.boolean()
})

/** Reports requests that were sent to the endpoint without a grant. */
export const chargeSendsSchema = endpointIncarnationSchema.extend({ kind: z.literal(PeerMessageKind.ChargeSends) })

/** Reports that the endpoint has said that it is leaving. */
export const reportEndpointLeavingSchema = endpointIncarnationSchema.extend({ kind: z.literal(PeerMessageKind.ReportEndpointLeaving) })

/** Reports that the endpoint names no limit any more. */
export const reportLimitLiftedSchema = endpointIncarnationSchema.extend({
  kind: z.literal(PeerMessageKind.ReportLimitLifted),
  /** Time since the request was sent whose answer named none, in milliseconds. */
  ageMs: z.number().nonnegative()
})

export type RequestSends = z.infer<typeof requestSendsSchema>
export type SendReply = z.infer<typeof sendGrantSchema>
