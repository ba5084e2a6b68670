import * as z from 'zod'

/** The response to messages that only need to be acknowledged. */
export const acceptedResponseSchema = z.object({ accepted: z.boolean() })

export type AcceptedResponse = z.infer<typeof acceptedResponseSchema>
