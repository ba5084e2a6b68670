import { flood } from './flood.js'
import { handover } from './handover.js'
import { lag } from './lag.js'
import { limits } from './limits.js'
import { poison } from './poison.js'
import { reclaim } from './reclaim.js'
import { stragglers } from './stragglers.js'
import { weights } from './weights.js'
import type { Scenario } from '../scenario.js'

/** All experiments, in the order of the command's help. */
export const SCENARIOS: readonly Scenario[] = [
  flood,
  handover,
  lag,
  limits,
  poison,
  reclaim,
  stragglers,
  weights
]
