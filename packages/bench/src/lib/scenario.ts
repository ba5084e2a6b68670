/** One figure of an experiment. */
export interface Figure {
  readonly name: string
  readonly unit: string
  readonly baseline: number | undefined
  readonly chosen: number
  /** The target as it was stated, and whether the chosen figure meets it; absent where none is stated. */
  readonly target?: { readonly text: string, readonly met: boolean }
}

/** What an experiment found. */
export interface ExperimentReport {
  readonly figures: readonly Figure[]
  /** What a reader has to know to judge the figures. */
  readonly notes: readonly string[]
}

/** An experiment: real tasks of the service against stand-ins, baseline and choice in one run. */
export interface Scenario {
  readonly name: string
  readonly question: string
  /** @param seed of everything that is drawn by chance */
  run (seed: number): Promise<ExperimentReport>
}
