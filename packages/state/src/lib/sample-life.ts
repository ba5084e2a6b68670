import { SampleState } from './rollout.js'
import { unreachable } from './invariant.js'
import type { SampleResult } from './rollout.js'

/** Phases in the life of a sample, in the order in which a sample passes them. */
export enum SamplePhase {
  /** No endpoint generates its text. */
  Waiting = 'waiting',
  Generating = 'generating',
  /** The text is whole; its reward has to be requested. */
  Generated = 'generated',
  /** The reward was requested. */
  Scoring = 'scoring',
  /** The result is known, but not in the log. */
  Settled = 'settled',
  /** The result is in the log and never changes. */
  Listed = 'listed'
}

/** A whole text and every weight version that generated a part of it. */
export interface GeneratedText {
  readonly pieces: readonly string[]
  readonly versions: readonly number[]
}

/** State of one sample at the owner of its rollout. */
export type SampleLife =
  | { readonly phase: SamplePhase.Waiting, readonly failures: number }
  | { readonly phase: SamplePhase.Generating, readonly failures: number }
  | {
    readonly phase: SamplePhase.Generated
    readonly text: GeneratedText
    /** Answers of 500 to its reward request. */
    readonly rewardFailures: number
    /** Monotonic milliseconds before which its reward isn't requested again. */
    readonly retryAt: number
  }
  | { readonly phase: SamplePhase.Scoring, readonly text: GeneratedText, readonly rewardFailures: number }
  | { readonly phase: SamplePhase.Settled, readonly result: SampleResult }
  | { readonly phase: SamplePhase.Listed }

/** Kinds of events in the life of a sample. */
export enum SampleEventKind {
  GenerationStarted = 'generation-started',
  TextCompleted = 'text-completed',
  /** The endpoint ran the sample and failed. */
  GenerationFailed = 'generation-failed',
  /** The log or an earlier owner shows failed runs. */
  FailuresRecovered = 'failures-recovered',
  /** The endpoint stated that the sample can never be completed. */
  GenerationImpossible = 'generation-impossible',
  /** Generation ended without a verdict: refused, broken, stale or cancelled. */
  GenerationInterrupted = 'generation-interrupted',
  RewardRequested = 'reward-requested',
  RewardReceived = 'reward-received',
  RewardNotReceived = 'reward-not-received',
  /** A whole text of an earlier owner was found in the log or in a handover. */
  TextRecovered = 'text-recovered',
  /** An earlier owner handed over the result. */
  ResultAdopted = 'result-adopted',
  /** The lifetime of the sample has passed. */
  Expired = 'expired',
  Listed = 'listed'
}

/** An event in the life of a sample. */
export type SampleEvent =
  | { readonly kind: SampleEventKind.GenerationStarted }
  | { readonly kind: SampleEventKind.TextCompleted, readonly text: GeneratedText }
  | { readonly kind: SampleEventKind.GenerationFailed }
  | { readonly kind: SampleEventKind.FailuresRecovered, readonly failures: number }
  | { readonly kind: SampleEventKind.GenerationImpossible }
  | { readonly kind: SampleEventKind.GenerationInterrupted }
  | { readonly kind: SampleEventKind.RewardRequested }
  | { readonly kind: SampleEventKind.RewardReceived, readonly score: string }
  | {
    readonly kind: SampleEventKind.RewardNotReceived
    /** Answers of 500 to this request. */
    readonly failures: number
    /** Number of answers of 500 after which the sample is abandoned. */
    readonly maxFailures: number
    /** Monotonic milliseconds. */
    readonly retryAt: number
  }
  | { readonly kind: SampleEventKind.TextRecovered, readonly text: GeneratedText, readonly rewardFailures: number }
  | { readonly kind: SampleEventKind.ResultAdopted, readonly result: SampleResult }
  | { readonly kind: SampleEventKind.Expired }
  | { readonly kind: SampleEventKind.Listed }

/** Properties of a sample that decide its life. */
export interface SampleTerms {
  readonly id: string
  readonly hasReward: boolean
  /** Number of failed generations after which the sample is abandoned. */
  readonly maxFailures: number
}

/**
 * Computes the next state of a sample. An event that doesn't fit the phase leaves
 * it unchanged: it reports work that a handover or another owner has overtaken.
 *
 * Invariants: a listed sample never changes; a settled result is only replaced by
 * its listing; a sample with a reward is completed only with its score, and only a
 * reward that was requested after the text was whole is accepted.
 *
 * @example
 * advanceSample({ phase: SamplePhase.Waiting, failures: 0 }, { kind: SampleEventKind.GenerationStarted }, terms)
 */
