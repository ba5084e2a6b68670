/** One sample of a rollout: a request for tokens that runs at an endpoint. */
export interface RolloutSample {
  readonly id: string
  readonly group: string
  readonly path: string
  /** Headers for the endpoint, as the trainer gave them. */
  readonly headers: Readonly<Record<string, string>>
  /** Base64, as the trainer sent it. */
  readonly body: string
  /** Prompt tokens and most answer tokens together. */
  readonly tokens: number
  /** The trainer's estimate of answer tokens; 0 when it gave none. */
  readonly expectedTokens: number
}

/** A batch of samples that a trainer asked for, as it was accepted. */
export interface RolloutOrder {
  readonly id: string
  readonly workspace: string
  readonly route: string
  readonly routeHost: string
  readonly service: string
  readonly model: string
  readonly step: number
  /** Oldest weight version that may write text of its samples. */
  readonly minVersion: number
  /** Complete groups the trainer waits for. */
  readonly targetGroups: number
  readonly maxAttempts: number
  readonly singleVersion: boolean
  /** Milliseconds since 1970 at which it was accepted. */
  readonly acceptedAt: number
  /** Milliseconds since 1970 at which its samples are due. */
  readonly dueAt: number
  /** Milliseconds since 1970 from which open samples may be given up. */
  readonly expiresAt: number
  readonly samples: readonly RolloutSample[]
}

/** What became of a sample. */
export enum SampleState {
  Completed = 'completed',
  Abandoned = 'abandoned'
}

/** A sample as it is listed for its trainer. */
export interface SampleResult {
  readonly id: string
  readonly state: SampleState
  readonly output: string
  /** Every weight version that wrote a part of the text, in order. */
  readonly versions: readonly number[]
}

/** One entry of a rollout's log in the store: results in their order, or the end. */
export interface RolloutSegment {
  /** Host and incarnation of the writer. */
  readonly writer: string
  readonly results: readonly SampleResult[]
  readonly ended: boolean
}

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
