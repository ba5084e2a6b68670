import * as z from 'zod'
import { endpointSchema, SlotEnd, WorkClass } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'
import { refusalSchema } from './refusal-schema.js'

/** Asks the dispatcher of a cell for a slot; answered when one is granted or refused. */
export const acquireSlotSchema = z.object({
  kind: z.literal(PeerMessageKind.AcquireSlot),
  cell: z.string(),
  requestId: z.string(),
  workspace: z.string(),
  weight: z.number().positive(),
  class: z.enum(WorkClass),
  entry: z.string(),
  expectedTokens: z.number().nonnegative(),
  promptTokens: z.number().nonnegative(),
  suspect: z.boolean(),
  prefix: z.string(),
  digest: z.string(),
  excluded: z.array(z.string()),
  /** Milliseconds the request may still wait and run. */
  leftMs: z.number().nonnegative()
})

/** Gives a slot back and says how its use ended. */
export const releaseSlotSchema = z.object({
  kind: z.literal(PeerMessageKind.ReleaseSlot),
  cell: z.string(),
  slotId: z.string(),
  end: z.enum(SlotEnd),
  actualTokens: z.number().nonnegative()
})

/** Withdraws a request whose answer did not arrive; a slot that was granted to it is given back. */
export const cancelRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.CancelRequest),
  cell: z.string(),
  requestId: z.string()
})

/** Asks for the summaries of all cells a host owns. */
export const summariseCellsSchema = z.object({ kind: z.literal(PeerMessageKind.SummariseCells) })

const cellSummarySchema = z.object({
  cell: z.string(),
  freeSlots: z.number(),
  totalSlots: z.number(),
  waiting: z.number(),
  expectedTokensQueued: z.number(),
  waitMs: z.number()
})

/** The answer to {@link acquireSlotSchema}. */
export const acquireSlotResponseSchema = z.discriminatedUnion('granted', [
  z.object({
    granted: z.literal(true),
    slotId: z.string(),
    endpoint: endpointSchema,
    leaseMs: z.number(),
    /** How the cell stands, so that those who use it need not be told otherwise. */
    summary: cellSummarySchema
  }),
  z.object({ granted: z.literal(false), refusal: refusalSchema })
])

/** The answer to {@link summariseCellsSchema}. */
export const cellSummariesSchema = z.object({ cells: z.array(cellSummarySchema) })

/** Tells a gateway of the cells of the sender that have changed. */
export const pushSummariesSchema = z.object({ kind: z.literal(PeerMessageKind.PushSummaries), cells: z.array(cellSummarySchema) })

/** A new owner of a cell asks a gateway which of its slots it holds. */
export const listHeldSlotsSchema = z.object({ kind: z.literal(PeerMessageKind.ListHeldSlots), cell: z.string() })

/** The answer to {@link listHeldSlotsSchema}. */
export const heldSlotsSchema = z.object({
  slots: z.array(z.object({
    slotId: z.string(),
    endpointId: z.string(),
    request: acquireSlotSchema.omit({ kind: true, cell: true })
  }))
})

export type AcquireSlot = z.infer<typeof acquireSlotSchema>
export type ReleaseSlot = z.infer<typeof releaseSlotSchema>
export type CancelRequest = z.infer<typeof cancelRequestSchema>
export type AcquireSlotResponse = z.infer<typeof acquireSlotResponseSchema>
export type HeldSlots = z.infer<typeof heldSlotsSchema>
export type CellSummaries = z.infer<typeof cellSummariesSchema>
