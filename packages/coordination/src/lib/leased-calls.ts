import { monotonicNow } from '@cyclamenthread/transport'
import type { LeaderLease } from '@cyclamenthread/protocol'

/** The part of a lease that all calls under it share. */
export type LeaseTerm = Pick<LeaderLease, 'holder' | 'fence' | 'deadline'>

/**
 * Follows the calls that are made under a lease, so that its holder knows what is
 * under way when the lease ends.
 */
export class LeasedCalls {
  readonly #open = new Set<LeasedCall>()
  /** Numbers of calls since the start of this process. */
  readonly counts = { begun: 0, answered: 0, givenUp: 0 }

  /** Number of calls that have begun to be written and whose outcome isn't known. */
  get underWay (): number {
    return this.#open.size
  }

  /** Opens one call; it is under way from when it begins until it ends. */
  openCall (term: LeaseTerm): LeaderLease {
    return new LeasedCall(term, (call) => this.#recordBegin(call), (call) => this.#recordEnd(call))
  }

  #recordBegin (call: LeasedCall): void {
    this.counts.begun += 1
    this.#open.add(call)
  }

  #recordEnd (call: LeasedCall): void {
    this.#open.delete(call)
    if (call.course.givenUp) this.counts.givenUp += 1
    else this.counts.answered += 1
  }
}

/** One call under a lease. */
class LeasedCall implements LeaderLease {
  readonly holder: string
  readonly fence: number
  readonly deadline: number
  readonly #onBegin: (call: LeasedCall) => void
  readonly #onEnd: (call: LeasedCall) => void
  course: LeaderLease['course'] = { leftMs: undefined, endLeftMs: undefined, givenUp: false }
  #hasEnded = false

  constructor ({ holder, fence, deadline }: LeaseTerm, onBegin: (call: LeasedCall) => void, onEnd: (call: LeasedCall) => void) {
    this.holder = holder
    this.fence = fence
    this.deadline = deadline
    this.#onBegin = onBegin
    this.#onEnd = onEnd
  }

  begin (): boolean {
    if (this.#hasEnded) return false
    this.course = { ...this.course, leftMs: this.#leftMs() }
    this.#onBegin(this)
    return true
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
