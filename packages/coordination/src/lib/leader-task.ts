import { LeasedCalls } from './leased-calls.js'
import { LeaseTask } from './lease-task.js'
import { LogEvent } from './event-log.js'
import { Periodic } from './periodic.js'
import { isLeaseCandidate } from './lease-candidate.js'
import { responsiveWorkers } from './responsive-workers.js'
import type { LeaderLease, ObjectStore } from '@cyclamenthread/protocol'
import type { Duty, DutyContext } from './duty-context.js'

/** Name of the lease that permits running the duties. */
export const DUTIES_LEASE = 'duties'

/** Number of hosts that contend for the lease, of those that answer: the holder and one standby. */
export const DUTY_CANDIDATES = 2

/** Pause between two runs of a duty, in milliseconds. */
const DUTY_PERIOD_MS = 100

/** Share of the lease kept as a safety margin, so that a call in flight arrives before the lease ends. */
const SAFETY_MARGIN_SHARE = 0.1

/** Settings of the leader task. */
export interface LeaderSettings {
  /** Host id and incarnation. */
  readonly holder: string
  readonly leaseMs: number
  readonly storeTimeoutMs: number
  /** Region of the store; the candidates are there, so that a partition between regions leaves a leader that reaches the store. */
  readonly storeRegion: string
}

/**
 * Contends for the `duties` lease and runs the duties while this host holds it.
 * They make calls that only one host at a time may make: usage reports, orders of
 * endpoints and weights, retirements.
 *
 * Invariant: no call is made without the lease, nor in the last tenth of it.
 */
export class LeaderTask {
  readonly #context: DutyContext
  readonly #duties: readonly Duty[]
  readonly #lease: LeaseTask
  readonly #loops: readonly Periodic[]
  readonly #settings: LeaderSettings
  readonly #calls = new LeasedCalls()
  #epoch = 0

  constructor (settings: LeaderSettings, store: ObjectStore, context: DutyContext, duties: readonly Duty[]) {
    this.#settings = settings
    this.#context = context
    this.#duties = duties
    const location = { region: settings.storeRegion, failureDomain: '' }
    const eligible = (): boolean => isLeaseCandidate(DUTIES_LEASE, context.hostId, responsiveWorkers(context.members), location, DUTY_CANDIDATES)
    this.#lease = new LeaseTask({ name: DUTIES_LEASE, holder: settings.holder, leaseMs: settings.leaseMs, storeTimeoutMs: settings.storeTimeoutMs, eligible, log: context.log }, store)
    this.#loops = duties.map((duty) => new Periodic(DUTY_PERIOD_MS, async () => await this.#runDuty(duty)))
  }

  /** Whether this host holds the lease now. */
  get isLeader (): boolean {
    return this.#lease.leadership() !== undefined
  }

  /** Starts to contend for the lease, without waiting for it. */
  start (): void {
    void this.#lease.start()
    for (const loop of this.#loops) void loop.start()
  }

  async stop (): Promise<void> {
    await Promise.all(this.#loops.map(async (loop) => await loop.stop()))
    await this.#lease.stop()
    const { underWay, counts: { begun, answered, givenUp } } = this.#calls
    if (this.isLeader) this.#context.log.record(LogEvent.LeaseGivenUp, { lease: DUTIES_LEASE, fence: this.#epoch, released: true, underWay, begun, answered, givenUp })
    await this.#lease.release()
    if (this.#epoch !== 0) this.#changeEpoch(0)
  }

  async #runDuty (duty: Duty): Promise<void> {
    const lease = this.#currentLease()
    if (lease === undefined) {
      if (this.#epoch !== 0 && !this.isLeader) this.#changeEpoch(0)
      return
    }
    if (lease.fence !== this.#epoch) this.#changeEpoch(lease.fence)
    await duty.runOnce(() => {
      const now = this.#currentLease()
      return now?.fence === lease.fence ? now : undefined
    })
  }

  #changeEpoch (epoch: number): void {
    this.#context.log.record(epoch === 0 ? LogEvent.LeaseLost : LogEvent.LeaseGained, { lease: DUTIES_LEASE, fence: epoch === 0 ? this.#epoch : epoch, underWay: this.#calls.underWay })
    for (const mirror of this.#context.mirrors) {
      if (epoch !== 0 && this.#epoch === 0) mirror.start()
      if (epoch === 0) mirror.stop()
    }
    this.#epoch = epoch
    for (const duty of this.#duties) duty.reset()
  }

  #currentLease (): LeaderLease | undefined {
    const leadership = this.#lease.leadership()
    if (leadership === undefined) return undefined
    const deadline = leadership.deadline - this.#settings.leaseMs * SAFETY_MARGIN_SHARE
    return performance.now() < deadline ? this.#calls.openCall({ holder: this.#context.hostId, fence: leadership.epoch, deadline }) : undefined
  }
}
