import { monotonicNow } from './deadline.js'

/** Clocks that a {@link SuspendAwareClock} compares, both in milliseconds. */
export interface ClockSources {
  /** Monotonic time; stands still while the machine is suspended. */
  steady (): number
  /** Wall-clock time; may jump. */
  wall (): number
}

/** Smallest lead of the wall clock that counts, in milliseconds; rounding and slow adjustment stay below it. */
const MIN_JUMP_MS = 10

/** Longest time between the readings of both clocks that are compared, in milliseconds. */
const MAX_READING_MS = 1

/** How often both clocks are read if the process is interrupted in between. */
const READING_ATTEMPTS = 3

/**
 * Monotonic clock that also counts the time for which the machine was suspended,
 * as far as the wall clock shows it: each lead that the wall clock gains on the
 * steady clock between two readings is added.
 *
 * A right ends by this clock, a wait by the steady clock. A wall clock that is set
 * forward ends rights early, which costs a renewal. One that is set back hides a
 * suspend that happens before the next reading, so the clock has to be read often.
 *
 * @example
 * const clock = new SuspendAwareClock({ steady: () => performance.now(), wall: () => Date.now() })
 * const deadline = clock.now() + 3_000
 */
export class SuspendAwareClock {
  readonly #sources: ClockSources
  /** Lead of the wall clock at the last reading, in milliseconds. */
  #leadMs: number
  #suspendedMs = 0

  constructor (sources: ClockSources) {
    this.#sources = sources
    const { steady, wall } = this.#read()
    this.#leadMs = wall - steady
  }

  /** Time in milliseconds since an arbitrary moment. */
  now (): number {
    const { steady, wall } = this.#read()
    const gainMs = wall - steady - this.#leadMs
    if (gainMs > MIN_JUMP_MS) this.#suspendedMs += gainMs
    this.#leadMs = wall - steady
    return steady + this.#suspendedMs
  }

  /** Time for which the machine was suspended, as far as it counts, in milliseconds. */
  get suspendedMs (): number {
    this.now()
    return this.#suspendedMs
  }

  #read (): { readonly steady: number, readonly wall: number } {
    for (let attempt = 1; ; attempt++) {
      const steady = this.#sources.steady()
      const wall = this.#sources.wall()
      if (attempt === READING_ATTEMPTS || this.#sources.steady() - steady <= MAX_READING_MS) return { steady, wall }
    }
  }
}

const processClock = new SuspendAwareClock({ steady: monotonicNow, wall: () => Date.now() })

/**
 * Current time of a monotonic clock that counts suspends of the machine, in
 * milliseconds. Not comparable with {@link monotonicNow}: only differences are.
 *
 * @example
 * const end = suspendAwareNow() + 3_000
 * const mayAct = () => suspendAwareNow() < end
 */
export function suspendAwareNow (): number {
  return processClock.now()
}

/**
 * Converts a monotonic time, which must not lie before a suspend of the machine, to
 * the clock of {@link suspendAwareNow}.
 *
 * @param time monotonic milliseconds
 * @example
 * const end = toSuspendAware(deadline)
 * const mayAct = () => suspendAwareNow() < end
 */
export function toSuspendAware (time: number): number {
  return time + processClock.suspendedMs
}
