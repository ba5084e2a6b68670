import * as z from 'zod'

/** One sample of a rollout: a request for tokens that runs at an endpoint. */
export const rolloutSampleSchema = z.object({
  id: z.string(),
  group: z.string(),
  path: z.string(),
  /** Headers for the endpoint, as the trainer gave them. */
  headers: z.record(z.string(), z.string()),
  /** Base64, as the trainer sent it. */
  body: z.string(),
  /** Prompt tokens and most answer tokens together. */
  tokens: z.number(),
  /** The trainer's estimate of answer tokens; 0 when it gave none. */
  expectedTokens: z.number()
})

/** A batch of samples that a trainer asked for, as it was accepted. */
export const rolloutOrderSchema = z.object({
  id: z.string(),
  workspace: z.string(),
  route: z.string(),
  routeHost: z.string(),
  service: z.string(),
  model: z.string(),
  step: z.int(),
  /** Oldest weight version that may write text of its samples. */
  minVersion: z.int(),
  /** Complete groups the trainer waits for. */
  targetGroups: z.int(),
  maxAttempts: z.int(),
  singleVersion: z.boolean(),
  /** Milliseconds since 1970 at which it was accepted. */
  acceptedAt: z.number(),
  /** Milliseconds since 1970 at which its samples are due. */
  dueAt: z.number(),
  /** Milliseconds since 1970 from which open samples may be given up. */
  expiresAt: z.number(),
  samples: z.array(rolloutSampleSchema)
})

export type RolloutSample = z.infer<typeof rolloutSampleSchema>
export type RolloutOrder = z.infer<typeof rolloutOrderSchema>

/** What became of a sample. */
export enum SampleState {
  Completed = 'completed',
  Abandoned = 'abandoned'
}

/** A sample as it is listed for its trainer. */
export const sampleResultSchema = z.object({
  id: z.string(),
  state: z.enum(SampleState),
  output: z.string(),
  /** Every weight version that wrote a part of the text, in order. */
  versions: z.array(z.int())
})

/** One entry of a rollout's log in the store: results in their order, or the end. */
export const rolloutSegmentSchema = z.object({
  /** Host and incarnation of the writer. */
  writer: z.string(),
  results: z.array(sampleResultSchema),
  ended: z.boolean()
})

export type SampleResult = z.infer<typeof sampleResultSchema>
export type RolloutSegment = z.infer<typeof rolloutSegmentSchema>

/**
 * What the log of a rollout says: listed results in their order, and whether
 * the trainer has ended it.
 *
 * Invariants: a result keeps its position; a sample is listed once; nothing is
 * listed after the end.
 */
export class RolloutProgress {
  readonly results: SampleResult[] = []
  readonly #listed = new Set<string>()
  #segments = 0
  #ended = false

  /** Segments applied; also the number of the next one. */
  get segments (): number {
    return this.#segments
  }

  get ended (): boolean {
    return this.#ended
  }

  /** Whether a sample is listed. */
  has (sampleId: string): boolean {
    return this.#listed.has(sampleId)
  }

  /** Applies the next segment. */
  apply (segment: RolloutSegment): void {
    this.#segments += 1
    if (this.#ended) return
    for (const result of segment.results) {
      if (this.#listed.has(result.id)) continue
      this.#listed.add(result.id)
      this.results.push(result)
    }
    this.#ended = segment.ended
  }
}

/**
 * Counts complete groups: those of which every sample is listed or about to be.
 *
 * @param settled ids of samples that need not run any more
 * @example
 * completeGroups(order, new Set(['a', 'b']))
 */
export function completeGroups (order: RolloutOrder, settled: ReadonlySet<string>): number {
  const open = new Set(order.samples.filter((sample) => !settled.has(sample.id)).map((sample) => sample.group))
  return new Set(order.samples.map((sample) => sample.group)).size - open.size
}
