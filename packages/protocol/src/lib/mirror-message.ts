import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'

/** A changed object of the store; without a value it was removed. */
const mirrorChangeSchema = z.object({ key: z.string(), version: z.string(), value: z.unknown().optional(), status: z.unknown().optional() })

/** What a relay says of one prefix of the store that it watches for others. */
export const mirrorUpdateSchema = z.object({
  prefix: z.string(),
  /** Point of the store's history on which the changes build; absent where they are everything there is. */
  base: z.string().optional(),
  /** Point at which the relay's copy stands. */
  next: z.string(),
  changes: z.array(mirrorChangeSchema),
  /** Time since the relay's copy was last known to be current, in milliseconds. */
  ageMs: z.number().nonnegative(),
  /** Time since the store came back to the relay after a failure, in milliseconds; absent when it never went. */
  regainedMs: z.number().nonnegative().optional()
})

/** Passes on what a relay has seen of the store. */
export const relayMirrorUpdateSchema = z.object({ kind: z.literal(PeerMessageKind.RelayMirrorUpdate), update: mirrorUpdateSchema })

export type MirrorUpdate = z.infer<typeof mirrorUpdateSchema>
