import * as z from 'zod'
import { EndpointSign } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'

/** A request under which endpoints crashed; ages instead of times, since the clocks of two hosts differ. */
export const crashRecordSchema = z.object({
  target: z.string(),
  digest: z.string(),
  sightings: z.array(z.object({
    endpointId: z.string(),
    bornAt: z.number(),
    /** Time since the endpoint gave no more sign, in milliseconds. */
    lostAgeMs: z.number(),
    isConfirmed: z.boolean()
  })),
  trials: z.object({
    count: z.int().nonnegative(),
    lateCount: z.int().nonnegative(),
    /** Time since the last trial, in milliseconds; absent before the first. */
    ageMs: z.number().optional()
  }),
  isStored: z.boolean()
})

/** Reports one sighting to the hosts that collect them. */
export const reportCrashSchema = z.object({ kind: z.literal(PeerMessageKind.ReportCrash), record: crashRecordSchema })

/** Tells all hosts of the sightings under one request. */
export const shareCrashesSchema = z.object({ kind: z.literal(PeerMessageKind.ShareCrashes), record: crashRecordSchema })

/** Tells other hosts that a request with sightings has completed. */
export const clearCrashesSchema = z.object({
  kind: z.literal(PeerMessageKind.ClearCrashes),
  digest: z.string(),
  /** Time since the request that completed was sent, in milliseconds. */
  sentAgeMs: z.number()
})

/** Asks for the requests that are held back. */
export const readHeldRequestsSchema = z.object({ kind: z.literal(PeerMessageKind.ReadHeldRequests) })

export const heldRequestsSchema = z.object({ records: z.array(crashRecordSchema) })

/** Asks a host to probe an incarnation of an endpoint. */
export const probeEndpointSchema = z.object({ kind: z.literal(PeerMessageKind.ProbeEndpoint), endpointId: z.string(), bornAt: z.number() })

export const endpointProbeSchema = z.object({ sign: z.enum(EndpointSign), isDoubtful: z.boolean() })

export type CrashRecordMessage = z.infer<typeof crashRecordSchema>
