import { drawService, SampleEventKind, SamplePhase } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { CallOrigin } from './plain-call.js'
import type { RewardRequest, RolloutOrder, RolloutSample, Route, SampleBoard, WorkPermit } from '@cyclamenthread/state'
import type { CallOutcome } from './plain-call.js'
import type { RolloutContext } from './rollout-context.js'

/**
 * Time after which a reward request is given up and sent again, in milliseconds:
 * several times the longest usual answer, and well below the time left to a step
 * whose texts are whole.
 */
const ATTEMPT_TIMEOUT_MS = 1_500

/** Abort reason of a request that was given up. */
const ATTEMPT_TIMED_OUT = new Error('the reward request got no answer in time')

/** Delay before a reward is requested again, in milliseconds; doubles with each failure in a row. */
const INITIAL_RETRY_DELAY_MS = 100

/** Maximum delay before a reward is requested again, in milliseconds. */
const MAX_RETRY_DELAY_MS = 1_000

/** Lowest and highest status of a successful answer. */
const SUCCESS_STATUS = { first: 200, last: 299 } as const

/** Options of a {@link RewardCaller}. */
export interface RewardCallerOptions {
  /** Monotonic time at which samples may be given up, in milliseconds: the deadline of every repetition of a request. */
  readonly expiresAt: number
  /** Called after a reward request has ended. */
  readonly onEnd: () => void
}

/**
 * Requests the rewards of whole texts, each through the route of its host and path
 * in the declaration in force when it is sent.
 *
 * Invariants: a reward is requested only after its text is whole, and at most once
 * at a time; a score is accepted only from a successful answer that was read
 * completely.
 */
export class RewardCaller {
  readonly #context: RolloutContext
  readonly #order: RolloutOrder
  readonly #board: SampleBoard
  readonly #options: RewardCallerOptions
  readonly #running = new Map<string, AbortController>()
  /** Requests in a row without a score, by sample id. */
  readonly #attempts = new Map<string, number>()
  #stopped = false

  constructor (context: RolloutContext, order: RolloutOrder, board: SampleBoard, options: RewardCallerOptions) {
    this.#context = context
    this.#order = order
    this.#board = board
    this.#options = options
  }

  /** Ends all requests; their samples keep their texts. */
  abortAll (): void {
    for (const abort of this.#running.values()) abort.abort()
  }

  /** Ends all requests for good; their ends no longer change the board. */
  stop (): void {
    this.#stopped = true
    this.abortAll()
  }

  /** Ends the request for a sample whose result is known. */
  release (sampleId: string): void {
    this.#running.get(sampleId)?.abort()
  }

  /** Requests rewards as far as their services have slots beyond those kept free for callers. */
  startRequests (permit: WorkPermit): void {
    if (this.#board.generated.size === 0) return
    const full = new Set<string>()
    for (const sample of this.#board.awaitingReward(monotonicNow())) {
      const { reward } = sample
      if (reward === undefined || this.#running.has(sample.id)) continue
      const route = this.#context.deployment.routeTable?.findRoute(reward.host, reward.path)
      if (route === undefined) {
        this.#postpone(sample, reward, 'no route matches')
        continue
      }
      const service = drawService(route, Math.random())
      if (full.has(service)) continue
      if (this.#context.calls.hasRoomForReward(service)) void this.#request(sample, reward, route, service, permit)
      else full.add(service)
    }
  }

  async #request (sample: RolloutSample, reward: RewardRequest, route: Route, service: string, permit: WorkPermit): Promise<void> {
    const abort = new AbortController()
    // A signal composed of a timeout may be collected before it fires, so the timer is held here.
    const timer = setTimeout(() => abort.abort(ATTEMPT_TIMED_OUT), ATTEMPT_TIMEOUT_MS)
    this.#running.set(sample.id, abort)
    this.#board.apply(sample.id, { kind: SampleEventKind.RewardRequested })
    const sentAt = monotonicNow()
    this.#context.log.record(LogEvent.RewardRequested, {
      requestId: reward.id,
      sample: sample.id,
      rollout: this.#order.id,
      route: route.name,
      service,
      attempt: this.#attempts.get(sample.id) ?? 0,
      outcome: permit.permission,
      logAgeMs: permit.logAgeMs
    })
    const outcome = await this.#context.calls.run({
      requestId: reward.id,
      route: { ...route, shares: [{ service, weight: 1 }] },
      origin: CallOrigin.Reward,
      workspace: undefined,
      method: 'POST',
      path: reward.path,
      headers: [['Host', reward.host]],
      body: Buffer.from(reward.body, 'base64'),
      deadline: this.#options.expiresAt,
      startBefore: permit.startBefore,
      signal: abort.signal
    })
    clearTimeout(timer)
    this.#running.delete(sample.id)
    this.#context.log.record(LogEvent.RewardAnswered, {
      requestId: reward.id,
      sample: sample.id,
      rollout: this.#order.id,
      outcome: outcome.ok ? outcome.status : outcome.refusal.reason,
      detail: outcome.ok ? undefined : outcome.refusal.detail,
      failures: outcome.failures,
      tookMs: Math.round(monotonicNow() - sentAt)
    })
    if (this.#stopped) return
    this.#applyOutcome(sample, route, outcome)
    this.#options.onEnd()
  }

  #applyOutcome (sample: RolloutSample, route: Route, outcome: CallOutcome): void {
    const score = outcome.ok && outcome.status >= SUCCESS_STATUS.first && outcome.status <= SUCCESS_STATUS.last ? outcome.signature : undefined
    if (score !== undefined) {
      this.#attempts.delete(sample.id)
      this.#board.apply(sample.id, { kind: SampleEventKind.RewardReceived, score })
      return
    }
    this.#board.apply(sample.id, {
      kind: SampleEventKind.RewardNotReceived,
      failures: outcome.failures,
      maxFailures: Math.max(this.#order.maxAttempts, route.maxAttempts),
      retryAt: this.#nextRetryAt(sample.id)
    })
  }

  /** Delays the next request for a sample without having sent one. */
  #postpone (sample: RolloutSample, reward: RewardRequest, detail: string): void {
    if (this.#board.lifeOf(sample.id)?.phase !== SamplePhase.Generated) return
    this.#context.log.record(LogEvent.RewardAnswered, { requestId: reward.id, sample: sample.id, rollout: this.#order.id, outcome: 'not-sent', detail, failures: 0, tookMs: 0 })
    this.#board.apply(sample.id, { kind: SampleEventKind.RewardRequested })
    this.#board.apply(sample.id, { kind: SampleEventKind.RewardNotReceived, failures: 0, maxFailures: Infinity, retryAt: this.#nextRetryAt(sample.id) })
  }

  #nextRetryAt (sampleId: string): number {
    const attempts = this.#attempts.get(sampleId) ?? 0
    this.#attempts.set(sampleId, attempts + 1)
    return monotonicNow() + Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** attempts)
  }
}
