import { STRAGGLERS } from './stragglers.js'
import type { Scenario } from '../scenario.js'

/** All experiments, a line each. */
export const SCENARIOS: readonly Scenario[] = [
  STRAGGLERS
]
