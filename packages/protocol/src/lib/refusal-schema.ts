import * as z from 'zod'
import { Ran, RefusalReason } from '@cyclamenthread/state'

/** A refusal as it travels between processes. */
export const refusalSchema = z.object({
  reason: z.enum(RefusalReason),
  ran: z.enum(Ran),
  detail: z.string(),
  retryAfterMs: z.number().optional()
})
