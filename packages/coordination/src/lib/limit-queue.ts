import { GRANT_LIFETIME_MS, LimitAccount, scaleLimits } from '@cyclamenthread/state'
import { monotonicNow, timeLeft } from '@cyclamenthread/transport'
import type { LimitDemand, Limits } from '@cyclamenthread/state'

/** Longest a request waits for its limits before it is refused, in milliseconds. */
const MAX_QUEUE_WAIT_MS = 1_000

/** Demands of one message to the account. */
const MAX_DEMANDS = 64

/** Pause before a host uses its fixed share, so that grants of the account have passed, in milliseconds. */
const SOURCE_CHANGE_PAUSE_MS = 1_000 + GRANT_LIFETIME_MS

/** Pause after which returned concurrency is told to the account, in milliseconds. */
const RELEASE_REPORT_DELAY_MS = 10

/** What an account answers. */
export interface LimitAnswer {
  readonly granted: number
  readonly retryAfterMs: number
}

/** What the queue of one account works with. */
export interface LimitQueueOptions {
  readonly limits: Limits
  /** Hosts that share the limits. */
  readonly hosts: () => number
  /** Asks the account; undefined when it did not answer. */
  readonly askAccount: (held: number, demands: readonly LimitDemand[]) => Promise<LimitAnswer | undefined>
}

/** What came of a wait. */
export type LimitDecision =
  | { readonly granted: true }
  | { readonly granted: false, readonly retryAfterMs: number }

/** A request that waits for its limits. */
interface WaitingRequest {
  readonly demand: LimitDemand
  readonly waitsUntil: number
  readonly resolve: (decision: LimitDecision) => void
}

/**
 * The requests of one host that wait for one limit account. One message is on
 * its way at a time; what arrives meanwhile goes with the next.
 *
 * Invariant: an answer that comes later than `GRANT_LIFE_MS` after its question
 * grants nothing, since the account no longer counts it in that second.
 */
export class LimitQueue {
  limits: Limits
  readonly #options: LimitQueueOptions
  #waiting: WaitingRequest[] = []
  #held = 0
  #asking = false
  #runTimer: NodeJS.Timeout | undefined
  /** Stands in for the account while it does not answer. */
  #fallbackAccount: LimitAccount | undefined
  /** Until when answers of the account are not used, because the share was used before. */
  #ignoreAnswersUntil = 0
  #hasUnreported = false

  constructor (options: LimitQueueOptions) {
    this.#options = options
    this.limits = options.limits
  }

  /** Waits until the limits permit the demand, or refuses it. */
  async waitForPermit (demand: LimitDemand, deadline: number): Promise<LimitDecision> {
    return await new Promise((resolve) => {
      this.#waiting.push({ demand, waitsUntil: monotonicNow() + Math.min(MAX_QUEUE_WAIT_MS, timeLeft(deadline)), resolve })
      if (this.#runTimer === undefined) void this.#askUntilEmpty()
    })
  }

  /** A granted request has ended. */
  release (): void {
    this.#held -= 1
    if (this.limits.concurrency === undefined) return
    this.#hasUnreported = true
    if (this.#runTimer === undefined && !this.#asking) this.#scheduleRun(RELEASE_REPORT_DELAY_MS)
  }

  /** Tells the account what this host holds, so that a new owner of it learns. */
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

  /** One question and its answer; the pause before the next, in milliseconds. */
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
