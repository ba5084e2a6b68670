import { flood } from './flood.js'
import { lag } from './lag.js'
import { limits } from './limits.js'
import type { Scenario } from '../scenario.js'

/** All experiments, a line each. */
export const SCENARIOS: readonly Scenario[] = [
  flood,
  lag,
  limits
]
