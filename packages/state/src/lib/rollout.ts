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

/** Text of a sample that has not ended, as far as a writer had it. */
export const textCheckpointSchema = z.object({
  sampleId: z.string(),
  /** Events of the same writer that earlier entries hold; these go on after them. */
  from: z.int().nonnegative(),
  pieces: z.array(z.string()),
  /** Every weight version that wrote a part of the text up to here, in order. */
  versions: z.array(z.int())
})

/** One entry of a rollout's log in the store: results in their order, text of samples that run, or the end. */
export const rolloutSegmentSchema = z.object({
  /** Host and incarnation of the writer. */
  writer: z.string(),
  results: z.array(sampleResultSchema),
  texts: z.array(textCheckpointSchema).default([]),
  ended: z.boolean()
})

export type SampleResult = z.infer<typeof sampleResultSchema>
export type TextCheckpoint = z.infer<typeof textCheckpointSchema>
export type RolloutSegment = z.infer<typeof rolloutSegmentSchema>

/** Text of a sample that the log holds. */
export interface StoredText {
  readonly writer: string
  readonly pieces: readonly string[]
  readonly versions: readonly number[]
}

/**
 * What the log of a rollout says: listed results in their order, and whether
 * the trainer has ended it.
 *
 * Invariants: a result keeps its position; a sample is listed once; nothing is
 * listed after the end; a stored text is one writer's alone, so that its versions
 * are those that wrote it.
 */
export class RolloutProgress {
  readonly results: SampleResult[] = []
  readonly #listed = new Set<string>()
  readonly #texts = new Map<string, StoredText>()
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
  isListed (sampleId: string): boolean {
    return this.#listed.has(sampleId)
  }

  /** Texts of samples that are not listed, by id. */
  get texts (): ReadonlyMap<string, StoredText> {
    return this.#texts
  }

  /** Applies the next segment. */
  apply (segment: RolloutSegment): void {
    this.#segments += 1
    if (this.#ended) return
    for (const checkpoint of segment.texts) this.#storeText(segment.writer, checkpoint)
    for (const result of segment.results) {
      if (this.#listed.has(result.id)) continue
      this.#listed.add(result.id)
      this.#texts.delete(result.id)
      this.results.push(result)
    }
    this.#ended = segment.ended
  }

  /** Keeps a text that goes on where the same writer's ends, or a whole one that is longer than what is held. */
  #storeText (writer: string, { sampleId, from, pieces, versions }: TextCheckpoint): void {
    if (this.#listed.has(sampleId)) return
    const held = this.#texts.get(sampleId)
    const continues = held !== undefined && held.writer === writer && held.pieces.length === from
    if (continues) this.#texts.set(sampleId, { writer, pieces: [...held.pieces, ...pieces], versions })
    else if (from === 0 && pieces.length > (held?.pieces.length ?? 0)) this.#texts.set(sampleId, { writer, pieces, versions })
  }
}

/**
 * Counts complete groups: those of which every sample is listed or about to be.
 *
 * @param settled ids of samples that need not run any more
 * @example
 * completeGroups(order, new Set(['a', 'b']))
 */
export function countCompleteGroups (order: RolloutOrder, settled: ReadonlySet<string>): number {
  const open = new Set(order.samples.filter((sample) => !settled.has(sample.id)).map((sample) => sample.group))
  return new Set(order.samples.map((sample) => sample.group)).size - open.size
}
