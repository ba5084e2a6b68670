import { Caller } from './caller.js'
import { bearerTokenFor } from './deployment.js'
import type { DeliveredSample, SampleRequest } from './caller.js'
import type { Deployment } from './deployment.js'

/** Median length of a sample, in tokens. */
const MEDIAN_TOKENS = 64

/** Spread of the logarithm of the lengths. */
const LENGTH_SIGMA = 0.7

/** Longest sample, in tokens. */
const MAX_TOKENS = 512

/** Error of the lengths that the trainer expects, as a share. */
const EXPECTED_LENGTH_ERROR = 0.2

/** Marks the true length in a prompt, for the stand-in engines. */
const PROMPT_LENGTH_PATTERN = /length (\d+)$/

/** A step of samples whose lengths differ. */
export interface TrainerStep {
  readonly samples: readonly SampleRequest[]
  /** Tokens of all samples. */
  readonly tokens: number
  /** Tokens of the longest. */
  readonly longest: number
}

/** How a step went. */
export interface StepResult {
  readonly durationMs: number
  readonly samples: readonly DeliveredSample[]
  /** Samples that came not at all or more than once. */
  readonly lost: number
  readonly duplicated: number
}

/**
 * Tokens that a stand-in engine answers such a prompt with.
 *
 * @example
 * answerTokens('critique drawing 4, length 80') // 80
 */
export function parseAnswerTokens (prompt: string): number {
  return Number(PROMPT_LENGTH_PATTERN.exec(prompt)?.[1] ?? MAX_TOKENS)
}

/** Draws a step: lengths are log-normal, and the trainer's expectation is off by up to a fifth. */
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

/** Batches that are sent first, so that every ledger partition has had one. */
const WARM_UP_BATCHES = 48

/** Longest the partitions may take to find their owners, in milliseconds. */
const WARM_UP_TIMEOUT_MS = 60_000

/** Sends small batches until each is taken, so that a measured step does not count the start of the hosts. */
export async function warmUp (deployment: Deployment): Promise<void> {
  const trainer = new Caller(deployment.urls[0] ?? '', bearerTokenFor('training'))
  const until = performance.now() + WARM_UP_TIMEOUT_MS
  await Promise.all(Array.from({ length: WARM_UP_BATCHES }, async (_, index) => {
    const samples = [{ id: 's', group: 'g', prompt: 'warm up, length 8', max_tokens: 8 }]
    for (;;) {
      const opened = await trainer.openBatch(`warm-up-${index}`, 'critique', samples)
      if (opened.status < 300) break
      if (performance.now() > until) throw new Error(`warming up: ${opened.status} ${opened.body}`)
    }
    await trainer.readBatch(`warm-up-${index}`, 1)
  }))
}

/**
 * Runs a step on a deployment, from its order until the trainer has read its last sample.
 *
 * @param onSample called with each sample as soon as it is read
 */
export async function runStep (deployment: Deployment, id: string, step: TrainerStep, onSample?: (sample: DeliveredSample) => void): Promise<StepResult> {
  const trainer = new Caller(deployment.urls[0] ?? '', bearerTokenFor('training'))
  const startedAt = performance.now()
  const opened = await trainer.openBatch(id, 'critique', step.samples)
  if (opened.status !== 201) throw new Error(`opening ${id}: ${opened.status} ${opened.body}`)
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
 * The least time a step can take: all its tokens over the slots, each at its own
 * speed, or its longest sample on the fastest.
 *
 * @param slotSpeeds tokens a millisecond of each slot
 */
export function lowerBoundMs (step: TrainerStep, slotSpeeds: readonly number[]): number {
  const totalSpeed = slotSpeeds.reduce((sum, speed) => sum + speed, 0)
  return Math.max(step.tokens / totalSpeed, step.longest / Math.max(...slotSpeeds))
}
