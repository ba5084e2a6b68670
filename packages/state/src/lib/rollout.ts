import * as z from 'zod'

/** A request that scores the finished text of a sample; it is sent through the route of its host and path, and may be repeated. */
export const rewardRequestSchema = z.object({
  id: z.string(),
  host: z.string(),
  path: z.string(),
  /** Request body in Base64, as sent by the trainer. */
  body: z.string()
})

export type RewardRequest = z.infer<typeof rewardRequestSchema>

/** A sample of a rollout: a generation request that runs at an endpoint. */
export const rolloutSampleSchema = z.object({
  id: z.string(),
  group: z.string(),
  path: z.string(),
  /** Request headers for the endpoint, as sent by the trainer. */
  headers: z.record(z.string(), z.string()),
  /** Request body in Base64, as sent by the trainer. */
  body: z.string(),
  /** Sum of the prompt tokens and the maximum number of answer tokens. */
  tokens: z.number(),
  /** Maximum number of answer tokens; absent if its request doesn't state it. */
  maxAnswerTokens: z.number().optional(),
  /** The trainer's estimate of answer tokens; 0 if it gave none. */
  expectedTokens: z.number(),
  /** The request for its score; absent if its text is the whole result. */
  reward: rewardRequestSchema.optional()
})

/** An accepted order of a trainer for a batch of samples. */
export const rolloutOrderSchema = z.object({
  id: z.string(),
  workspace: z.string(),
  route: z.string(),
  routeHost: z.string(),
  service: z.string(),
  model: z.string(),
  step: z.int(),
  /** Oldest weight version that may generate text of its samples. */
  minVersion: z.int(),
  /** Number of complete groups that the trainer waits for. */
  targetGroups: z.int(),
  maxAttempts: z.int(),
  singleVersion: z.boolean(),
  /** Host to which it was assigned on acceptance; empty if none was. */
  owner: z.string().default(''),
  /** Homes of its route and workspace when it was accepted; absent if it had none, or if an earlier build accepted it. */
  homes: z.object({
    regions: z.array(z.string()),
    /** Version of the declaration that states them. */
    declaration: z.number()
  }).optional(),
  /** Time of acceptance, in milliseconds since 1970. */
  acceptedAt: z.number(),
  /** Time at which its samples are due, in milliseconds since 1970. */
  dueAt: z.number(),
  /** Time from which unfinished samples may be abandoned, in milliseconds since 1970. */
  expiresAt: z.number(),
  samples: z.array(rolloutSampleSchema)
})

export type RolloutSample = z.infer<typeof rolloutSampleSchema>
export type RolloutOrder = z.infer<typeof rolloutOrderSchema>

/** Final state of a sample. */
export enum SampleState {
  Completed = 'completed',
  Abandoned = 'abandoned'
}

/** A result as it is listed for the trainer. */
export const sampleResultSchema = z.object({
  id: z.string(),
  state: z.enum(SampleState),
  output: z.string(),
  /** Every weight version that generated a part of the text, in order. */
  versions: z.array(z.int()),
  /** Signature of the endpoint that answered the reward request; absent without one. */
  score: z.string().optional()
})

/** Checkpoint of the text of a running sample. */
export const textCheckpointSchema = z.object({
  sampleId: z.string(),
  /** Number of stream events in earlier checkpoints of the same writer; this one continues after them. */
  from: z.int().nonnegative(),
  pieces: z.array(z.string()),
  /** Every weight version that generated a part of the text up to this checkpoint, in order. */
  versions: z.array(z.int()),
  /** Whether the text is whole and only its reward is missing. */
  complete: z.boolean().default(false),
  /** Answers of 500 to its reward request. */
  rewardFailures: z.int().nonnegative().default(0),
  /** Runs of the sample that ended with an answer of 500; absent if there were none. */
  failures: z.int().nonnegative().optional(),
  /** Software version of the endpoint that began the text; only endpoints of it may continue the text. */
  softwareVersion: z.string().optional()
})

/** A segment of a rollout's log in the store: ordered results, text checkpoints of running samples, or the end. */
export const rolloutSegmentSchema = z.object({
  /** Host and incarnation that wrote the segment. */
  writer: z.string(),
  results: z.array(sampleResultSchema),
  texts: z.array(textCheckpointSchema).default([]),
  /** Whether its writer owns the rollout from here on. */
  claim: z.boolean().optional(),
  ended: z.boolean()
})

