import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'

const streamOriginSchema = z.object({ service: z.string(), softwareVersion: z.string() })

/** Reports what began a stream that its caller may take up again. */
export const recordStreamOriginSchema = z.object({
  kind: z.literal(PeerMessageKind.RecordStreamOrigin),
  attemptId: z.string(),
  origin: streamOriginSchema
})

/** Asks what began a stream. */
export const findStreamOriginSchema = z.object({
  kind: z.literal(PeerMessageKind.FindStreamOrigin),
  attemptId: z.string()
})

/** What began the stream; without an origin, the host doesn't know. */
export const findStreamOriginResponseSchema = z.object({ origin: streamOriginSchema.optional() })
