import * as z from 'zod'
import { rolloutOrderSchema, sampleResultSchema } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'
import type { KnownText } from '@cyclamenthread/state'

/** Outcome of creating a rollout. */
export enum RolloutCreationStatus {
  Created = 'created',
  /** The rollout was accepted earlier. */
  Known = 'known',
  /** The store rejected the write; the rollout isn't stored and won't be. */
  Refused = 'refused',
  /** The rollout may be stored, now or later. */
  Unknown = 'unknown'
}

/** Asks another host to store a rollout, sent by a host that can't reach the store. */
export const acceptRolloutSchema = z.object({ kind: z.literal(PeerMessageKind.AcceptRollout), order: rolloutOrderSchema })

export const acceptRolloutResponseSchema = z.object({ creation: z.enum(RolloutCreationStatus) })

/** Asks a host whether it can own a new rollout of a trainer. */
export const offerRolloutSchema = z.object({ kind: z.literal(PeerMessageKind.OfferRollout), trainer: z.string() })

export const offerRolloutResponseSchema = z.object({
  accepted: z.boolean(),
  /** Unfinished samples of other trainers that the host runs. */
  foreignSamples: z.int().nonnegative()
})

/** Notifies the owner of a rollout that it was accepted and has to be run. */
export const runRolloutSchema = z.object({
  kind: z.literal(PeerMessageKind.RunRollout),
  rolloutId: z.string(),
  /** The order, if it was just stored and its log is empty; otherwise the owner reads both from the store. */
  order: rolloutOrderSchema.optional()
})

/** Text of an unfinished sample, with which the next owner continues. */
export const recoveredTextSchema = z.object({
  sampleId: z.string(),
  pieces: z.array(z.string()),
  versions: z.array(z.int()),
  /** Whether the text is whole and only its reward is missing. */
  complete: z.boolean().default(false),
  /** Answers of 500 to its reward request. */
  rewardFailures: z.int().nonnegative().default(0),
  /** Runs of the sample that ended with an answer of 500; absent if there were none. */
  failures: z.int().nonnegative().optional(),
  /** Software version of the endpoint that began the text; only endpoints of it may continue the text. */
  softwareVersion: z.string().optional(),
  /** Parts whose software version the sender couldn't confirm yet. */
  unconfirmed: z.array(z.object({
    endpoint: z.object({ id: z.string(), address: z.string(), bornAt: z.number(), softwareVersion: z.string() }),
    from: z.int().nonnegative(),
    versionsFrom: z.int().nonnegative(),
    ageMs: z.number()
  })).optional()
})

/** Hands a rollout over to its next owner, with the text of unfinished samples. */
export const adoptRolloutSchema = z.object({
  kind: z.literal(PeerMessageKind.AdoptRollout),
  /** The process that stops running the rollout. */
  from: z.string().default(''),
  order: rolloutOrderSchema,
  /** Results that haven't been written to the rollout's log yet. */
  results: z.array(sampleResultSchema),
  texts: z.array(recoveredTextSchema)
})

/** Text of an unfinished sample from a handover or the log. */
export interface RecoveredText extends KnownText {
  readonly sampleId: string
  readonly complete: boolean
  readonly rewardFailures: number
  readonly failures?: number | undefined
}

export type AdoptRollout = z.infer<typeof adoptRolloutSchema>

/** Asks the owner of a rollout for its results after a position. */
export const readRolloutSchema = z.object({
  kind: z.literal(PeerMessageKind.ReadRollout),
  rolloutId: z.string(),
  workspace: z.string(),
  after: z.int().nonnegative(),
  /** Maximum time to wait for a result, in milliseconds. */
  waitMs: z.number().nonnegative(),
  /** Whether another host passes the read on; it isn't passed on again. */
  forwarded: z.boolean().default(false)
})

/** Outcome of reading a rollout. */
export enum RolloutReadStatus {
  Found = 'found',
  /** The workspace has no rollout with this id. */
  Unknown = 'unknown',
  /** The host can't determine whether the rollout exists. */
  Unavailable = 'unavailable'
}

export const rolloutPageSchema = z.object({
  status: z.enum(RolloutReadStatus),
  total: z.int().nonnegative(),
  results: z.array(sampleResultSchema),
  ended: z.boolean(),
  /** Host that owns the rollout, as far as the answering host knows. */
  owner: z.string().default(''),
  /** Whether the answering host is reading the rollout's log and hadn't got far enough; a later read finds more. */
  loading: z.boolean().default(false)
})

/** Reports that the log of a rollout has an end or a claim of another host; its receiver starts nothing before it has read the log. */
export const recheckRolloutSchema = z.object({ kind: z.literal(PeerMessageKind.RecheckRollout), rolloutId: z.string() })

/** Asks the owner of a rollout to end it; accepted once the end is durable. */
export const endRolloutSchema = z.object({ kind: z.literal(PeerMessageKind.EndRollout), rolloutId: z.string(), workspace: z.string() })

/** Hands over ends that the sender was asked for and couldn't store; the receiver starts nothing more of these rollouts and stores the ends. */
export const keepRolloutEndsSchema = z.object({
  kind: z.literal(PeerMessageKind.KeepRolloutEnds),
  ends: z.array(z.object({ rolloutId: z.string(), workspace: z.string() }))
})

/** Publishes a weight change of an endpoint that the leader knows of before the registry shows it. */
export const reportEndpointWeightsSchema = z.object({
  kind: z.literal(PeerMessageKind.ReportEndpointWeights),
  endpointId: z.string(),
  bornAt: z.number(),
  model: z.string(),
  /** Current version; absent while a change is in progress. */
  version: z.int().optional()
})

/** Reports the expected work of a training step to the hosts that may become leader. */
export const reportDemandSchema = z.object({
  kind: z.literal(PeerMessageKind.ReportDemand),
  service: z.string(),
  model: z.string(),
  /** Expected answer tokens of all samples of the step. */
  tokens: z.number().nonnegative(),
  samples: z.int().nonnegative()
})

/** Asks a host how many requests it counted in a usage window. */
export const readRequestCountsSchema = z.object({ kind: z.literal(PeerMessageKind.ReadRequestCounts), window: z.int() })

export const requestCountsSchema = z.object({ counts: z.record(z.string(), z.int().nonnegative()) })

export type RolloutPage = z.infer<typeof rolloutPageSchema>
