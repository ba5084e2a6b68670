interface Sleeper {
  readonly at: number
  readonly order: number
  readonly wake: () => void
}

/** Wall-clock time at the start of virtual time, in milliseconds since 1970. */
const WALL_CLOCK_START_MS = 1_000_000

/**
 * Virtual clock that advances only when all tasks are waiting for it. Tests can
 * simulate minutes within milliseconds, independently of the speed of the machine.
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

  elapsed (): number {
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

  /** Advances to a point in time, waking sleepers in the order of their wake-up times, and of their calls if these are equal. */
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

/** Lets the tasks that were woken run until they wait again. */
async function flushPendingTasks (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}
