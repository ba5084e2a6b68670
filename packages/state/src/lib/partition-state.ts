import type { BatchOrder, RecordedAnswer, Sample } from './ledger-record.js'
import type { Refusal } from './refusal.js'

/** A claim of a non-idempotent call and, once known, its answer. */
export interface ClaimState {
  readonly claimId: string
  readonly workspace: string
  readonly requestDigest: string
  readonly requestId: string
  readonly claimedAt: number
  /** Usage window of the commit that claimed it; its age is counted by this, not by a clock. */
  readonly window: number
  answer?: RecordedAnswer
  /** The call went out, its answer was lost, and it is not running any more. */
  uncertain?: boolean
}

/** A request that gave its claim back. A late copy of its claim must not take it again. */
export interface ReleasedClaim {
  readonly claimId: string
  readonly requestId: string
  readonly window: number
}

/** One thing a trainer reads by cursor. */
export type BatchEvent =
  | { readonly kind: 'sample', readonly cursor: number, readonly sample: Sample }
  | { readonly kind: 'failure', readonly cursor: number, readonly sampleId: string, readonly refusal: Refusal }

/** A batch and what was delivered of it. */
export interface BatchState {
  /** What was asked for; without its samples once all are settled and acknowledged. */
  order: BatchOrder
  readonly digest: string
  /** Samples asked for. */
  readonly total: number
  /** Events after the acknowledged cursor. */
  readonly events: BatchEvent[]
  /** Ids of settled samples; empty once all are settled and acknowledged. */
  readonly settled: Set<string>
  /** Events so far, and so the last cursor given. */
  delivered: number
  acknowledged: number
  cancelled: boolean
  /** Usage window in which the last sample was settled or the batch cancelled. */
  closedWindow: number | undefined
}

/** Usage of one workspace and entry within one window. */
export interface UsageTotal {
  readonly workspace: string
  readonly entry: string
  /** The window in which the work was done, when it could be committed only after that window had closed. */
  readonly correctionOf?: number
  promptTokens: number
  answerTokens: number
  calls: number
  items: number
}

/** The last hash of a decision chain that was committed. */
export interface ChainAnchor {
  readonly chain: string
  readonly sequence: number
  readonly hash: string
  readonly window: number
}

/** One part of a partition's state, as a snapshot keeps it. */
export type PartitionItem =
  | { readonly kind: 'claim', readonly claim: ClaimState }
  | { readonly kind: 'batch', readonly batch: Omit<BatchState, 'settled'>, readonly settled: readonly string[] }
  | { readonly kind: 'usage', readonly window: number, readonly total: UsageTotal }
  | { readonly kind: 'anchor', readonly anchor: ChainAnchor }
  | { readonly kind: 'release', readonly release: ReleasedClaim }
  | { readonly kind: 'counted', readonly requestId: string, readonly window: number }

/** Up to which usage windows a partition may forget. */
export interface Retention {
  /** Answers of claims made before this window are dropped, the claim stays; so are released claims and the ids of counted usage. */
  readonly answers: number
  /** Claims, closed batches and chain anchors from before this window are dropped. */
  readonly claims: number
}
