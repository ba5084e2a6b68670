import { Caller } from './caller.js'
import { bearerTokenFor } from './deployment.js'
import type { DeliveredSample, SampleRequest } from './caller.js'
import type { Deployment } from './deployment.js'

/** Median sample length, in tokens. */
const MEDIAN_TOKENS = 64

/** Standard deviation of the logarithm of the sample lengths. */
const LENGTH_SIGMA = 0.7

/** Largest sample length, in tokens. */
const MAX_TOKENS = 512

/** Largest relative error of the trainer's expected lengths. */
const EXPECTED_LENGTH_ERROR = 0.2

/** Matches the true sample length, which the prompt carries for the engine stand-ins. */
const PROMPT_LENGTH_PATTERN = /length (\d+)$/

/** A training step with samples of different lengths. */
export interface TrainerStep {
  readonly samples: readonly SampleRequest[]
  /** Total tokens of all samples. */
  readonly tokens: number
  /** Tokens of the longest sample. */
  readonly longest: number
}

/** Duration and deliveries of a step. */
export interface StepResult {
  readonly durationMs: number
  readonly samples: readonly DeliveredSample[]
  /** Samples that were never delivered. */
  readonly lost: number
  /** Deliveries beyond the first of a sample. */
  readonly duplicated: number
}

/**
 * Returns the number of tokens with which an engine stand-in answers a generated prompt.
 *
 * @example
 * parseAnswerTokens('critique drawing 4, length 80') // 80
 */
export function parseAnswerTokens (prompt: string): number {
  return Number(PROMPT_LENGTH_PATTERN.exec(prompt)?.[1] ?? MAX_TOKENS)
}

/** Generates a step with log-normal sample lengths and expected lengths that are off by up to a fifth. */
export function generateStep (random: () => number, count: number, groupSize: number): TrainerStep {
  const lengths = Array.from({ length: count }, () => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
    return Math.max(8, Math.min(MAX_TOKENS, Math.round(MEDIAN_TOKENS * Math.exp(LENGTH_SIGMA * normal))))
  })
  const samples = lengths.map((length, index): SampleRequest => ({
    id: `s${index}`,
    group: `g${Math.floor(index / groupSize)}`,
    prompt: `critique drawing ${Math.floor(index / groupSize)}, sample ${index}, length ${length}`,
    max_tokens: MAX_TOKENS,
    expected_tokens: Math.max(1, Math.round(length * (1 + EXPECTED_LENGTH_ERROR * (2 * random() - 1))))
  }))
  return { samples, tokens: lengths.reduce((sum, length) => sum + length, 0), longest: Math.max(...lengths) }
}

/** Warm-up batches: enough that every ledger partition is likely to have received one. */
const WARM_UP_BATCHES = 48

/** Time within which all partitions must have an owner, in milliseconds. */
const WARM_UP_TIMEOUT_MS = 60_000

/** Sends small batches until each is accepted, so that a measured step does not include the start of the hosts. */
export async function warmUp (deployment: Deployment): Promise<void> {
  const trainer = new Caller(deployment.urls[0] ?? '', bearerTokenFor('training'))
  const until = performance.now() + WARM_UP_TIMEOUT_MS
  await Promise.all(Array.from({ length: WARM_UP_BATCHES }, async (_, index) => {
    const samples = [{ id: 's', group: 'g', prompt: 'warm up, length 8', max_tokens: 8 }]
    for (;;) {
      const opened = await trainer.openBatch(`warm-up-${index}`, 'critique', samples)
      if (opened.status < 300) break
      if (performance.now() > until) throw new Error(`warm-up batch was not accepted in time: ${opened.status} ${opened.body}`)
    }
    await trainer.readBatch(`warm-up-${index}`, 1)
  }))
}

/**
 * Opens a step as a batch and reads it until the trainer has every sample.
 *
 * @param onSample called with each sample when it has been read
 */
export async function runStep (deployment: Deployment, id: string, step: TrainerStep, onSample?: (sample: DeliveredSample) => void): Promise<StepResult> {
  const trainer = new Caller(deployment.urls[0] ?? '', bearerTokenFor('training'))
  const startedAt = performance.now()
  const opened = await trainer.openBatch(id, 'critique', step.samples)
  if (opened.status !== 201) throw new Error(`opening batch ${id} failed: ${opened.status} ${opened.body}`)
  const samples = await trainer.readBatch(id, step.samples.length, onSample)
  const ids = new Set(samples.map((sample) => sample.id))
  return {
    durationMs: performance.now() - startedAt,
    samples,
    lost: step.samples.length - ids.size,
    duplicated: samples.length - ids.size
  }
}

/**
 * Returns a lower bound of a step's duration: all its tokens at the combined
 * speed of the slots, or its longest sample on the fastest slot.
 *
 * @param slotSpeeds speed of each slot, in tokens per millisecond
 */
export function lowerBoundMs (step: TrainerStep, slotSpeeds: readonly number[]): number {
  const totalSpeed = slotSpeeds.reduce((sum, speed) => sum + speed, 0)
  return Math.max(step.tokens / totalSpeed, step.longest / Math.max(...slotSpeeds))
}
