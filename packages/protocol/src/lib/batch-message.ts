import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'

/** Notifies the owner of a ledger partition that a batch was opened in it and has to be run. */
export const openBatchSchema = z.object({
  kind: z.literal(PeerMessageKind.OpenBatch),
  partition: z.int().nonnegative(),
  workspace: z.string(),
  batchId: z.string()
})

export type OpenBatch = z.infer<typeof openBatchSchema>
