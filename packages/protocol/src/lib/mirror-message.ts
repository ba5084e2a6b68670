import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'

/** A changed object of the store; `value` is absent if it was removed. */
const mirrorChangeSchema = z.object({ key: z.string(), version: z.string(), value: z.unknown().optional(), status: z.unknown().optional() })

/** An update about a store prefix that a relay host watches on behalf of other hosts. */
export const mirrorUpdateSchema = z.object({
  prefix: z.string(),
  /** Store revision that the changes are relative to; absent if they are a full snapshot. */
  base: z.string().optional(),
  /** Store revision of the relay's copy after the changes. */
  next: z.string(),
  changes: z.array(mirrorChangeSchema),
  /** Time since the relay's copy was last known to be current, in milliseconds. */
  ageMs: z.number().nonnegative(),
  /** Time since the relay last regained the store after a failure, in milliseconds; absent if it never lost it. */
  regainedMs: z.number().nonnegative().optional()
})

/** Forwards a store update from a relay to another host. */
export const relayMirrorUpdateSchema = z.object({ kind: z.literal(PeerMessageKind.RelayMirrorUpdate), update: mirrorUpdateSchema })

/** Asks a relay up to when its copy of a prefix contains every change. */
export const readMirrorAgeSchema = z.object({ kind: z.literal(PeerMessageKind.ReadMirrorAge), prefix: z.string() })

/** Both fields are absent if the answering host has no such copy. */
export const mirrorAgeSchema = z.object({
  /** Store revision of the relay's copy. */
  next: z.string().optional(),
  /** Time since the relay's copy contained every change, in milliseconds, when the answer was created. */
  ageMs: z.number().nonnegative().optional()
})

export type MirrorAge = z.infer<typeof mirrorAgeSchema>
export type MirrorUpdate = z.infer<typeof mirrorUpdateSchema>
