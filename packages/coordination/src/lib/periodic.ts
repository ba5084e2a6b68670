/**
 * Runs an action periodically, with a fixed pause between the end of one run and
 * the start of the next, until it is stopped.
 *
 * Invariant: two runs never overlap.
 */
export class Periodic {
  readonly #action: () => Promise<void>
  readonly #periodMs: number
  #timer: NodeJS.Timeout | undefined
  #running: Promise<void> | undefined
  #stopped = false

  constructor (periodMs: number, action: () => Promise<void>) {
    this.#periodMs = periodMs
    this.#action = action
  }

  /** Runs the action once, then schedules further runs in the background. */
  async start (): Promise<void> {
    this.#stopped = false
    await this.#run()
  }

  /** Runs the action now instead of after the pause, unless it is running or stopped. */
  wake (): void {
    if (this.#timer === undefined || this.#stopped) return
    clearTimeout(this.#timer)
    void this.#run()
  }

  /** Schedules no further runs and waits for a run in progress. */
  async stop (): Promise<void> {
    this.#stopped = true
    clearTimeout(this.#timer)
    await this.#running
  }

  async #run (): Promise<void> {
    this.#timer = undefined
    this.#running = this.#action()
    await this.#running
    if (this.#stopped) return
    this.#timer = setTimeout(() => {
      void this.#run()
    }, this.#periodMs)
  }
}
