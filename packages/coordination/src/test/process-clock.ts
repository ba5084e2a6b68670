import type { Clock } from '@cyclamenthread/state'
import type { VirtualClock } from '@cyclamenthread/standins'

/** Clock of one process: it may run fast or slow, and sleeps end late while the process is paused. */
export class ProcessClock implements Clock {
  readonly #clock: VirtualClock
  readonly #rate: number
  /** Virtual time until which the process is paused, in milliseconds. */
  pausedUntil = 0

  constructor (clock: VirtualClock, rate = 1) {
    this.#clock = clock
    this.#rate = rate
  }

  now (): number {
    return this.#clock.now() * this.#rate
  }

  wall (): number {
    return this.#clock.wall()
  }

  async sleep (milliseconds: number): Promise<void> {
    await this.#clock.sleep(milliseconds / this.#rate)
    while (this.#clock.now() < this.pausedUntil) await this.#clock.sleep(this.pausedUntil - this.#clock.now())
  }
}
