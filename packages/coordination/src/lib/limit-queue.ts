import { GRANT_LIFETIME_MS, LimitAccount, scaleLimits } from '@cyclamenthread/state'
import { monotonicNow, timeLeft } from '@cyclamenthread/transport'
import type { LimitDemand, Limits } from '@cyclamenthread/state'

/** Longest a request waits for its limits before it is refused, in milliseconds. */
const MAX_WAIT_MS = 1_000

/** Demands of one message to the account. */
const MAX_DEMANDS = 64

/** Pause before a host uses its fixed share, so that grants of the account have passed, in milliseconds. */
const SHARE_PAUSE_MS = 1_000 + GRANT_LIFETIME_MS

/** Pause after which returned concurrency is told to the account, in milliseconds. */
const RETURN_PAUSE_MS = 10

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
  readonly ask: (held: number, demands: readonly LimitDemand[]) => Promise<LimitAnswer | undefined>
}

/** What came of a wait. */
export type LimitDecision =
  | { readonly granted: true }
  | { readonly granted: false, readonly retryAfterMs: number }

/** A request that waits for its limits. */
interface Waiting {
  readonly demand: LimitDemand
  readonly until: number
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
  #waiting: Waiting[] = []
  #held = 0
  #asking = false
  #timer: NodeJS.Timeout | undefined
  /** Stands in for the account while it does not answer. */
  #share: LimitAccount | undefined
  /** Until when answers of the account are not used, because the share was used before. */
  #quietUntil = 0
  #changed = false

  constructor (options: LimitQueueOptions) {
    this.#options = options
    this.limits = options.limits
  }

  /** Waits until the limits permit the demand, or refuses it. */
  async ask (demand: LimitDemand, deadline: number): Promise<LimitDecision> {
    return await new Promise((resolve) => {
      this.#waiting.push({ demand, until: monotonicNow() + Math.min(MAX_WAIT_MS, timeLeft(deadline)), resolve })
      if (this.#timer === undefined) void this.#run()
    })
  }

  /** A granted request has ended. */
  release (): void {
    this.#held -= 1
    if (this.limits.concurrency === undefined) return
    this.#changed = true
    if (this.#timer === undefined && !this.#asking) this.#later(RETURN_PAUSE_MS)
  }

  /** Tells the account what this host holds, so that a new owner of it learns. */
  refresh (): void {
    if (this.limits.concurrency === undefined || (this.#held === 0 && this.#waiting.length === 0)) return
    this.#changed = true
    if (this.#timer === undefined && !this.#asking) void this.#run()
  }

  async #run (): Promise<void> {
    if (this.#asking) return
    this.#asking = true
    let pauseMs = 0
    while (pauseMs === 0 && (this.#waiting.length > 0 || this.#changed)) pauseMs = await this.#round()
    this.#asking = false
    if (pauseMs > 0 && this.#waiting.length > 0) this.#later(pauseMs)
  }

  /** One question and its answer; the pause before the next, in milliseconds. */
  async #round (): Promise<number> {
    this.#changed = false
    const demands = this.#waiting.slice(0, MAX_DEMANDS).map((item) => item.demand)
    const askedAt = monotonicNow()
    const answer = await this.#options.ask(this.#held, demands)
    const decided = answer === undefined ? this.#shareAnswer(demands) : this.#accountAnswer(answer, askedAt)
    for (const item of this.#waiting.splice(0, decided.granted)) {
      this.#held += 1
      item.resolve({ granted: true })
    }
    this.#refuseOverdue(decided.retryAfterMs)
    return this.#waiting.length === 0 ? 0 : decided.retryAfterMs
  }

  #accountAnswer (answer: LimitAnswer, askedAt: number): LimitAnswer {
    const now = monotonicNow()
    if (this.#share !== undefined) this.#quietUntil = now + SHARE_PAUSE_MS
    this.#share = undefined
    if (now < this.#quietUntil) return { granted: 0, retryAfterMs: this.#quietUntil - now }
    return now - askedAt > GRANT_LIFETIME_MS ? { granted: 0, retryAfterMs: Math.max(1, answer.retryAfterMs) } : answer
  }

  #shareAnswer (demands: readonly LimitDemand[]): LimitAnswer {
    const now = monotonicNow()
    const limits = scaleLimits(this.limits, 1 / Math.max(1, this.#options.hosts()))
    this.#share ??= new LimitAccount(limits, now + SHARE_PAUSE_MS)
    this.#share.setLimits(limits)
    return this.#share.requestGrant('', this.#held, demands, now)
  }

  #refuseOverdue (retryAfterMs: number): void {
    const now = monotonicNow()
    const overdue = this.#waiting.filter((item) => item.until <= now + retryAfterMs)
    if (overdue.length === 0) return
    this.#waiting = this.#waiting.filter((item) => item.until > now + retryAfterMs)
    for (const item of overdue) item.resolve({ granted: false, retryAfterMs })
  }

  #later (pauseMs: number): void {
    this.#timer = setTimeout(() => {
      this.#timer = undefined
      void this.#run()
    }, pauseMs)
  }
}
