import type { Clock, VersionTracker, StragglerPlanner } from '@cyclamenthread/state'
import type { EndpointClient } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { CellRouter } from './cell-router.js'
import type { CompletionRunner } from './completion-runner.js'

/** Scheduling policy for batches. The service uses the defaults; experiments use other values. */
export interface BatchPolicy {
  /** Whether samples with the longest expected output start first; otherwise they start in the trainer's order. */
  readonly longestFirst: boolean
  /** Whether late samples at the end of a step are run a second time. */
  readonly copies: boolean
  /** Whether streams move to another endpoint on a reclaim notice; otherwise they run until the connection breaks. */
  readonly moves: boolean
}

/** The policy of the service. */
export const DEFAULT_BATCH_POLICY: BatchPolicy = { longestFirst: true, copies: true, moves: true }

/** Outcomes of samples since the start of the process, and tokens that were generated but not delivered. */
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

/** Dependencies shared by all batch runs of a host. */
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
