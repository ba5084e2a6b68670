import { setTimeout } from 'node:timers/promises'
import { monotonicNow } from '@cyclamenthread/transport'
import { NO_RELAY } from './call-forwarder.js'
import { DutySuccession } from './duty-succession.js'
import { LeaderReach } from './leader-reach.js'
import { LeasedCalls } from './leased-calls.js'
import { LeaseTask } from './lease-task.js'
import { LogEvent } from './event-log.js'
import { Periodic } from './periodic.js'
import { isLeaseCandidate } from './lease-candidate.js'
import { responsiveWorkers } from './responsive-workers.js'
import type { ServiceSchema } from 'moleculer'
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

/** Longest wait for calls under way when the lease is given up, in milliseconds: many round trips between regions. */
const SETTLE_MS = 400

/** Pause between two checks whether a lease that was given up has expired, in milliseconds. */
const EXPIRY_POLL_MS = 25

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
 * Invariants: no call is made without the lease, nor in the last tenth of it; the
 * lease is released only once no call under it can arrive any more.
 */
export class LeaderTask {
  readonly #context: DutyContext
  readonly #duties: readonly Duty[]
  readonly #lease: LeaseTask
  readonly #loops: readonly Periodic[]
  readonly #settings: LeaderSettings
  readonly #calls: LeasedCalls
  readonly #reach: LeaderReach
  readonly #succession: DutySuccession
  #epoch = 0
  #stopping: Promise<void> | undefined
  /** The lease is being given up, or is left to expire. */
  #handover: Promise<void> | undefined

  constructor (settings: LeaderSettings, store: ObjectStore, context: DutyContext, duties: readonly Duty[], reach: LeaderReach = new LeaderReach(NO_RELAY)) {
    this.#settings = settings
    this.#context = context
    this.#duties = duties
    const location = { region: settings.storeRegion, failureDomain: '' }
    this.#reach = reach
    this.#succession = new DutySuccession(settings, context, reach, { isLeader: () => this.isLeader, handOver: async () => await this.handOver(), contend: () => this.#lease.contend() })
    const isCandidate = (): boolean => isLeaseCandidate(DUTIES_LEASE, context.hostId, responsiveWorkers(context.members), location, DUTY_CANDIDATES)
    const eligible = (): boolean => this.#succession.isInvited || (isCandidate() && !this.#succession.isWithdrawn())
    this.#lease = new LeaseTask({ name: DUTIES_LEASE, holder: settings.holder, leaseMs: settings.leaseMs, storeTimeoutMs: settings.storeTimeoutMs, eligible, log: context.log }, store)
    this.#calls = new LeasedCalls((fence) => this.#heldUntil(fence) !== undefined, (calls) => {
      context.log.record(LogEvent.LeasedCallsReset, { lease: DUTIES_LEASE, fence: this.#epoch, calls })
    })
    this.#loops = duties.map((duty) => new Periodic(DUTY_PERIOD_MS, async () => await this.#runDuty(duty)))
  }

  /** Whether this host holds the lease now and hasn't given it up. */
  get isLeader (): boolean {
    return !this.#calls.isClosed && this.#lease.leadership() !== undefined
  }

  /** Returns the broker service that accepts the duties of other hosts. */
  service (): ServiceSchema {
    return this.#succession.service()
  }

  /** Starts to contend for the lease, without waiting for it; does nothing after {@link stop}. */
  start (): void {
    if (this.#stopping !== undefined) return
    void this.#lease.start()
    for (const loop of this.#loops) void loop.start()
    this.#succession.start()
  }

  /**
   * Gives the lease up and runs no more duties. Once it resolves, nothing more is sent under the
   * lease; another host can take it at once, unless what was sent may still arrive.
   */
  async stop (): Promise<void> {
    this.#stopping ??= this.#stopOnce()
    await this.#stopping
  }

  async #stopOnce (): Promise<void> {
    const checked = this.#succession.stop()
    await this.#handover
    await this.#giveUp()
    await Promise.all([checked, ...this.#loops.map(async (loop) => await loop.stop())])
    if (this.#epoch !== 0) this.#changeEpoch(0)
  }

  /** Gives the lease up as {@link stop} does while this host runs on; from then on it contends again while it is eligible. */
  async handOver (): Promise<void> {
    if (this.#stopping !== undefined) return
    this.#handover ??= this.#handOverOnce().finally(() => {
      this.#handover = undefined
    })
    await this.#handover
  }

  async #handOverOnce (): Promise<void> {
    await this.#giveUp()
    // A lease that is left to expire must not be renewed.
    while (this.#stopping === undefined && this.#lease.leadership() !== undefined) await setTimeout(EXPIRY_POLL_MS)
    if (this.#stopping !== undefined) return
    this.#calls.reopen()
    void this.#lease.start()
  }

  /**
   * Ends the right to make calls, then releases the lease, unless a call may still
   * arrive: then the lease expires by itself, as if this host had gone.
   */
  async #giveUp (): Promise<void> {
    const startedAt = monotonicNow()
    const { underWay, counts } = this.#calls
    const { answered, givenUp } = counts
    await Promise.all([this.#calls.close(startedAt + SETTLE_MS), this.#lease.stop()])
    const fence = this.#lease.leadership()?.epoch
    const isSettled = monotonicNow() - this.#calls.givenUpAt >= this.#settings.leaseMs
    if (isSettled) await this.#lease.release()
    if (fence === undefined) return
    this.#context.log.record(LogEvent.LeaseGivenUp, {
      lease: DUTIES_LEASE, fence, released: isSettled, underWay, answered: counts.answered - answered, givenUp: counts.givenUp - givenUp, tookMs: Math.round(monotonicNow() - startedAt)
    })
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
    this.#reach.reset()
    for (const duty of this.#duties) duty.reset()
  }

  /** Returns the right to make one call, if the lease is held and not given up. */
  #currentLease (): LeaderLease | undefined {
    const fence = this.#lease.leadership()?.epoch
    const deadline = fence === undefined || this.#calls.isClosed ? undefined : this.#heldUntil(fence)
    return fence === undefined || deadline === undefined ? undefined : this.#calls.openCall({ holder: this.#context.hostId, fence, deadline })
  }

  /** Returns the monotonic time in milliseconds until which calls may be under way with a fencing token; undefined if its lease isn't held. */
  #heldUntil (fence: number): number | undefined {
    const leadership = this.#lease.leadership()
    if (leadership?.epoch !== fence) return undefined
    const deadline = leadership.deadline - this.#settings.leaseMs * SAFETY_MARGIN_SHARE
    return monotonicNow() < deadline ? deadline : undefined
  }
}
