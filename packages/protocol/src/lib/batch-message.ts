import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'

/** Tells the owner of a partition that a batch was opened there and is to be run. */
export const openBatchSchema = z.object({
  kind: z.literal(PeerMessageKind.OpenBatch),
  partition: z.int().nonnegative(),
  workspace: z.string(),
  batchId: z.string()
})

export type OpenBatch = z.infer<typeof openBatchSchema>
