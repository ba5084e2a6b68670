/** One measured figure of an experiment. */
export interface Figure {
  readonly name: string
  readonly unit: string
  readonly baseline: number | undefined
  readonly chosen: number
  /** Text of the target and whether the chosen design meets it; absent if the figure has no target. */
  readonly target?: { readonly text: string, readonly met: boolean }
}

/** Result of an experiment. */
export interface ExperimentReport {
  readonly figures: readonly Figure[]
  /** Conditions under which the figures were measured. */
  readonly notes: readonly string[]
}

/** An experiment: runs the service's own code against stand-ins, with a baseline and with the chosen design. */
export interface Scenario {
  readonly name: string
  readonly question: string
  /** @param seed seed of the random source */
  run (seed: number): Promise<ExperimentReport>
}
