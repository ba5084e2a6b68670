/** How long the work of a step is remembered, in milliseconds: several steps of a slow trainer. */
const MEMORY_MS = 60_000

/** The work of one step. */
interface StepWork {
  readonly at: number
  readonly tokens: number
}

/**
 * What the steps of each model bring in work, so that endpoints can be shared
 * out by it. The largest step of the last minute counts: a step that carries
 * few groups says nothing about the next.
 *
 * @example
 * demand.note('models', 'critic', 52_000, now)
 * demand.work('models', now) // Map { 'critic' => 52000 }
 */
export class StepDemand {
  readonly #steps = new Map<string, Map<string, StepWork[]>>()

  /**
   * Takes note of a step.
   *
   * @param tokens expected answer tokens of all its samples
   * @param now monotonic milliseconds
   */
  note (service: string, model: string, tokens: number, now: number): void {
    const models = this.#steps.get(service) ?? new Map<string, StepWork[]>()
    this.#steps.set(service, models)
    models.set(model, [...(models.get(model) ?? []).filter((step) => now - step.at < MEMORY_MS), { at: now, tokens }])
  }

  /** Expected tokens of the largest step of each model that is remembered. */
  work (service: string, now: number): Map<string, number> {
    const largest = [...this.#steps.get(service) ?? []].flatMap(([model, steps]) => {
      const tokens = steps.filter((step) => now - step.at < MEMORY_MS).map((step) => step.tokens)
      return tokens.length === 0 ? [] : [[model, Math.max(...tokens)] as const]
    })
    return new Map(largest)
  }
}
