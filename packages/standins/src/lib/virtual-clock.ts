interface Sleeper {
  readonly at: number
  readonly order: number
  readonly wake: () => void
}

/** Wall-clock time at which virtual time starts, in milliseconds since 1970. */
const WALL_START = 1_000_000

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
    return WALL_START + this.#now
  }

  async sleep (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#order += 1
      this.#sleepers.push({ at: this.#now + Math.max(0, milliseconds), order: this.#order, wake: resolve })
    })
  }

  /** Moves on to a time, waking sleepers in their order. */
  async run (until: number): Promise<void> {
    await settled()
    for (let next = this.#next(until); next !== undefined; next = this.#next(until)) {
      this.#now = Math.max(this.#now, next.at)
      next.wake()
      await settled()
    }
    this.#now = Math.max(this.#now, until)
  }

  #next (until: number): Sleeper | undefined {
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
async function settled (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}
