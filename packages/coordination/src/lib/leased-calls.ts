import { monotonicNow, timeLeft } from '@cyclamenthread/transport'
import type { LeaderLease } from '@cyclamenthread/protocol'

/** How often the lease is checked while a call under it is under way, in milliseconds. */
const WATCH_PERIOD_MS = 25

/** The part of a lease that all calls under it share. */
export type LeaseTerm = Pick<LeaderLease, 'holder' | 'fence' | 'deadline'>

/** Thrown when the lease ended while a call under it was under way. */
class LeaseLostError extends Error {
  override readonly name = 'LeaseLostError'
}

/**
 * Follows the calls that are made under a lease. A call that is under way when the
 * lease ends is aborted, also where no deadline on the steady clock shows the end:
 * the lease was lost, given up, or ended while the machine was suspended.
 *
 * Invariant: no call begins once the lease has ended.
 */
export class LeasedCalls {
  readonly #isHeld: (fence: number) => boolean
  readonly #onReset: (calls: number) => void
  readonly #open = new Set<LeasedCall>()
  #watch: NodeJS.Timeout | undefined
  #onIdle: (() => void) | undefined
  #isClosed = false
  #givenUpAt = -Infinity
  /** Numbers of calls since the start of this process. */
  readonly counts = { begun: 0, answered: 0, givenUp: 0 }

  /**
   * @param isHeld returns whether the lease with a fencing token is held at this moment
   * @param onReset called with the number of calls that were aborted because the lease had ended
   */
  constructor (isHeld: (fence: number) => boolean, onReset: (calls: number) => void) {
    this.#isHeld = isHeld
    this.#onReset = onReset
  }

  /** Number of calls that have begun to be written and whose outcome isn't known. */
  get underWay (): number {
    return this.#open.size
  }

  /** Whether no call may begin, since the lease is given up. */
  get isClosed (): boolean {
    return this.#isClosed
  }

  /** Monotonic time in milliseconds at which a call last ended without a whole answer; what was written of it may still arrive. `-Infinity` if none has. */
  get givenUpAt (): number {
    return this.#givenUpAt
  }

  /** Opens one call; it is under way from when it begins until it ends. */
  openCall (term: LeaseTerm): LeaderLease {
    return new LeasedCall(term, (call) => this.#permitBegin(call), (call) => this.#recordEnd(call))
  }

  /** Lets calls begin again after {@link close}, under a lease that was taken later. */
  reopen (): void {
    this.#isClosed = false
  }

  /**
   * Lets no more call begin and waits until none is under way.
   *
   * @param deadline monotonic milliseconds; what is still under way is aborted then
   */
  async close (deadline: number): Promise<void> {
    this.#isClosed = true
    if (this.#open.size === 0) return
    const timer = setTimeout(() => this.#reset([...this.#open]), timeLeft(deadline))
    await new Promise<void>((resolve) => {
      this.#onIdle = resolve
    })
    clearTimeout(timer)
  }

  #permitBegin (call: LeasedCall): boolean {
    if (this.#isClosed || !this.#isHeld(call.fence)) return false
    this.counts.begun += 1
    this.#open.add(call)
    this.#watch ??= setInterval(() => this.#resetEnded(), WATCH_PERIOD_MS)
    return true
  }

  #recordEnd (call: LeasedCall): void {
    this.#open.delete(call)
    if (call.course.givenUp) {
      this.counts.givenUp += 1
      this.#givenUpAt = monotonicNow()
    } else this.counts.answered += 1
    if (this.#open.size > 0) return
    clearInterval(this.#watch)
    this.#watch = undefined
    this.#onIdle?.()
    this.#onIdle = undefined
  }

  #resetEnded (): void {
    this.#reset([...this.#open].filter(({ fence }) => !this.#isHeld(fence)))
  }

  #reset (calls: readonly LeasedCall[]): void {
    const running = calls.filter(({ signal }) => !signal.aborted)
    if (running.length > 0) this.#onReset(running.length)
    for (const call of running) call.abort()
  }
}

/** One call under a lease. */
class LeasedCall implements LeaderLease {
  readonly holder: string
  readonly fence: number
  readonly deadline: number
  readonly #permitBegin: (call: LeasedCall) => boolean
  readonly #onEnd: (call: LeasedCall) => void
  course: LeaderLease['course'] = { leftMs: undefined, endLeftMs: undefined, givenUp: false }
  readonly #abort = new AbortController()
  #hasEnded = false

  constructor ({ holder, fence, deadline }: LeaseTerm, permitBegin: (call: LeasedCall) => boolean, onEnd: (call: LeasedCall) => void) {
    this.holder = holder
    this.fence = fence
    this.deadline = deadline
    this.#permitBegin = permitBegin
    this.#onEnd = onEnd
  }

  begin (): boolean {
    if (this.#hasEnded) return false
    if (!this.#permitBegin(this)) return false
    this.course = { ...this.course, leftMs: this.#leftMs() }
    return true
  }

  get signal (): AbortSignal {
    return this.#abort.signal
  }

  abort (): void {
    this.#abort.abort(new LeaseLostError('the lease ended while a call under it was under way'))
  }

  end (isAnswered: boolean): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    if (this.course.leftMs === undefined) return
    this.course = { ...this.course, endLeftMs: this.#leftMs(), givenUp: !isAnswered }
    this.#onEnd(this)
  }

  #leftMs (): number {
    return Math.round(this.deadline - monotonicNow())
  }
}
