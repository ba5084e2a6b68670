import { LogEvent } from './event-log.js'
import type { LeaderLease } from '@cyclamenthread/protocol'
import type { Duty, DutyContext } from './duty-context.js'

/**
 * Completes the retirement of storage hosts. They hold no durable data, so a
 * retirement is complete as soon as it is observed.
 */
export class RetirementDuty implements Duty {
  readonly #context: DutyContext

  constructor (context: DutyContext) {
    this.#context = context
  }

  reset (): void {}

  async runOnce (lease: () => LeaderLease | undefined): Promise<void> {
    for (const name of this.#context.retirements.pending()) {
      if (lease() === undefined) return
      const done = await this.#context.retirements.complete(name)
      this.#context.log.record(LogEvent.RetirementCompleted, { host: name, outcome: done ? 'done' : 'failed' })
    }
  }
}
