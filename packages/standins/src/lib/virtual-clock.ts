interface Sleeper {
  readonly at: number
  readonly order: number
  readonly wake: () => void
}

/** Wall-clock time at which virtual time starts, in milliseconds since 1970. */
const WALL_CLOCK_START_MS = 1_000_000

/**
 * Time that moves only when everything waits for it: a test runs minutes of it
 * in milliseconds, and the same way on any machine.
 *
 * @example
 * const clock = new VirtualClock()
 * const slept = clock.sleep(60_000)
 * await clock.run(60_000)
 * await slept
 */
export class VirtualClock {
  #now = 0
  #order = 0
  #sleepers: Sleeper[] = []

  now (): number {
    return this.#now
  }

  wall (): number {
    return WALL_CLOCK_START_MS + this.#now
  }

  async sleep (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#order += 1
      this.#sleepers.push({ at: this.#now + Math.max(0, milliseconds), order: this.#order, wake: resolve })
    })
  }

  /** Moves on to a time, waking sleepers in their order. */
  async run (until: number): Promise<void> {
    await flushPendingTasks()
    for (let next = this.#takeNextSleeper(until); next !== undefined; next = this.#takeNextSleeper(until)) {
      this.#now = Math.max(this.#now, next.at)
      next.wake()
      await flushPendingTasks()
    }
    this.#now = Math.max(this.#now, until)
  }

  #takeNextSleeper (until: number): Sleeper | undefined {
    let first: Sleeper | undefined
    for (const sleeper of this.#sleepers) {
      const earlier = first === undefined || sleeper.at < first.at || (sleeper.at === first.at && sleeper.order < first.order)
      if (sleeper.at <= until && earlier) first = sleeper
    }
    if (first !== undefined) this.#sleepers.splice(this.#sleepers.indexOf(first), 1)
    return first
  }
}

/** Waits until everything that was woken waits again. */
async function flushPendingTasks (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}
