/** Settings of a simulated engine. */
export interface EngineSettings {
  readonly slots: number
  /** Time to generate one token, in milliseconds. */
  readonly tokenMs: number
  /** Prefill time per prompt token that is not cached, in milliseconds. */
  readonly prefillMs: number
  /** Whether orders with an outdated fencing token are rejected. */
  readonly checksFencing: boolean
  /** Capacity of the prefix cache, in blocks of 64 characters. */
  readonly cacheBlocks?: number
  /** Age at which a load report is replaced by a new one, in milliseconds. */
  readonly loadReportIntervalMs?: number
  /** Delay before cache events are published, in milliseconds. */
  readonly cacheEventDelayMs?: number
  /** Share of cache events omitted from each report, from 0 to 1. */
  readonly cacheEventLossRatio?: number
  /** Base URL of the weight store; if absent, weights are not fetched. */
  readonly weightStoreUrl?: string
  /** Time for which a weight swap halts the batch, in milliseconds. */
  readonly swapMs?: number
  /** Number of tokens after which a completion ends by itself; if absent, the requested maximum. */
  readonly answerTokens?: (prompt: string) => number
  /** Random number generator with values from 0 (inclusive) to 1 (exclusive). */
  readonly random?: () => number
}

/** Faults that a test can switch on. */
export interface EngineFaults {
  /** Prompts that contain this text crash the engine; empty to disable. */
  poison: string
  /** Omits the weight version from the stream. */
  omitsVersion: boolean
  /** Accepts orders to change weights, but doesn't carry them out. */
  ignoresWeightOrders: boolean
  /** Factor by which the time per token is multiplied. */
  slowdown: number
}
