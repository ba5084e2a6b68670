import type { BatchOrder, RecordedAnswer, Sample } from './ledger-record.js'
import type { Refusal } from './refusal.js'

/** A claim of a non-idempotent call with its answer, once that is known. */
export interface ClaimState {
  readonly claimId: string
  readonly workspace: string
  readonly requestDigest: string
  readonly requestId: string
  readonly claimedAt: number
  /** Usage window of the commit that claimed it; the age of the claim is measured in windows, not by a clock. */
  readonly window: number
  answer?: RecordedAnswer
  /** The call was sent, its answer was lost, and it is not running any more. */
  uncertain?: boolean
}

/** A released claim, stored so that a late copy of the request's claim record does not acquire it again. */
export interface ReleasedClaim {
  readonly claimId: string
  readonly requestId: string
  readonly window: number
}

/** An event of a batch that a trainer reads by cursor. */
export type BatchEvent =
  | { readonly kind: 'sample', readonly cursor: number, readonly sample: Sample }
  | { readonly kind: 'failure', readonly cursor: number, readonly sampleId: string, readonly refusal: Refusal }

/** A batch and the state of its delivery. */
export interface BatchState {
  /** The order; its samples are dropped once all are settled and acknowledged. */
  order: BatchOrder
  readonly digest: string
  /** Number of samples ordered. */
  readonly total: number
  /** Events after the acknowledged cursor. */
  readonly events: BatchEvent[]
  /** Ids of settled samples; empty once all are settled and acknowledged. */
  readonly settled: Set<string>
  /** Number of events so far, which is also the cursor of the last one. */
  delivered: number
  acknowledged: number
  cancelled: boolean
  /** Usage window in which the last sample was settled or the batch cancelled. */
  closedWindow: number | undefined
}

/** Usage of a workspace and entry within one window. */
export interface UsageTotal {
  readonly workspace: string
  readonly entry: string
  /** The window in which the work was done, if it was committed after that window had closed. */
  readonly correctionOf?: number
  promptTokens: number
  answerTokens: number
  calls: number
  items: number
}

/** Last committed hash of a decision chain. */
export interface ChainAnchor {
  readonly chain: string
  readonly sequence: number
  readonly hash: string
  readonly window: number
}

/** An item of a partition's state in a snapshot. */
export type PartitionItem =
  | { readonly kind: 'claim', readonly claim: ClaimState }
  | { readonly kind: 'batch', readonly batch: Omit<BatchState, 'settled'>, readonly settled: readonly string[] }
  | { readonly kind: 'usage', readonly window: number, readonly total: UsageTotal }
  | { readonly kind: 'anchor', readonly anchor: ChainAnchor }
  | { readonly kind: 'release', readonly release: ReleasedClaim }
  | { readonly kind: 'counted', readonly requestId: string, readonly window: number }

/** Usage windows before which a partition may drop state. */
export interface Retention {
  /** Answers of claims made before this window are dropped, while the claims stay; released claims and the ids of counted usage are dropped, too. */
  readonly answers: number
  /** Claims, closed batches and chain anchors from before this window are dropped. */
  readonly claims: number
}
