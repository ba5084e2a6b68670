/** How long a step is taken into account, in milliseconds: several steps of a slow trainer. */
const RETENTION_MS = 60_000

/** Size of a step. */
export interface StepSize {
  /** Expected answer tokens of all its samples. */
  readonly tokens: number
  readonly samples: number
}

interface RecordedStep extends StepSize {
  readonly at: number
}

/**
 * Tracks the work of each model's steps, by which endpoints are assigned to models.
 * The largest step of the last minute counts: a step with few groups does not
 * predict the size of the next.
 *
 * @example
 * demand.recordStep('models', 'critic', { tokens: 52_000, samples: 64 }, now)
 * demand.tokensByModel('models', now) // Map { 'critic' => 52000 }
 */
export class StepDemand {
  readonly #steps = new Map<string, Map<string, RecordedStep[]>>()

  /**
   * Records a step.
   *
   * @param now monotonic milliseconds
   */
  recordStep (service: string, model: string, size: StepSize, now: number): void {
    const models = this.#steps.get(service) ?? new Map<string, RecordedStep[]>()
    this.#steps.set(service, models)
    models.set(model, [...(models.get(model) ?? []).filter((step) => now - step.at < RETENTION_MS), { ...size, at: now }])
  }

  /** Expected tokens of the largest recent step of each model. */
  tokensByModel (service: string, now: number): Map<string, number> {
    return this.#largest(service, now, (step) => step.tokens)
  }

  /** Samples of the largest recent step of each model. */
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
