import * as z from 'zod'

/** The answer of messages that only need to arrive. */
export const acceptedResponseSchema = z.object({ accepted: z.boolean() })

export type AcceptedResponse = z.infer<typeof acceptedResponseSchema>
