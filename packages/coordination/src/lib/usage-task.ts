import { rankOwners } from '@cyclamenthread/state'
import { ExpectationKind, StorePurpose, USAGE_PROGRESS_KEY, WriteStatus } from '@cyclamenthread/protocol'
import * as z from 'zod'
import { LeaseTask } from './lease-task.js'
import { Periodic } from './periodic.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import { WindowSealer } from './window-sealer.js'
import type { Clock } from '@cyclamenthread/state'
import type { Expectation, ObjectStore, PlatformClient, StoreCall } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'

/** Interval at which the usage leader checks for windows to seal, in milliseconds. */
const PERIOD_MS = 500

/** Maximum number of windows sealed in one turn, so that a long backlog doesn't delay the lease. */
const MAX_WINDOWS_PER_TURN = 10

/** Number of hosts that contend for the lease; more would only add store calls. */
const LEASE_CANDIDATES = 3

/** Number of windows that a partition may lag behind before it is taken over to advance it. */
const MAX_LAG_WINDOWS = 3

const progressSchema = z.object({ next: z.int() })

/** The first window that is not reported yet, and the version of the object that stores it. */
interface Progress {
  readonly next: number
  readonly version: string
}

/** Advances the usage window of a partition whose owner doesn't. */
export type AdvancePartition = (partition: number) => Promise<void>

/** Dependencies of a {@link UsageTask}. */
export interface UsageContext {
  readonly members: MemberView
  readonly advancePartition: AdvancePartition
  readonly store: ObjectStore
  readonly platform: Pick<PlatformClient, 'reportUsage'>
  readonly clock?: Clock
}

/**
 * Seals and reports usage windows while this host holds the `usage` lease.
 *
 * Invariants: a window is sealed once, after the heads of all partitions have
 * moved past it; only the contents of the sealed object are reported; windows are
 * reported in order.
 */
export class UsageTask {
  readonly #settings: HostSettings
  readonly #context: UsageContext
  readonly #clock: Clock
  readonly #lease: LeaseTask
  readonly #sealer: WindowSealer
  readonly #loop: Periodic
  #progress: Progress | undefined
  readonly counters = { sealed: 0, reported: 0, failedReports: 0 }

  constructor (settings: HostSettings, context: UsageContext) {
    this.#settings = settings
    this.#context = context
    this.#clock = context.clock ?? SYSTEM_CLOCK
    const { self, incarnation, leaseMs, storeTimeoutMs } = settings
    const isEligible = (): boolean => rankOwners('lease/usage', context.members.workers().map((host) => host.id)).slice(0, LEASE_CANDIDATES).includes(self.id)
    this.#lease = new LeaseTask({ name: 'usage', holder: `${self.id}/${incarnation}`, leaseMs, storeTimeoutMs, eligible: isEligible }, context.store, this.#clock)
    this.#sealer = new WindowSealer(settings, context.store, this.#clock)
    this.#loop = new Periodic(PERIOD_MS, async () => await this.closeDueWindows())
  }

  async start (): Promise<void> {
    await this.#lease.start()
    await this.#loop.start()
  }

  async stop (): Promise<void> {
    await this.#loop.stop()
    await this.#lease.stop()
  }

  /**
   * Renews the lease, or attempts to take it over.
   *
   * @internal
   */
  async renewLease (): Promise<void> {
    await this.#lease.renewOrContend()
  }

  /**
   * Seals and reports the windows that are due.
   *
   * @internal
   */
  async closeDueWindows (): Promise<void> {
    if (this.#lease.leadership() === undefined) {
      this.#progress = undefined
      return
    }
    this.#progress ??= await this.#readProgress()
    if (this.#progress === undefined) return
    for (let closed = 0; closed < MAX_WINDOWS_PER_TURN && this.#progress !== undefined; closed++) {
      const { next } = this.#progress
      if (this.#currentWindow() <= next || !await this.#closeWindow(next)) return
      this.#progress = await this.#advanceProgress(this.#progress)
    }
  }

  #currentWindow (): number {
    return Math.floor(this.#clock.wall() / this.#settings.usageWindowMs)
  }

  /** Seals and reports one window; returns whether it was reported. */
  async #closeWindow (window: number): Promise<boolean> {
    const { sealed, lagging } = await this.#sealer.sealWindow(window)
    if (this.#currentWindow() - window > MAX_LAG_WINDOWS) {
      for (const partition of lagging) await this.#context.advancePartition(partition)
    }
    if (sealed === undefined) return false
    this.counters.sealed = this.#sealer.sealedCount
    const leadership = this.#lease.leadership()
    if (leadership === undefined) return false
    const report = await this.#context.platform.reportUsage(sealed, leadership.epoch, { deadline: leadership.deadline, isHeld: () => this.#lease.leadership()?.epoch === leadership.epoch })
    if (report.ok) this.counters.reported += 1
    else this.counters.failedReports += 1
    return report.ok
  }

  async #readProgress (): Promise<Progress | undefined> {
    const found = await this.#context.store.read(USAGE_PROGRESS_KEY, this.#storeCall())
    if (!found.ok) return undefined
    if (found.value === undefined) return await this.#startProgress()
    const next = progressSchema.safeParse(found.value.value).data?.next
    return next === undefined ? undefined : { next, version: found.value.version }
  }

  /** Stores the first window of a deployment before anything is reported, so that a later leader can't start at another one. */
  async #startProgress (): Promise<Progress | undefined> {
    const next = await this.#sealer.firstWindow()
    return next === undefined ? undefined : await this.#writeProgress(next, { kind: ExpectationKind.Absent })
  }

  /** Records that a window is reported. If the write fails, the same window is reported again, unchanged. */
  async #advanceProgress (progress: Progress): Promise<Progress | undefined> {
    return await this.#writeProgress(progress.next + 1, { kind: ExpectationKind.Version, version: progress.version })
  }

  async #writeProgress (next: number, expectation: Expectation): Promise<Progress | undefined> {
    const result = await this.#context.store.write(USAGE_PROGRESS_KEY, { next }, expectation, this.#storeCall())
    return result.status === WriteStatus.Applied ? { next, version: result.version } : undefined
  }

  #storeCall (): StoreCall {
    return { purpose: StorePurpose.Other, deadline: this.#clock.now() + this.#settings.storeTimeoutMs }
  }
}
