/** How long the work of a step is remembered, in milliseconds: several steps of a slow trainer. */
const RETENTION_MS = 60_000

/** The size of one step. */
export interface StepSize {
  /** Expected answer tokens of all its samples. */
  readonly tokens: number
  readonly samples: number
}

interface RecordedStep extends StepSize {
  readonly at: number
}

/**
 * What the steps of each model bring in work, so that endpoints can be shared
 * out by it. The largest step of the last minute counts: a step that carries
 * few groups says nothing about the next.
 *
 * @example
 * demand.note('models', 'critic', { tokens: 52_000, samples: 64 }, now)
 * demand.work('models', now) // Map { 'critic' => 52000 }
 */
export class StepDemand {
  readonly #steps = new Map<string, Map<string, RecordedStep[]>>()

  /**
   * Takes note of a step.
   *
   * @param now monotonic milliseconds
   */
  recordStep (service: string, model: string, size: StepSize, now: number): void {
    const models = this.#steps.get(service) ?? new Map<string, RecordedStep[]>()
    this.#steps.set(service, models)
    models.set(model, [...(models.get(model) ?? []).filter((step) => now - step.at < RETENTION_MS), { ...size, at: now }])
  }

  /** Expected tokens of the largest step of each model that is remembered. */
  tokensByModel (service: string, now: number): Map<string, number> {
    return this.#largest(service, now, (step) => step.tokens)
  }

  /** Samples of the largest step of each model that is remembered. */
  samplesByModel (service: string, now: number): Map<string, number> {
    return this.#largest(service, now, (step) => step.samples)
  }

  #largest (service: string, now: number, sizeOf: (step: StepSize) => number): Map<string, number> {
    const largest = [...this.#steps.get(service) ?? []].flatMap(([model, steps]) => {
      const sizes = steps.filter((step) => now - step.at < RETENTION_MS).map(sizeOf)
      return sizes.length === 0 ? [] : [[model, Math.max(...sizes)] as const]
    })
    return new Map(largest)
  }
}