export function advanceSample (life: SampleLife, event: SampleEvent, terms: SampleTerms): SampleLife {
  if (event.kind === SampleEventKind.Listed) return { phase: SamplePhase.Listed }
  switch (life.phase) {
    case SamplePhase.Waiting: return advanceWaiting(life, event, terms)
    case SamplePhase.Generating: return advanceGenerating(life, event, terms)
    case SamplePhase.Generated: return advanceGenerated(life, event, terms)
    case SamplePhase.Scoring: return advanceScoring(life, event, terms)
    case SamplePhase.Settled:
    case SamplePhase.Listed: return life
    default: return unreachable(life)
  }
}

function advanceWaiting (life: Extract<SampleLife, { phase: SamplePhase.Waiting }>, event: SampleEvent, terms: SampleTerms): SampleLife {
  switch (event.kind) {
    case SampleEventKind.GenerationStarted: return { phase: SamplePhase.Generating, failures: life.failures }
    case SampleEventKind.TextRecovered: return afterText(event.text, event.rewardFailures, terms)
    case SampleEventKind.ResultAdopted: return { phase: SamplePhase.Settled, result: event.result }
    case SampleEventKind.FailuresRecovered: return withFailures(life, event.failures, terms)
    case SampleEventKind.Expired: return abandoned(terms)
    default: return life
  }
}

function advanceGenerating (life: Extract<SampleLife, { phase: SamplePhase.Generating }>, event: SampleEvent, terms: SampleTerms): SampleLife {
  switch (event.kind) {
    case SampleEventKind.TextCompleted: return afterText(event.text, 0, terms)
    case SampleEventKind.TextRecovered: return afterText(event.text, event.rewardFailures, terms)
    case SampleEventKind.GenerationFailed: return withFailures({ phase: SamplePhase.Waiting, failures: 0 }, life.failures + 1, terms)
    case SampleEventKind.FailuresRecovered: return withFailures(life, event.failures, terms)
    case SampleEventKind.GenerationImpossible: return abandoned(terms)
    case SampleEventKind.GenerationInterrupted: return { phase: SamplePhase.Waiting, failures: life.failures }
    case SampleEventKind.ResultAdopted: return { phase: SamplePhase.Settled, result: event.result }
    default: return life
  }
}

/** Returns a life with at least a number of failures, which ends after the most that its sample may have. */
function withFailures (life: Extract<SampleLife, { phase: SamplePhase.Waiting | SamplePhase.Generating }>, failures: number, terms: SampleTerms): SampleLife {
  if (failures >= terms.maxFailures) return abandoned(terms)
  return failures > life.failures ? { ...life, failures } : life
}

function advanceGenerated (life: Extract<SampleLife, { phase: SamplePhase.Generated }>, event: SampleEvent, terms: SampleTerms): SampleLife {
  switch (event.kind) {
    case SampleEventKind.RewardRequested: return { phase: SamplePhase.Scoring, text: life.text, rewardFailures: life.rewardFailures }
    case SampleEventKind.ResultAdopted: return { phase: SamplePhase.Settled, result: event.result }
    case SampleEventKind.Expired: return abandoned(terms)
    default: return life
  }
}

function advanceScoring (life: Extract<SampleLife, { phase: SamplePhase.Scoring }>, event: SampleEvent, terms: SampleTerms): SampleLife {
  switch (event.kind) {
    case SampleEventKind.RewardReceived: return completed(life.text, event.score, terms)
    case SampleEventKind.RewardNotReceived: {
      const rewardFailures = life.rewardFailures + event.failures
      if (rewardFailures >= event.maxFailures) return abandoned(terms)
      return { phase: SamplePhase.Generated, text: life.text, rewardFailures, retryAt: event.retryAt }
    }
    case SampleEventKind.ResultAdopted: return { phase: SamplePhase.Settled, result: event.result }
    default: return life
  }
}

function afterText (text: GeneratedText, rewardFailures: number, terms: SampleTerms): SampleLife {
  if (!terms.hasReward) return completed(text, undefined, terms)
  return { phase: SamplePhase.Generated, text, rewardFailures, retryAt: -Infinity }
}

function completed (text: GeneratedText, score: string | undefined, { id }: SampleTerms): SampleLife {
  const result = { id, state: SampleState.Completed, output: text.pieces.join('\n'), versions: [...text.versions] }
  return { phase: SamplePhase.Settled, result: score === undefined ? result : { ...result, score } }
}

function abandoned ({ id }: SampleTerms): SampleLife {
  return { phase: SamplePhase.Settled, result: { id, state: SampleState.Abandoned, output: '', versions: [] } }
}
