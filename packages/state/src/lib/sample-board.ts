import { advanceSample, SampleEventKind, SamplePhase } from './sample-life.js'
import { sortForStart } from './sample-placement.js'
import { invariant, unreachable } from './invariant.js'
import type { RolloutOrder, RolloutSample, SampleResult } from './rollout.js'
import type { SampleEvent, SampleLife, SampleTerms } from './sample-life.js'

/** A sample and the state of its life. */
interface BoardEntry {
  readonly sample: RolloutSample
  readonly terms: SampleTerms
  life: SampleLife
}

/**
 * The lives of all samples of one rollout at its owner.
 *
 * Invariant: each sample is in exactly one phase.
 *
 * @example
 * const board = new SampleBoard(order)
 * board.apply('s1', { kind: SampleEventKind.GenerationStarted })
 */
export class SampleBoard {
  readonly #entries = new Map<string, BoardEntry>()
  /** Waiting samples in the order in which they should start. */
  readonly #waiting: RolloutSample[]
  readonly #generated = new Set<string>()
  readonly #settled = new Set<string>()
  readonly #listed = new Set<string>()

  constructor (order: RolloutOrder) {
    for (const sample of order.samples) {
      const terms = { id: sample.id, hasReward: sample.reward !== undefined, maxFailures: order.maxAttempts }
      this.#entries.set(sample.id, { sample, terms, life: { phase: SamplePhase.Waiting, failures: 0 } })
    }
    this.#waiting = sortForStart(order, order.samples)
  }

  /** Samples that wait for an endpoint, in the order in which they should start. */
  get waiting (): readonly RolloutSample[] {
    return this.#waiting
  }

  /** Ids of samples whose text is whole and whose reward isn't being requested. */
  get generated (): ReadonlySet<string> {
    return this.#generated
  }

  /** Ids of samples whose results are known and not listed. */
  get settled (): ReadonlySet<string> {
    return this.#settled
  }

  /** Ids of listed samples. */
  get listed (): ReadonlySet<string> {
    return this.#listed
  }

  /** Results that are known and not listed. */
  settledResults (): SampleResult[] {
    return [...this.#settled].flatMap((id) => {
      const life = this.lifeOf(id)
      return life?.phase === SamplePhase.Settled ? [life.result] : []
    })
  }

  /** State of a sample; undefined if the rollout has no such sample. */
  lifeOf (sampleId: string): SampleLife | undefined {
    return this.#entries.get(sampleId)?.life
  }

  /** Failed runs of samples without a result, by sample id. */
  failures (): Map<string, number> {
    return new Map([...this.#entries].flatMap(([id, { life }]) => {
      const isOpen = life.phase === SamplePhase.Waiting || life.phase === SamplePhase.Generating
      return isOpen && life.failures > 0 ? [[id, life.failures] as const] : []
    }))
  }

  /** Whether the result of a sample is known. */
  isDecided (sampleId: string): boolean {
    return this.#settled.has(sampleId) || this.#listed.has(sampleId)
  }

  /** Advances the life of a sample; returns whether its state changed. */
  apply (sampleId: string, event: SampleEvent): boolean {
    const entry = this.#entries.get(sampleId)
    if (entry === undefined) return false
    const next = advanceSample(entry.life, event, entry.terms)
    if (next === entry.life) return false
    this.#remove(entry)
    entry.life = next
    this.#insert(entry)
    return true
  }

  /** Abandons the samples that wait for an endpoint or a reward. */
  expire (): void {
    for (const id of [...this.#waiting.map((sample) => sample.id), ...this.#generated]) this.apply(id, { kind: SampleEventKind.Expired })
  }

  /**
   * Samples whose reward may be requested now, most urgent first: those of the groups
   * with the fewest texts still to generate, because a group is of use only as a whole.
   *
   * @param now monotonic milliseconds
   */
  awaitingReward (now: number): RolloutSample[] {
    const ready = [...this.#generated].flatMap((id) => {
      const entry = this.#entries.get(id)
      return entry?.life.phase === SamplePhase.Generated && entry.life.retryAt <= now ? [entry.sample] : []
    })
    if (ready.length < 2) return ready
    const open = this.#openTextsByGroup()
    return ready.sort((a, b) => (open.get(a.group) ?? 0) - (open.get(b.group) ?? 0))
  }

  #openTextsByGroup (): Map<string, number> {
    const open = new Map<string, number>()
    for (const { sample, life } of this.#entries.values()) {
      if (life.phase === SamplePhase.Waiting || life.phase === SamplePhase.Generating) open.set(sample.group, (open.get(sample.group) ?? 0) + 1)
    }
    return open
  }

  #remove ({ sample, life }: BoardEntry): void {
    switch (life.phase) {
      case SamplePhase.Waiting: {
        const index = this.#waiting.indexOf(sample)
        invariant(index >= 0, 'a waiting sample is in the list of waiting samples')
        this.#waiting.splice(index, 1)
        break
      }
      case SamplePhase.Generated:
        this.#generated.delete(sample.id)
        break
      case SamplePhase.Settled:
        this.#settled.delete(sample.id)
        break
      case SamplePhase.Listed:
        this.#listed.delete(sample.id)
        break
      case SamplePhase.Generating:
      case SamplePhase.Scoring:
        // The generator and the reward caller hold these.
        break
      default: unreachable(life)
    }
  }

  #insert ({ sample, life }: BoardEntry): void {
    switch (life.phase) {
      case SamplePhase.Waiting:
        // A sample that was interrupted has lost time, so it starts before the others.
        this.#waiting.unshift(sample)
        break
      case SamplePhase.Generated:
        this.#generated.add(sample.id)
        break
      case SamplePhase.Settled:
        this.#settled.add(sample.id)
        break
      case SamplePhase.Listed:
        this.#listed.add(sample.id)
        break
      case SamplePhase.Generating:
      case SamplePhase.Scoring:
        // The generator and the reward caller hold these.
        break
      default: unreachable(life)
    }
  }
}
