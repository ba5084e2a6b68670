import * as z from 'zod'
import { limitsSchema } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'

/**
 * Asks the owner of a limit account for as many of the demands as the limits
 * permit; without demands it only tells what the host holds.
 */
export const requestLimitGrantSchema = z.object({
  kind: z.literal(PeerMessageKind.RequestLimitGrant),
  account: z.string(),
  limits: limitsSchema,
  /** Requests that the host runs under this account, without the demands. */
  held: z.int().nonnegative(),
  demands: z.array(z.object({ requests: z.int().nonnegative(), tokens: z.number().nonnegative() }))
})

/** The answer to {@link requestLimitGrantSchema}. */
export const limitGrantSchema = z.object({
  granted: z.int().nonnegative(),
  retryAfterMs: z.number().nonnegative()
})

export type RequestLimitGrant = z.infer<typeof requestLimitGrantSchema>
