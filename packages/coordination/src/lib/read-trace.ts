import { monotonicNow } from '@cyclamenthread/transport'

/**
 * The steps of one read of a rollout and how long each took, for the log.
 *
 * @example
 * const trace = new ReadTrace()
 * const found = await trace.measure('store', async () => await read(), (result) => result.ok ? 'answered' : 'failed')
 * trace.steps // ['store: answered, 12 ms']
 */
export class ReadTrace {
  readonly #startedAt = monotonicNow()
  readonly #steps: string[] = []

  /** Time since the read began, in milliseconds. */
  get ageMs (): number {
    return Math.round(monotonicNow() - this.#startedAt)
  }

  /** Steps that are done, in the order in which they ended. */
  get steps (): readonly string[] {
    return this.#steps
  }

  /** Runs a step and records its outcome and duration. */
  async measure<Result> (name: string, step: () => Promise<Result>, describe: (result: Result) => string): Promise<Result> {
    const startedAt = monotonicNow()
    const result = await step()
    this.#steps.push(`${name}: ${describe(result)}, ${Math.round(monotonicNow() - startedAt)} ms`)
    return result
  }
}
