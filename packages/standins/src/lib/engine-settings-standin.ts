/** How an engine stand-in behaves. */
export interface EngineSettings {
  readonly slots: number
  /** Time one token takes, in milliseconds. */
  readonly tokenMs: number
  /** Time the prompt takes per token that is not cached, in milliseconds. */
  readonly prefillMs: number
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean
  /** Blocks of 64 characters that the prefix cache holds. */
  readonly cacheBlocks?: number
  /** Age that a load report reaches before the next is taken, in milliseconds. */
  readonly loadReportIntervalMs?: number
  /** How late cache events are published, in milliseconds. */
  readonly cacheEventDelayMs?: number
  /** Share of the cache events that are never published. */
  readonly cacheEventLossRatio?: number
  /** Base URL of the weight store; without one, weights are there at once. */
  readonly weightStoreUrl?: string
  /** Time for which a change of weights halts the batch, in milliseconds. */
  readonly swapMs?: number
  /** Tokens an answer has before it ends by itself; the maximum asked for when absent. */
  readonly answerTokens?: (prompt: string) => number
  /** Draws what is left to chance, from 0 up to 1. */
  readonly random?: () => number
}

/** Faults an engine can be told to have. */
export interface EngineFaults {
  /** Prompts containing this text crash the engine; empty for none. */
  poison: string
  /** Leaves the weight version out of the stream. */
  omitsVersion: boolean
  /** Ignores orders to change weights but answers them. */
  ignoresWeightOrders: boolean
  /** How many times longer each token takes. */
  slowdown: number
}
