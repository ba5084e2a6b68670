import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'

/** A request under which endpoints crashed; ages instead of times, since the clocks of two hosts differ. */
export const crashRecordSchema = z.object({
  target: z.string(),
  digest: z.string(),
  crashes: z.array(z.object({
    incarnation: z.string(),
    /** Time since the request was sent, in milliseconds. */
    sentAgeMs: z.number(),
    /** Time since the connection was lost, in milliseconds. */
    lostAgeMs: z.number()
  }))
})

/** Reports one crash to the hosts that collect them. */
export const reportCrashSchema = z.object({ kind: z.literal(PeerMessageKind.ReportCrash), record: crashRecordSchema })

/** Tells all hosts of the crashes under one request. */
export const shareCrashesSchema = z.object({ kind: z.literal(PeerMessageKind.ShareCrashes), record: crashRecordSchema })

/** Tells other hosts that a request with crashes has completed. */
export const clearCrashesSchema = z.object({ kind: z.literal(PeerMessageKind.ClearCrashes), digest: z.string() })

/** Asks for the requests that are held back. */
export const readHeldRequestsSchema = z.object({ kind: z.literal(PeerMessageKind.ReadHeldRequests) })

export const heldRequestsSchema = z.object({ records: z.array(crashRecordSchema) })

export type CrashRecordMessage = z.infer<typeof crashRecordSchema>
