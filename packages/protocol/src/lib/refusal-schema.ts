import * as z from 'zod'
import { Ran, RefusalReason } from '@cyclamenthread/state'

/** A refusal, as sent between hosts. */
export const refusalSchema = z.object({
  reason: z.enum(RefusalReason),
  ran: z.enum(Ran),
  detail: z.string(),
  retryAfterMs: z.number().optional()
})
