import { RECLAIM } from './reclaim.js'
import { STRAGGLERS } from './stragglers.js'
import { WEIGHTS } from './weights.js'
import type { Scenario } from '../scenario.js'

/** All experiments, a line each. */
export const SCENARIOS: readonly Scenario[] = [
  RECLAIM,
  STRAGGLERS,
  WEIGHTS
]
