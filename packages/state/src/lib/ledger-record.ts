import type { Refusal } from './refusal.js'

/** Kinds of ledger records. */
export enum LedgerRecordKind {
  Claim = 'claim',
  ClaimRelease = 'claim-release',
  Answer = 'answer',
  /** The call of a claim was sent, and it is unknown whether it ran. */
  ClaimUncertainty = 'claim-uncertainty',
  BatchOpen = 'batch-open',
  BatchCancel = 'batch-cancel',
  Delivery = 'delivery',
  SampleFailure = 'sample-failure',
  Acknowledgement = 'acknowledgement',
  Usage = 'usage',
  /** Some usage of the current window was lost; the window is reported as incomplete. */
  UsageLoss = 'usage-loss',
  ChainHead = 'chain-head'
}

/** Usage of one unit of work. It is billed to the window in which it is committed. */
export interface UsageItem {
  readonly requestId: string
  readonly workspace: string
  readonly entry: string
  readonly promptTokens: number
  readonly answerTokens: number
  /** 1 for a call of a plain service, 0 for a model request. */
  readonly calls: number
  /** Usage window in which the work was done, if it was journaled before its commit; counts as a correction if that window has closed. */
  readonly window?: number
}

/** Consecutive answer tokens that were produced by one weight version. */
export interface VersionSpan {
  readonly version: number
  readonly tokens: number
}

/** A completed sample as the trainer receives it. */
export interface Sample {
  readonly sampleId: string
  readonly group: string
  readonly text: string
  /** Weight versions in the order in which they produced the text, as stated in the endpoint's stream. */
  readonly versions: readonly VersionSpan[]
  readonly finishReason: string
}

/** A sample that a trainer requests. */
export interface SampleOrder {
  readonly sampleId: string
  readonly group: string
  readonly prompt: string
  readonly maxTokens: number
  /** Number of tokens that the trainer expects; `maxTokens` if it gives none. */
  readonly expectedTokens: number
}

/** A batch of samples. Its content is fixed by the first commit. */
export interface BatchOrder {
  readonly batchId: string
  readonly workspace: string
  readonly entry: string
  readonly samples: readonly SampleOrder[]
}

/** The recorded answer to a non-idempotent call. */
export interface RecordedAnswer {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** The call has run, but its answer has been dropped after the retention period. */
  readonly forgotten?: boolean
}

/** A record that a ledger partition commits. */
export type LedgerRecord =
  | { readonly kind: LedgerRecordKind.Claim, readonly claimId: string, readonly workspace: string, readonly requestDigest: string, readonly requestId: string, readonly claimedAt: number }
  | { readonly kind: LedgerRecordKind.ClaimRelease, readonly claimId: string, readonly requestId: string }
  | { readonly kind: LedgerRecordKind.ClaimUncertainty, readonly claimId: string, readonly requestId: string }
  | { readonly kind: LedgerRecordKind.Answer, readonly claimId: string, readonly requestId: string, readonly answer: RecordedAnswer, readonly usage: UsageItem }
  | { readonly kind: LedgerRecordKind.BatchOpen, readonly order: BatchOrder, readonly digest: string }
  | { readonly kind: LedgerRecordKind.BatchCancel, readonly workspace: string, readonly batchId: string }
  | { readonly kind: LedgerRecordKind.Delivery, readonly workspace: string, readonly batchId: string, readonly sample: Sample, readonly usage: UsageItem }
  | { readonly kind: LedgerRecordKind.SampleFailure, readonly workspace: string, readonly batchId: string, readonly sampleId: string, readonly refusal: Refusal }
  | { readonly kind: LedgerRecordKind.Acknowledgement, readonly workspace: string, readonly batchId: string, readonly cursor: number }
  | { readonly kind: LedgerRecordKind.Usage, readonly usage: UsageItem }
  | { readonly kind: LedgerRecordKind.UsageLoss, readonly lossId: string, readonly detail: string }
  | { readonly kind: LedgerRecordKind.ChainHead, readonly chain: string, readonly sequence: number, readonly hash: string }
