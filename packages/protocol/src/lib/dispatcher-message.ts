import * as z from 'zod'
import { endpointSchema, RequestOrigin, SlotEnd, WorkClass } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'
import { refusalSchema } from './refusal-schema.js'

/** Asks the dispatcher of a cell for a slot. The response is sent once a slot is granted or the request refused. */
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
  origin: z.enum(RequestOrigin).default(RequestOrigin.Caller),
  excluded: z.array(z.string()),
  /** Remaining time for queueing and running the request, in milliseconds. */
  leftMs: z.number().nonnegative()
})

/** Returns a slot and reports how its use ended. */
export const releaseSlotSchema = z.object({
  kind: z.literal(PeerMessageKind.ReleaseSlot),
  cell: z.string(),
  slotId: z.string(),
  end: z.enum(SlotEnd),
  actualTokens: z.number().nonnegative()
})

/** Cancels a slot request whose response didn't arrive; a slot that was granted for it is returned. */
export const cancelRequestSchema = z.object({
  kind: z.literal(PeerMessageKind.CancelRequest),
  cell: z.string(),
  requestId: z.string()
})

/** Asks a host for the summaries of all cells that it owns. */
export const summariseCellsSchema = z.object({ kind: z.literal(PeerMessageKind.SummariseCells) })

const cellSummarySchema = z.object({
  cell: z.string(),
  freeSlots: z.number(),
  totalSlots: z.number(),
  waiting: z.number(),
  expectedTokensQueued: z.number(),
  waitMs: z.number()
})

/** The response to {@link acquireSlotSchema}. */
export const acquireSlotResponseSchema = z.discriminatedUnion('granted', [
  z.object({
    granted: z.literal(true),
    slotId: z.string(),
    endpoint: endpointSchema,
    leaseMs: z.number(),
    /** Current state of the cell, piggybacked so that its users need no separate update. */
    summary: cellSummarySchema
  }),
  z.object({ granted: z.literal(false), refusal: refusalSchema })
])

/** The response to {@link summariseCellsSchema}. */
export const cellSummariesSchema = z.object({ cells: z.array(cellSummarySchema) })

/** Sends the summaries of the sender's changed cells to a gateway. */
export const pushSummariesSchema = z.object({ kind: z.literal(PeerMessageKind.PushSummaries), cells: z.array(cellSummarySchema) })

/** Asks a gateway which slots of a cell it holds; sent by the new owner of the cell to rebuild its state. */
export const listHeldSlotsSchema = z.object({ kind: z.literal(PeerMessageKind.ListHeldSlots), cell: z.string() })

/** The response to {@link listHeldSlotsSchema}. */
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
