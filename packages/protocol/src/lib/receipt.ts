import * as z from 'zod'

/** The answer of messages that only need to arrive. */
export const receiptSchema = z.object({ accepted: z.boolean() })

export type Receipt = z.infer<typeof receiptSchema>
