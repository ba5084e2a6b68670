import { PendingEnds } from '@cyclamenthread/state'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { LogEvent } from './event-log.js'
import type { PendingEnd, RolloutName } from '@cyclamenthread/state'
import type { EventLog } from './event-log.js'

/** Maximum number of ends that are stored at the same time once the store has answered for one. */
const MAX_CONCURRENT_ENDS = 16

/** Options of an {@link EndKeeper}. */
export interface EndKeeperOptions {
  /** Tries to store an end; returns whether nothing is left to do for it. */
  readonly storeEnd: (end: RolloutName) => Promise<boolean>
  readonly log: EventLog
}

/**
 * Keeps the ends of rollouts that couldn't be stored when they were asked for, and
 * stores them once the store answers. While it doesn't, one end is tried at a time.
 *
 * @example
 * const keeper = new EndKeeper({ storeEnd, log })
 * keeper.keep({ rolloutId: 'r1', workspace: 'office', keepUntil, tryAt })
 */
export class EndKeeper {
  readonly #options: EndKeeperOptions
  readonly #ends = new PendingEnds()
  readonly #backoff = new Backoff(Math.random)
  #pausedUntil = -Infinity
  #storing = false
  #stopped = false
  #timer: NodeJS.Timeout | undefined

  constructor (options: EndKeeperOptions) {
    this.#options = options
  }

  /** Ends that aren't known to be stored. */
  get all (): readonly PendingEnd[] {
    return this.#ends.all
  }

  /** Whether the end of a rollout is kept for the given workspace. */
  has (name: RolloutName): boolean {
    return this.#ends.has(name)
  }

  /** Keeps an end and tries to store it from its time on; returns whether it is kept. */
  keep (end: PendingEnd): boolean {
    const isKept = !this.#stopped && this.#ends.add(end, monotonicNow())
    this.#schedule()
    return isKept
  }

  /** Tries to store a kept end as soon as possible. */
  retry (name: RolloutName): void {
    this.#ends.postpone(name, monotonicNow())
    this.#schedule()
  }

  /** Forgets an end that is stored or whose rollout doesn't exist. */
  forget (name: RolloutName): void {
    this.#ends.remove(name)
  }

  /** Tries nothing more. */
  stop (): void {
    this.#stopped = true
    clearTimeout(this.#timer)
  }

  #schedule (): void {
    clearTimeout(this.#timer)
    const tryAt = this.#ends.nextTryAt
    if (tryAt === undefined || this.#storing || this.#stopped) return
    this.#timer = setTimeout(() => {
      void this.#storeDueEnds()
    }, Math.max(0, Math.max(tryAt, this.#pausedUntil) - monotonicNow()))
  }

  async #storeDueEnds (): Promise<void> {
    this.#storing = true
    const due = [...this.#ends.selectDue(monotonicNow())]
    let width = 1
    while (due.length > 0 && !this.#stopped) {
      const results = await Promise.all(due.splice(0, width).map(async (end) => await this.#storeOne(end)))
      if (results.includes(false)) {
        this.#pausedUntil = deadlineAfter(this.#backoff.nextDelayMs())
        break
      }
      this.#backoff.reset()
      width = MAX_CONCURRENT_ENDS
    }
    this.#storing = false
    this.#schedule()
  }

  async #storeOne (end: PendingEnd): Promise<boolean> {
    let isSettled = false
    try {
      isSettled = await this.#options.storeEnd(end)
    } catch (error) {
      this.#options.log.record(LogEvent.RolloutEnded, { requestId: end.rolloutId, workspace: end.workspace, outcome: 'failed', detail: String(error) })
    }
    if (isSettled) this.#ends.remove(end)
    else this.#ends.postpone(end, monotonicNow())
    return isSettled
  }
}
