import * as z from 'zod'
import { rolloutOrderSchema, sampleResultSchema } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'

/** What became of the creation of a rollout. */
export enum RolloutCreationStatus {
  Created = 'created',
  /** It was accepted before. */
  Known = 'known',
  /** The store refused; nothing is stored and nothing will be. */
  Refused = 'refused',
  /** It may be stored, now or later. */
  Unknown = 'unknown'
}

/** Has another host store a rollout, for one that the store does not answer. */
export const acceptRolloutSchema = z.object({ kind: z.literal(PeerMessageKind.AcceptRollout), order: rolloutOrderSchema })

export const acceptRolloutResponseSchema = z.object({ creation: z.enum(RolloutCreationStatus) })

/** Tells the owner of a rollout that it was accepted and is to be run. */
export const runRolloutSchema = z.object({
  kind: z.literal(PeerMessageKind.RunRollout),
  rolloutId: z.string(),
  /** The order, where it has just been stored and its log is empty; else the owner reads both from the store. */
  order: rolloutOrderSchema.optional()
})

/** Hands a rollout on to its next owner, with the text of samples that have not ended. */
export const adoptRolloutSchema = z.object({
  kind: z.literal(PeerMessageKind.AdoptRollout),
  order: rolloutOrderSchema,
  /** Results that are not listed yet. */
  results: z.array(sampleResultSchema),
  texts: z.array(z.object({ sampleId: z.string(), pieces: z.array(z.string()), versions: z.array(z.int()) }))
})

export type AdoptRollout = z.infer<typeof adoptRolloutSchema>

/** Asks the owner of a rollout for its results from a position on. */
export const readRolloutSchema = z.object({
  kind: z.literal(PeerMessageKind.ReadRollout),
  rolloutId: z.string(),
  workspace: z.string(),
  after: z.int().nonnegative(),
  /** Longest the answer may wait for a result, in milliseconds. */
  waitMs: z.number().nonnegative()
})

/** What a host can say of a rollout. */
export enum RolloutReadStatus {
  Found = 'found',
  /** There is no rollout of that id for the workspace. */
  Unknown = 'unknown',
  /** The host can't be sure. */
  Unavailable = 'unavailable'
}

export const rolloutPageSchema = z.object({
  status: z.enum(RolloutReadStatus),
  total: z.int().nonnegative(),
  results: z.array(sampleResultSchema),
  ended: z.boolean()
})

/** Has the owner of a rollout end it; accepted when the end lasts. */
export const endRolloutSchema = z.object({ kind: z.literal(PeerMessageKind.EndRollout), rolloutId: z.string(), workspace: z.string() })

/** Tells what the leader knows of an endpoint's weights before the registry does. */
export const reportEndpointWeightsSchema = z.object({
  kind: z.literal(PeerMessageKind.ReportEndpointWeights),
  endpointId: z.string(),
  bornAt: z.number(),
  model: z.string(),
  /** The version it has now; absent while a change is under way. */
  version: z.int().optional()
})

/** Tells those who may lead what a step brings in work. */
export const reportDemandSchema = z.object({
  kind: z.literal(PeerMessageKind.ReportDemand),
  service: z.string(),
  model: z.string(),
  /** Expected answer tokens of all samples of the step. */
  tokens: z.number().nonnegative(),
  samples: z.int().nonnegative()
})

/** Asks a host for the requests it has counted in a usage window. */
export const readRequestCountsSchema = z.object({ kind: z.literal(PeerMessageKind.ReadRequestCounts), window: z.int() })

export const requestCountsSchema = z.object({ counts: z.record(z.string(), z.int().nonnegative()) })

export type RolloutPage = z.infer<typeof rolloutPageSchema>
