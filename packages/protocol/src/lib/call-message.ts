import * as z from 'zod'
import { Ran, RefusalReason } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'

const headerSchema = z.tuple([z.string(), z.string()])
const originSchema = z.object({ service: z.string(), softwareVersion: z.string() })
const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array)

/** Asks another host to run a call, since the sender reaches no endpoint. */
export const forwardCallSchema = z.object({
  kind: z.literal(PeerMessageKind.ForwardCall),
  requestId: z.string(),
  /** Host name by which the route is selected. */
  host: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.array(headerSchema),
  body: bytesSchema,
  /** Absent on open routes. */
  workspace: z.string().optional(),
  /** What began the stream that the call takes up; absent if it starts anew. */
  continues: originSchema.optional(),
  /** Regions in which the call may run, as the sender knows them; absent if anywhere. */
  homes: z.array(z.string()).optional(),
  /** Number of endpoints to which the call may still be sent. */
  maxAttempts: z.int().positive(),
  /** Time left to the call, in milliseconds. */
  leftMs: z.number().nonnegative(),
  /** Time left in which it may begin to be written to an endpoint, in milliseconds; absent if that is the time left to the call. */
  startLeftMs: z.number().nonnegative().optional()
})

/** The answer of an endpoint. Its status may be one that HTTP doesn't define: hosts of earlier builds pass on any. */
const forwardedAnswerSchema = z.object({
  ok: z.literal(true),
  status: z.int(),
  headers: z.array(headerSchema),
  body: bytesSchema,
  signature: z.string().optional(),
  origin: originSchema.optional(),
  failures: z.int().nonnegative()
})

const forwardedRefusalSchema = z.object({
  ok: z.literal(false),
  refusal: z.object({ reason: z.enum(RefusalReason), ran: z.enum(Ran), detail: z.string(), retryAfterMs: z.number().optional() }),
  /** Whether the host took the call; if not, another one may be asked. */
  taken: z.boolean(),
  failures: z.int().nonnegative()
})

/** The response to {@link forwardCallSchema}. */
export const forwardedCallSchema = z.discriminatedUnion('ok', [forwardedAnswerSchema, forwardedRefusalSchema])

export type ForwardCall = z.infer<typeof forwardCallSchema>
export type ForwardedCall = z.infer<typeof forwardedCallSchema>
