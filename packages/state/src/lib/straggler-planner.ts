import type { SampleOrder } from './ledger-record.js'

/** Slowdown relative to the average from which a second copy of a sample is worth a free slot. */
const SLOWDOWN_THRESHOLD = 1.3

/** Minimum time that a second copy has to save, in milliseconds: starting it takes time itself. */
const MIN_GAIN_MS = 100

/** Smoothing factor of the learned averages: minimum weight of the newest observation. */
const LEARNING_RATE = 0.05

/** Number of observations from which a learned average is used. */
const MIN_OBSERVATIONS = 8

/** A running sample, with the data the planner needs. */
export interface RunningSample {
  readonly sampleId: string
  readonly entry: string
  readonly expectedTokens: number
  /** Monotonic milliseconds at which its first copy got a slot. */
  readonly startedAt: number
  /** Tokens that the most advanced copy has produced. */
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
 * Learns the length of samples and the time per token. Uses them to order samples
 * and to select stragglers that should run a second time at the end of a step.
 */
export class StragglerPlanner {
  readonly #lengths = new Map<string, Average>()
  readonly #tokenMs = new Map<string, Average>()

  /** Records a finished sample. */
  recordSample (entry: string, group: string, tokens: number, durationMs: number): void {
    updateAverage(this.#lengths, entry, tokens)
    updateAverage(this.#lengths, `${entry}\u0000${group}`, tokens)
    if (tokens > 0) updateAverage(this.#tokenMs, entry, durationMs / tokens)
  }

  /** Drops the averages of a group after the end of its batch. */
  forgetGroup (entry: string, group: string): void {
    this.#lengths.delete(`${entry}\u0000${group}`)
  }

  /** Expected tokens of a sample: as stated by its trainer, else the average of its group or its entry. */
  expectedTokens (entry: string, sample: SampleOrder): number {
    // An order without an expectation has the maximum in its place. A value above the maximum was stated by the trainer.
    if (sample.expectedTokens !== sample.maxTokens) return Math.min(sample.expectedTokens, sample.maxTokens)
    const learned = [this.#lengths.get(`${entry}\u0000${sample.group}`), this.#lengths.get(entry)]
    const average = learned.find((item) => item !== undefined && item.observations >= MIN_OBSERVATIONS)
    return average === undefined ? sample.expectedTokens : Math.min(sample.maxTokens, average.value)
  }

  /**
   * Sorts samples: the longest first, so that none of them starts after the others
   * have ended; among equals round-robin over the groups, so that the groups finish
   * together and are spread over the endpoints.
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
   * Selects the running samples that should run a second time: only those that
   * another endpoint, continuing from the current text, is expected to finish
   * earlier; those with the largest gain first, and no more than there are free slots.
   *
   * @param running the running samples of a step that has no waiting ones left
   * @param freeSlots slots for which no request is waiting
   * @param now monotonic milliseconds
   * @example
   * planner.selectForCopy(running, 2, now).map((sample) => sample.sampleId)
   */
  selectForCopy (running: readonly RunningSample[], freeSlots: number, now: number): RunningSample[] {
    const stragglers = running.flatMap((sample) => {
      const gain = this.#expectedGainMs(sample, now)
      return sample.copies === 1 && gain > 0 ? [{ sample, gain }] : []
    })
    stragglers.sort((a, b) => b.gain - a.gain)
    return stragglers.slice(0, Math.max(0, freeSlots)).map((item) => item.sample)
  }

  /** Milliseconds by which another endpoint, continuing from the current text, is expected to finish earlier; 0 if the gain is too small or unknown. */
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
