import { LeaseTask } from './lease-task.js'
import { LogEvent } from './event-log.js'
import { Periodic } from './periodic.js'
import { isLeaseCandidate } from './lease-candidate.js'
import type { LeaderLease, ObjectStore } from '@cyclamenthread/protocol'
import type { Duty, DutyContext } from './duty-context.js'

/** Name of the lease under which all duties are done. */
export const DUTIES_LEASE = 'duties'

/** Hosts that contend for the lease: the holder and one that takes over. */
export const DUTY_CANDIDATES = 2

/** Pause between two looks at what is due, in milliseconds. */
const DUTY_PERIOD_MS = 100

/** Part of the lease that is kept as margin, so that a call that is under way arrives within it. */
const SAFETY_MARGIN_SHARE = 0.1

/** What the lease needs of the settings. */
export interface LeaderSettings {
  /** Host and incarnation. */
  readonly holder: string
  readonly leaseMs: number
  readonly storeTimeoutMs: number
  /** Where the store runs, so that a cut between regions leaves a leader beside it. */
  readonly storeRegion: string
}

/**
 * Holds the one lease under which calls are made that only one host at a time
 * may make: usage reports, orders of endpoints and weights, retirements.
 *
 * Invariant: nothing is sent without the lease, nor in the last tenth of it.
 */
export class LeaderTask {
  readonly #context: DutyContext
  readonly #duties: readonly Duty[]
  readonly #lease: LeaseTask
  readonly #loops: readonly Periodic[]
  readonly #settings: LeaderSettings
  #epoch = 0

  constructor (settings: LeaderSettings, store: ObjectStore, context: DutyContext, duties: readonly Duty[]) {
    this.#settings = settings
    this.#context = context
    this.#duties = duties
    const location = { region: settings.storeRegion, failureDomain: '' }
    const eligible = (): boolean => isLeaseCandidate(DUTIES_LEASE, context.hostId, context.members.workers(), location, DUTY_CANDIDATES)
    this.#lease = new LeaseTask({ name: DUTIES_LEASE, holder: settings.holder, leaseMs: settings.leaseMs, storeTimeoutMs: settings.storeTimeoutMs, eligible }, store)
    this.#loops = duties.map((duty) => new Periodic(DUTY_PERIOD_MS, async () => await this.#runDuty(duty)))
  }

  /** Whether this host leads now. */
  get isLeader (): boolean {
    return this.#lease.leadership() !== undefined
  }

  /** Begins to contend; does not wait for the lease. */
  start (): void {
    void this.#lease.start()
    for (const loop of this.#loops) void loop.start()
  }

  async stop (): Promise<void> {
    await Promise.all(this.#loops.map(async (loop) => await loop.stop()))
    await this.#lease.stop()
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
    this.#context.log.record(epoch === 0 ? LogEvent.LeaseLost : LogEvent.LeaseGained, { lease: DUTIES_LEASE, fence: epoch === 0 ? this.#epoch : epoch })
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
    return performance.now() < deadline ? { holder: this.#context.hostId, fence: leadership.epoch, deadline } : undefined
  }
}