export type SampleResult = z.infer<typeof sampleResultSchema>
export type TextCheckpoint = z.infer<typeof textCheckpointSchema>
export type RolloutSegment = z.infer<typeof rolloutSegmentSchema>

/** Text of an unfinished sample that is stored in the log. */
export interface StoredText {
  readonly writer: string
  readonly pieces: readonly string[]
  readonly versions: readonly number[]
  readonly complete: boolean
  readonly rewardFailures: number
  /** Software version that began the text; absent if it is unknown. */
  readonly softwareVersion?: string | undefined
}

/**
 * State that results from the log of a rollout: the ordered results, the stored
 * texts, and whether the trainer has ended the rollout.
 *
 * Invariants: a result keeps its position; a sample is listed once; nothing is
 * listed after the end; a stored text comes from a single writer, so that its
 * versions are those that generated it.
 */
export class RolloutProgress {
  readonly results: SampleResult[] = []
  readonly #listed = new Set<string>()
  readonly #texts = new Map<string, StoredText>()
  readonly #failures = new Map<string, number>()
  #segments = 0
  #ended = false
  #claimant: string | undefined

  /** Number of applied segments, which is also the index of the next one. */
  get segments (): number {
    return this.#segments
  }

  get ended (): boolean {
    return this.#ended
  }

  /** Writer of the last claim; undefined if there is none. */
  get claimant (): string | undefined {
    return this.#claimant
  }

  /** Whether the result of a sample is listed. */
  isListed (sampleId: string): boolean {
    return this.#listed.has(sampleId)
  }

  /** Stored texts of samples that are not listed, by sample id. */
  get texts (): ReadonlyMap<string, StoredText> {
    return this.#texts
  }

  /** Failed runs of samples that are not listed, by sample id. */
  get failures (): ReadonlyMap<string, number> {
    return this.#failures
  }

  /** Applies the next segment. */
  apply (segment: RolloutSegment): void {
    this.#segments += 1
    if (this.#ended) return
    if (segment.claim === true) this.#claimant = segment.writer
    for (const checkpoint of segment.texts) {
      this.#storeText(segment.writer, checkpoint)
      this.#storeFailures(checkpoint)
    }
    for (const result of segment.results) {
      if (this.#listed.has(result.id)) continue
      this.#listed.add(result.id)
      this.#texts.delete(result.id)
      this.#failures.delete(result.id)
      this.results.push(result)
    }
    this.#ended = segment.ended
  }

  #storeFailures ({ sampleId, failures = 0 }: TextCheckpoint): void {
    if (failures > (this.#failures.get(sampleId) ?? 0) && !this.#listed.has(sampleId)) this.#failures.set(sampleId, failures)
  }

  /** Stores a text that continues the stored one of the same writer, or one from its start that is further than the stored one. */
  #storeText (writer: string, checkpoint: TextCheckpoint): void {
    const { sampleId, from, pieces, versions, complete, softwareVersion } = checkpoint
    const held = this.#texts.get(sampleId)
    if (this.#listed.has(sampleId) || (held?.complete === true && !complete)) return
    const rewardFailures = Math.max(checkpoint.rewardFailures, held?.rewardFailures ?? 0)
    const continues = held !== undefined && held.writer === writer && held.pieces.length === from && held.softwareVersion === softwareVersion
    const isFurther = from === 0 && (complete || pieces.length > (held?.pieces.length ?? 0))
    if (!continues && !isFurther) return
    const text = { writer, pieces: continues ? [...held.pieces, ...pieces] : pieces, versions, complete, rewardFailures }
    this.#texts.set(sampleId, softwareVersion === undefined ? text : { ...text, softwareVersion })
  }
}

/**
 * Counts the complete groups: those of which every sample is settled.
 *
 * @param settled ids of samples that need not run any more: listed ones and those about to be
 * @example
 * countCompleteGroups(order, new Set(['a', 'b']))
 */
export function countCompleteGroups (order: RolloutOrder, settled: ReadonlySet<string>): number {
  const open = new Set(order.samples.filter((sample) => !settled.has(sample.id)).map((sample) => sample.group))
  return new Set(order.samples.map((sample) => sample.group)).size - open.size
}
