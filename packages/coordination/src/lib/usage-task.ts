import { LedgerPartition } from '@cyclamenthread/state'
import {
  ExpectationKind, ledgerHeadKey, ledgerSegmentKey, parseLedgerHead, parseLedgerSegment, restoreRecord,
  StorePurpose, usageWindowKey, WriteStatus
} from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { z } from 'zod'
import { LeaseTask } from './lease-task.js'
import { Periodic } from './periodic.js'
import type { UsageTotal } from '@cyclamenthread/state'
import type { LedgerHead, ObjectStore, PlatformClient, StoredRecord, UsageWindow } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'

/** How often the usage leader looks for windows to seal, in milliseconds. */
const PERIOD_MS = 500

/** Most windows sealed in one turn, so that a long backlog does not hold the lease up. */
const WINDOWS_PER_TURN = 10

const totalSchema = z.object({
  workspace: z.string(),
  entry: z.string(),
  promptTokens: z.int(),
  answerTokens: z.int(),
  calls: z.int(),
  items: z.int()
})
const windowSchema = z.object({
  window: z.int(),
  from: z.int(),
  to: z.int(),
  complete: z.boolean(),
  totals: z.array(totalSchema)
})

/**
 * Seals usage windows and reports them, while this host holds the `usage` lease.
 *
 * Invariants: a window is sealed once, when every partition's head is past it;
 * only what the sealed object holds is ever reported.
 */
export class UsageTask {
  readonly #settings: HostSettings
  readonly #store: ObjectStore
  readonly #platform: PlatformClient
  readonly #lease: LeaseTask
  readonly #loop: Periodic
  #nextWindow: number | undefined
  readonly counters = { sealed: 0, reported: 0, failedReports: 0 }

  constructor (settings: HostSettings, store: ObjectStore, platform: PlatformClient) {
    this.#settings = settings
    this.#store = store
    this.#platform = platform
    const { self, incarnation, leaseMs, storeTimeoutMs } = settings
    this.#lease = new LeaseTask({ name: 'usage', holder: `${self.id}/${incarnation}`, leaseMs, storeTimeoutMs }, store)
    this.#loop = new Periodic(PERIOD_MS, async () => await this.#turn())
  }

  async start (): Promise<void> {
    await this.#lease.start()
    await this.#loop.start()
  }

  async stop (): Promise<void> {
    await this.#loop.stop()
    await this.#lease.stop()
  }

  async #turn (): Promise<void> {
    if (this.#lease.leadership() === undefined) {
      this.#nextWindow = undefined
      return
    }
    const heads = await this.#heads()
    if (heads === undefined) return
    const past = Math.min(...heads.map((head) => head.window))
    this.#nextWindow ??= await this.#firstOpenWindow(past)
    if (this.#nextWindow === undefined) return
    const end = Math.min(past, this.#nextWindow + WINDOWS_PER_TURN)
    while (this.#nextWindow < end) {
      if (!await this.#close(this.#nextWindow, heads)) return
      this.#nextWindow += 1
    }
  }

  /** The window after the last one that was reported, or the oldest with records. */
  async #firstOpenWindow (past: number): Promise<number | undefined> {
    const call = this.#call()
    const sealed = await this.#store.list(usageWindowKey(0).slice(0, -12), call)
    if (!sealed.ok) return undefined
    const last = sealed.value.map((object) => windowSchema.safeParse(object.value).data?.window ?? 0).at(-1)
    // The last sealed window may not have been reported: it is sent again, unchanged.
    if (last !== undefined) return last
    return past - 1
  }

  async #heads (): Promise<LedgerHead[] | undefined> {
    const heads: LedgerHead[] = []
    for (let partition = 0; partition < this.#settings.ledgerPartitions; partition++) {
      const found = await this.#store.read(ledgerHeadKey(partition), this.#call())
      const head = found.ok ? parseLedgerHead(found.value?.value) : undefined
      if (head === undefined) return undefined
      heads.push(head)
    }
    return heads
  }

  async #close (window: number, heads: readonly LedgerHead[]): Promise<boolean> {
    const sealed = await this.#sealed(window) ?? await this.#seal(window, heads)
    if (sealed === undefined) return false
    const leadership = this.#lease.leadership()
    if (leadership === undefined) return false
    const report = await this.#platform.reportUsage(sealed, leadership.epoch, { deadline: leadership.deadline })
    if (report.ok) this.counters.reported += 1
    else this.counters.failedReports += 1
    return report.ok
  }

  async #sealed (window: number): Promise<UsageWindow | undefined> {
    const found = await this.#store.read(usageWindowKey(window), this.#call())
    return found.ok ? windowSchema.safeParse(found.value?.value).data : undefined
  }

  async #seal (window: number, heads: readonly LedgerHead[]): Promise<UsageWindow | undefined> {
    const totals = await this.#totals(window, heads)
    if (totals === undefined) return undefined
    const { usageWindowMs } = this.#settings
    const sealed: UsageWindow = { window, from: window * usageWindowMs, to: (window + 1) * usageWindowMs, complete: true, totals }
    const result = await this.#store.write(usageWindowKey(window), sealed, { kind: ExpectationKind.Absent }, this.#call())
    if (result.status === WriteStatus.Applied) {
      this.counters.sealed += 1
      return sealed
    }
    return await this.#sealed(window)
  }

  async #totals (window: number, heads: readonly LedgerHead[]): Promise<UsageTotal[] | undefined> {
    const state = new LedgerPartition()
    for (const [partition, head] of heads.entries()) {
      const records = await this.#records(partition, head)
      if (records === undefined) return undefined
      for (const stored of records) state.apply(restoreRecord(stored), stored.window)
    }
    return state.usage(window)
  }

  async #records (partition: number, head: LedgerHead): Promise<StoredRecord[] | undefined> {
    const records: StoredRecord[] = []
    for (let segment = 0; segment < head.segments; segment++) {
      const found = await this.#store.read(ledgerSegmentKey(partition, segment), this.#call())
      const part = found.ok ? parseLedgerSegment(found.value?.value) : undefined
      if (part === undefined) return undefined
      records.push(...part)
    }
    return [...records, ...head.open]
  }

  #call (): { readonly purpose: StorePurpose, readonly deadline: number } {
    return { purpose: StorePurpose.Other, deadline: deadlineAfter(this.#settings.storeTimeoutMs) }
  }
}
