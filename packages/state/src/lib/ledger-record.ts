import type { Refusal } from './refusal.js'

/** Kinds of records that a ledger partition commits. */
export enum LedgerRecordKind {
  Claim = 'claim',
  ClaimRelease = 'claim-release',
  Answer = 'answer',
  /** The call of a claim went out and nobody can know whether it ran. */
  ClaimUncertainty = 'claim-uncertainty',
  BatchOpen = 'batch-open',
  BatchCancel = 'batch-cancel',
  Delivery = 'delivery',
  SampleFailure = 'sample-failure',
  Acknowledgement = 'acknowledgement',
  Usage = 'usage',
  /** Usage of the current window is known to be lost; the window is reported as incomplete. */
  UsageLoss = 'usage-loss',
  ChainHead = 'chain-head'
}

/** What one piece of work cost. It is billed to the window in which it is committed. */
export interface UsageItem {
  readonly requestId: string
  readonly workspace: string
  readonly entry: string
  readonly promptTokens: number
  readonly answerTokens: number
  /** 1 for a call of a plain service, 0 for model work. */
  readonly calls: number
  /** Usage window in which the work was done, when it was journaled first; becomes a correction if that window has closed. */
  readonly window?: number
}

/** A run of answer tokens that one weight version produced. */
export interface VersionSpan {
  readonly version: number
  readonly tokens: number
}

/** A sample as the trainer receives it. */
export interface Sample {
  readonly sampleId: string
  readonly group: string
  readonly text: string
  /** Versions in the order in which they produced the text, as the endpoint's stream named them. */
  readonly versions: readonly VersionSpan[]
  readonly finishReason: string
}

/** One sample that a trainer asks for. */
export interface SampleOrder {
  readonly sampleId: string
  readonly group: string
  readonly prompt: string
  readonly maxTokens: number
  /** Tokens the trainer expects; the maximum when it does not say. */
  readonly expectedTokens: number
}

/** A batch of samples, with its content fixed when it was first committed. */
export interface BatchOrder {
  readonly batchId: string
  readonly workspace: string
  readonly entry: string
  readonly samples: readonly SampleOrder[]
}

/** A recorded answer of a non-idempotent call. */
export interface RecordedAnswer {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** The call has run, but its answer is older than answers are kept. */
  readonly forgotten?: boolean
}

/** Everything a partition can commit. */
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
