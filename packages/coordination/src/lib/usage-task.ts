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

/** How often the usage leader looks for windows to seal, in milliseconds. */
const PERIOD_MS = 500

/** Most windows sealed in one turn, so that a long backlog does not hold the lease up. */
const MAX_WINDOWS_PER_TURN = 10

/** Hosts that contend for the lease. More would only add calls of the store. */
const LEASE_CANDIDATES = 3

/** Windows by which a partition may lag before it is taken over to move it on. */
const MAX_LAG_WINDOWS = 3

const progressSchema = z.object({ next: z.int() })

/** The first window that is not reported, and the version of the object that says so. */
interface Progress {
  readonly next: number
  readonly version: string
}

/** Moves a partition's window on when its owner does not. */
export type AdvancePartition = (partition: number) => Promise<void>

/** What the usage task works with. */
export interface UsageContext {
  readonly members: MemberView
  readonly advancePartition: AdvancePartition
  readonly store: ObjectStore
  readonly platform: Pick<PlatformClient, 'reportUsage'>
  readonly clock?: Clock
}

/**
 * Seals usage windows and reports them, while this host holds the `usage` lease.
 *
 * Invariants: a window is sealed once, when every partition's head is past it;
 * only what the sealed object holds is ever reported; a window is reported
 * before the next is.
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
    const eligible = (): boolean => rankOwners('lease/usage', context.members.workers().map((host) => host.id)).slice(0, LEASE_CANDIDATES).includes(self.id)
    this.#lease = new LeaseTask({ name: 'usage', holder: `${self.id}/${incarnation}`, leaseMs, storeTimeoutMs, eligible }, context.store, this.#clock)
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
   * One renewal of the lease, or one try to take it over.
   *
   * @internal
   */
  async renewLease (): Promise<void> {
    await this.#lease.renewOrContend()
  }

  /**
   * One look for windows to close.
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

  /** Seals and reports one window; whether that is done. */
  async #closeWindow (window: number): Promise<boolean> {
    const { sealed, lagging } = await this.#sealer.sealWindow(window)
    if (this.#currentWindow() - window > MAX_LAG_WINDOWS) {
      for (const partition of lagging) await this.#context.advancePartition(partition)
    }
    if (sealed === undefined) return false
    this.counters.sealed = this.#sealer.sealedCount
    const leadership = this.#lease.leadership()
    if (leadership === undefined) return false
    const report = await this.#context.platform.reportUsage(sealed, leadership.epoch, { deadline: leadership.deadline })
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

  /** Fixes the first window of a deployment before anything is reported, so that a later leader can't begin elsewhere. */
  async #startProgress (): Promise<Progress | undefined> {
    const next = await this.#sealer.firstWindow()
    return next === undefined ? undefined : await this.#writeProgress(next, { kind: ExpectationKind.Absent })
  }

  /** Notes that a window is reported. If that fails it is reported again, unchanged. */
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
