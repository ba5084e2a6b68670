import { SuspendAwareClock } from '@cyclamenthread/transport'
import type { Clock } from '@cyclamenthread/state'
import type { VirtualClock } from '@cyclamenthread/standins'

/**
 * Clock of one process: it may run fast or slow, and sleeps end late while the
 * process is paused. While its machine is suspended, its steady clock stands
 * still and its wall clock goes on.
 */
export class ProcessClock implements Clock {
  readonly #clock: VirtualClock
  readonly #rate: number
  /** Virtual time until which the process is paused, in milliseconds. */
  pausedUntil = 0
  /** Steps of the wall clock so far, in milliseconds. */
  wallOffset = 0
  #suspendedFrom = 0
  #suspendedUntil = 0
  /** Duration of earlier suspends, in milliseconds. */
  #suspendedMs = 0
  #ended = false
  readonly #elapsed: SuspendAwareClock

  constructor (clock: VirtualClock, rate = 1) {
    this.#clock = clock
    this.#rate = rate
    this.#elapsed = new SuspendAwareClock({ steady: () => this.now(), wall: () => this.wall() })
  }

  /** Virtual time at which the process went on, or will go on, after its last pause or suspend, in milliseconds. */
  get runningFrom (): number {
    return Math.max(this.pausedUntil, this.#suspendedUntil)
  }

  now (): number {
    return (this.#clock.now() - this.#suspendedTime()) * this.#rate
  }

  elapsed (): number {
    return this.#elapsed.now()
  }

  wall (): number {
    return this.#clock.wall() + this.wallOffset
  }

  /** Suspends the machine for a number of milliseconds, unless it is suspended now. */
  suspend (milliseconds: number): void {
    const now = this.#clock.now()
    if (now < this.#suspendedUntil) return
    this.#suspendedMs += this.#suspendedUntil - this.#suspendedFrom
    this.#suspendedFrom = now
    this.#suspendedUntil = now + milliseconds
  }

  /** Ends the process, as SIGKILL does: nothing in it runs any more. */
  end (): void {
    this.#ended = true
  }

  async sleep (milliseconds: number): Promise<void> {
    const suspended = this.#suspendedTime()
    await this.#clock.sleep(milliseconds / this.#rate)
    // A timer doesn't count the time for which the machine was suspended.
    for (let counted = suspended; this.#suspendedTime() > counted;) {
      const missedMs = this.#suspendedTime() - counted
      counted += missedMs
      await this.#clock.sleep(missedMs)
    }
    while (this.#clock.now() < this.runningFrom) await this.#clock.sleep(this.runningFrom - this.#clock.now())
    if (this.#ended) await new Promise(() => {})
  }

  #suspendedTime (): number {
    return this.#suspendedMs + Math.min(this.#clock.now(), this.#suspendedUntil) - this.#suspendedFrom
  }
}
