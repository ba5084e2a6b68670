import type { Scenario } from '../scenario.js'

/** All experiments, a line each. */
export const SCENARIOS: readonly Scenario[] = [
]
