import { GRANT_LIFETIME_MS, LimitAccount, scaleLimits } from '@cyclamenthread/state'
import { monotonicNow, timeLeft } from '@cyclamenthread/transport'
import type { LimitDemand, Limits } from '@cyclamenthread/state'

/** Longest time a request waits for a limit before it is refused, in milliseconds. */
const MAX_QUEUE_WAIT_MS = 1_000

/** Maximum number of demands in one message to the account. */
const MAX_DEMANDS = 64

/**
 * Pause without grants when a host switches between the account and its fixed
 * share, in milliseconds: by then the grants of the other have left the
 * one-second window, so that the same second is not granted twice.
 */
const SOURCE_CHANGE_PAUSE_MS = 1_000 + GRANT_LIFETIME_MS

/** Delay before released concurrency is reported to the account, in milliseconds. */
const RELEASE_REPORT_DELAY_MS = 10

/** The answer of a limit account. */
export interface LimitAnswer {
  readonly granted: number
  readonly retryAfterMs: number
}

/** Options of the queue of one account. */
export interface LimitQueueOptions {
  readonly limits: Limits
  /** Returns the number of hosts that share the limits. */
  readonly hosts: () => number
  /** Sends demands to the account; undefined if it did not answer. */
  readonly askAccount: (held: number, demands: readonly LimitDemand[]) => Promise<LimitAnswer | undefined>
}

/** Outcome of waiting for a limit. */
export type LimitDecision =
  | { readonly granted: true }
  | { readonly granted: false, readonly retryAfterMs: number }

/** A request that waits for the limit. */
interface WaitingRequest {
  readonly demand: LimitDemand
  readonly waitsUntil: number
  readonly resolve: (decision: LimitDecision) => void
}

/**
 * Queues the requests of one host that wait for one limit account. At most one
 * message is in flight; demands that arrive in the meantime go into the next one.
 *
 * Invariant: an answer that arrives more than `GRANT_LIFE_MS` after its message
 * was sent grants nothing, as the account no longer counts it in that second.
 */
export class LimitQueue {
  limits: Limits
  readonly #options: LimitQueueOptions
  #waiting: WaitingRequest[] = []
  #held = 0
  #asking = false
  #runTimer: NodeJS.Timeout | undefined
  /** Local account with this host's fixed share, used while the account does not answer. */
  #fallbackAccount: LimitAccount | undefined
  /** Until when answers of the account are ignored, because the fixed share was in use just before. */
  #ignoreAnswersUntil = 0
  #hasUnreported = false

  constructor (options: LimitQueueOptions) {
    this.#options = options
    this.limits = options.limits
  }

  /** Waits until the limit permits the demand; refuses it if that takes too long. */
  async waitForPermit (demand: LimitDemand, deadline: number): Promise<LimitDecision> {
    return await new Promise((resolve) => {
      this.#waiting.push({ demand, waitsUntil: monotonicNow() + Math.min(MAX_QUEUE_WAIT_MS, timeLeft(deadline)), resolve })
      if (this.#runTimer === undefined) void this.#askUntilEmpty()
    })
  }

  /** Releases the permit of a granted request that has ended. */
  release (): void {
    this.#held -= 1
    if (this.limits.concurrency === undefined) return
    this.#hasUnreported = true
    if (this.#runTimer === undefined && !this.#asking) this.#scheduleRun(RELEASE_REPORT_DELAY_MS)
  }

  /** Reports the permits held by this host to the account, in case the account has moved to a new owner. */
  reportHeld (): void {
    if (this.limits.concurrency === undefined || (this.#held === 0 && this.#waiting.length === 0)) return
    this.#hasUnreported = true
    if (this.#runTimer === undefined && !this.#asking) void this.#askUntilEmpty()
  }

  async #askUntilEmpty (): Promise<void> {
    if (this.#asking) return
    this.#asking = true
    let pauseMs = 0
    while (pauseMs === 0 && (this.#waiting.length > 0 || this.#hasUnreported)) pauseMs = await this.#askOnce()
    this.#asking = false
    if (pauseMs > 0 && this.#waiting.length > 0) this.#scheduleRun(pauseMs)
  }

  /** Sends one message and applies its answer; returns the pause before the next message, in milliseconds. */
  async #askOnce (): Promise<number> {
    this.#hasUnreported = false
    const demands = this.#waiting.slice(0, MAX_DEMANDS).map((item) => item.demand)
    const askedAt = monotonicNow()
    const answer = await this.#options.askAccount(this.#held, demands)
    const decided = answer === undefined ? this.#fallbackAnswer(demands) : this.#checkAnswer(answer, askedAt)
    for (const item of this.#waiting.splice(0, decided.granted)) {
      this.#held += 1
      item.resolve({ granted: true })
    }
    this.#refuseOverdue(decided.retryAfterMs)
    return this.#waiting.length === 0 ? 0 : decided.retryAfterMs
  }

  #checkAnswer (answer: LimitAnswer, askedAt: number): LimitAnswer {
    const now = monotonicNow()
    if (this.#fallbackAccount !== undefined) this.#ignoreAnswersUntil = now + SOURCE_CHANGE_PAUSE_MS
    this.#fallbackAccount = undefined
    if (now < this.#ignoreAnswersUntil) return { granted: 0, retryAfterMs: this.#ignoreAnswersUntil - now }
    return now - askedAt > GRANT_LIFETIME_MS ? { granted: 0, retryAfterMs: Math.max(1, answer.retryAfterMs) } : answer
  }

  #fallbackAnswer (demands: readonly LimitDemand[]): LimitAnswer {
    const now = monotonicNow()
    const limits = scaleLimits(this.limits, 1 / Math.max(1, this.#options.hosts()))
    this.#fallbackAccount ??= new LimitAccount(limits, now + SOURCE_CHANGE_PAUSE_MS)
    this.#fallbackAccount.setLimits(limits)
    return this.#fallbackAccount.requestGrant('', this.#held, demands, now)
  }

  #refuseOverdue (retryAfterMs: number): void {
    const now = monotonicNow()
    const overdue = this.#waiting.filter((item) => item.waitsUntil <= now + retryAfterMs)
    if (overdue.length === 0) return
    this.#waiting = this.#waiting.filter((item) => item.waitsUntil > now + retryAfterMs)
    for (const item of overdue) item.resolve({ granted: false, retryAfterMs })
  }

  #scheduleRun (pauseMs: number): void {
    this.#runTimer = setTimeout(() => {
      this.#runTimer = undefined
      void this.#askUntilEmpty()
    }, pauseMs)
  }
}
