import * as z from 'zod'
import { limitsSchema } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'

/**
 * Asks the owner of a limit account to grant as many of the demands as the
 * limits allow. Without demands, it only reports how many requests the host runs.
 */
export const requestLimitGrantSchema = z.object({
  kind: z.literal(PeerMessageKind.RequestLimitGrant),
  account: z.string(),
  limits: limitsSchema,
  /** Number of requests that the host runs under this account, excluding the demands. */
  held: z.int().nonnegative(),
  demands: z.array(z.object({ requests: z.int().nonnegative(), tokens: z.number().nonnegative() }))
})

/** The response to {@link requestLimitGrantSchema}. */
export const limitGrantSchema = z.object({
  granted: z.int().nonnegative(),
  retryAfterMs: z.number().nonnegative()
})

export type RequestLimitGrant = z.infer<typeof requestLimitGrantSchema>
