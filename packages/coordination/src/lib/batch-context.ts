import type { Clock, VersionTracker, StragglerPlanner } from '@cyclamenthread/state'
import type { EndpointClient } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { CellRouter } from './cell-router.js'
import type { CompletionRunner } from './completion-runner.js'

/** How batches are run. The defaults are the service's; other values are for experiments. */
export interface BatchPolicy {
  /** Whether long-expected samples go first; else they go as the trainer listed them. */
  readonly longestFirst: boolean
  /** Whether late samples of a step's tail are run a second time. */
  readonly copies: boolean
  /** Whether streams go on elsewhere on a notice of reclaim; else they run until they break off. */
  readonly moves: boolean
}

/** What the service does. */
export const DEFAULT_BATCH_POLICY: BatchPolicy = { longestFirst: true, copies: true, moves: true }

/** What became of samples since the start of the process, and tokens that were produced for nothing. */
export interface BatchCounters {
  delivered: number
  failed: number
  discardedStale: number
  discardedUnnamed: number
  retried: number
  copies: number
  copiesWon: number
  moved: number
  wastedTokens: number
}

/** What the runs of one host's batches share. */
export interface BatchContext {
  readonly catalogue: CatalogueSource
  readonly runner: CompletionRunner
  readonly endpoints: EndpointClient
  readonly slots: Pick<CellRouter, 'freeSlots' | 'totalSlots'>
  readonly plan: StragglerPlanner
  readonly staleness: VersionTracker
  readonly policy: BatchPolicy
  readonly counters: BatchCounters
  readonly clock: Clock
}
