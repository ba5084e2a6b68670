import type { SampleOrder } from './ledger-record.js'

/** How many times slower than others a sample has to run before a second copy is worth a free slot. */
const SLOWDOWN_THRESHOLD = 1.3

/** Least time that a second copy has to save, in milliseconds: moving costs some itself. */
const MIN_GAIN_MS = 100

/** Weight of one more observation in the learned averages. */
const LEARNING_RATE = 0.05

/** Observations before a learned length is used. */
const MIN_OBSERVATIONS = 8

/** A sample that runs, as the plan needs to see it. */
export interface RunningSample {
  readonly sampleId: string
  readonly entry: string
  readonly expectedTokens: number
  /** Monotonic milliseconds at which its first copy got a slot. */
  readonly startedAt: number
  /** Tokens that the copy which is furthest has produced. */
  readonly tokens: number
  readonly copies: number
}

/** A running average. */
interface Average {
  value: number
  observations: number
}

function updateAverage (averages: Map<string, Average>, name: string, value: number): void {
  const average = averages.get(name)
  if (average === undefined) {
    averages.set(name, { value, observations: 1 })
    return
  }
  average.observations += 1
  average.value += (value - average.value) * Math.max(LEARNING_RATE, 1 / average.observations)
}

/**
 * Learns how long samples are and how long a token takes, orders samples by it,
 * and says which ones to run a second time at the tail of a step.
 */
export class StragglerPlanner {
  readonly #lengths = new Map<string, Average>()
  readonly #tokenMs = new Map<string, Average>()

  /** Learns from a finished sample. */
  recordSample (entry: string, group: string, tokens: number, durationMs: number): void {
    updateAverage(this.#lengths, entry, tokens)
    updateAverage(this.#lengths, `${entry}\u0000${group}`, tokens)
    if (tokens > 0) updateAverage(this.#tokenMs, entry, durationMs / tokens)
  }

  /** Forgets a group once its batch is over. */
  forgetGroup (entry: string, group: string): void {
    this.#lengths.delete(`${entry}\u0000${group}`)
  }

  /** Tokens a sample is expected to have: what its trainer says, else the average of its group or its entry. */
  expectedTokens (entry: string, sample: SampleOrder): number {
    // An order without an expectation carries the maximum in its place; one above the maximum is an expectation.
    if (sample.expectedTokens !== sample.maxTokens) return Math.min(sample.expectedTokens, sample.maxTokens)
    const learned = [this.#lengths.get(`${entry}\u0000${sample.group}`), this.#lengths.get(entry)]
    const average = learned.find((item) => item !== undefined && item.observations >= MIN_OBSERVATIONS)
    return average === undefined ? sample.expectedTokens : Math.min(sample.maxTokens, average.value)
  }

  /**
   * Orders samples: the longest first, so that none of them starts when the
   * others have ended; among equals one of each group in turn, so that the
   * groups finish together and spread over the endpoints.
   */
  sortSamples (entry: string, samples: readonly SampleOrder[]): SampleOrder[] {
    const turns = new Map<string, number>()
    const ranked = samples.map((sample) => {
      const turn = turns.get(sample.group) ?? 0
      turns.set(sample.group, turn + 1)
      return { sample, turn, tokens: this.expectedTokens(entry, sample) }
    })
    ranked.sort((a, b) => b.tokens - a.tokens || a.turn - b.turn)
    return ranked.map((item) => item.sample)
  }

  /**
   * Which running samples are to be run a second time: only those that another
   * endpoint, going on from what is there, is expected to overtake, the one that
   * gains most first, and no more than there are free slots.
   *
   * @param running the samples of the step that still run, when none waits any more
   * @param freeSlots slots that nobody waits for
   * @param now monotonic milliseconds
   * @example
   * plan.copies(running, 2, now).map((sample) => sample.sampleId)
   */
  selectForCopy (running: readonly RunningSample[], freeSlots: number, now: number): RunningSample[] {
    const late = running.flatMap((sample) => {
      const gain = this.#expectedGainMs(sample, now)
      return sample.copies === 1 && gain > 0 ? [{ sample, gain }] : []
    })
    late.sort((a, b) => b.gain - a.gain)
    return late.slice(0, Math.max(0, freeSlots)).map((item) => item.sample)
  }

  /** Milliseconds by which another endpoint, going on from here, is expected to end first; 0 when that is not clear. */
  #expectedGainMs (sample: RunningSample, now: number): number {
    const tokenMs = this.#tokenMs.get(sample.entry)
    if (tokenMs === undefined || tokenMs.observations < MIN_OBSERVATIONS) return 0
    const ownTokenMs = (now - sample.startedAt) / Math.max(1, sample.tokens)
    if (ownTokenMs <= SLOWDOWN_THRESHOLD * tokenMs.value) return 0
    const left = Math.max(0, sample.expectedTokens - sample.tokens)
    const gain = left * (ownTokenMs - tokenMs.value)
    return gain < MIN_GAIN_MS ? 0 : gain
  }
}
