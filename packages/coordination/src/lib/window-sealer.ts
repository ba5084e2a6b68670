import {
  ExpectationKind, ledgerHeadKey, parseLedgerHead, parseUsageSummary, parseUsageWindow, StorePurpose, usageWindowKey, WriteStatus
} from '@cyclamenthread/protocol'
import type { Clock, UsageTotal } from '@cyclamenthread/state'
import type { LedgerHead, ObjectStore, StoreCall, UsageSummaryReference, UsageWindow } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'

/** Result of an attempt to seal a usage window. */
export interface SealAttempt {
  /** The sealed window, whichever process sealed it; undefined if it can't be sealed yet. */
  readonly sealed: UsageWindow | undefined
  /** Partitions whose heads have not moved past the window. */
  readonly lagging: readonly number[]
}

/**
 * Sums the usage of all partitions in one window and seals it as an object in the
 * store. Several processes may do so concurrently: the usage of a closed window
 * doesn't change, and only the first object is written.
 *
 * Costs one read per partition head and one per partition with usage, regardless
 * of the length of the ledger.
 */
export class WindowSealer {
  readonly #settings: HostSettings
  readonly #store: ObjectStore
  readonly #clock: Clock
  /** Number of windows sealed by this process. */
  sealedCount = 0

  constructor (settings: HostSettings, store: ObjectStore, clock: Clock) {
    this.#settings = settings
    this.#store = store
    this.#clock = clock
  }

  /** Finds the first window of a deployment that has not reported any; undefined if a head can't be read. */
  async firstWindow (): Promise<number | undefined> {
    const heads = await this.#readHeads()
    if (heads === undefined) return undefined
    const windows = heads.flatMap((head) => head === undefined ? [] : [head.window, ...head.summaries.map((summary) => summary.window)])
    return windows.length === 0 ? undefined : Math.min(...windows)
  }

  /** Seals a window if all partitions have moved past it. */
  async sealWindow (window: number): Promise<SealAttempt> {
    const found = await this.#store.read(usageWindowKey(window), this.#storeCall())
    if (!found.ok) return { sealed: undefined, lagging: [] }
    if (found.value !== undefined) return { sealed: parseUsageWindow(found.value.value), lagging: [] }
    const heads = await this.#readHeads()
    if (heads === undefined) return { sealed: undefined, lagging: [] }
    const lagging = heads.flatMap((head, partition) => head === undefined || head.window <= window ? [partition] : [])
    if (lagging.length > 0) return { sealed: undefined, lagging }
    return { sealed: await this.#writeWindow(window, heads.flatMap((head) => head?.summaries.filter((summary) => summary.window === window) ?? [])), lagging }
  }

  async #writeWindow (window: number, summaries: readonly UsageSummaryReference[]): Promise<UsageWindow | undefined> {
    const totals = await this.#sumTotals(summaries)
    if (totals === undefined) return undefined
    const { usageWindowMs } = this.#settings
    const complete = summaries.every((summary) => summary.complete)
    const sealed: UsageWindow = { window, from: window * usageWindowMs, to: (window + 1) * usageWindowMs, complete, totals }
    const result = await this.#store.write(usageWindowKey(window), sealed, { kind: ExpectationKind.Absent }, this.#storeCall())
    if (result.status === WriteStatus.Applied) {
      this.sealedCount += 1
      return sealed
    }
    // Only the stored object may be reported: another leader may have been faster, or the answer to our write was lost.
    const found = await this.#store.read(usageWindowKey(window), this.#storeCall())
    return found.ok ? parseUsageWindow(found.value?.value) : undefined
  }

  /** Sums the usage of all partitions; undefined if a summary can't be read. */
  async #sumTotals (summaries: readonly UsageSummaryReference[]): Promise<UsageTotal[] | undefined> {
    const sums = new Map<string, UsageTotal>()
    const parts = await Promise.all(summaries.map(async (summary) => await this.#readSummary(summary)))
    for (const part of parts) {
      if (part === undefined) return undefined
      for (const total of part) addTotal(sums, total)
    }
    return [...sums.entries()].sort(([a], [b]) => a < b ? -1 : 1).map(([, total]) => total)
  }

  async #readSummary (summary: UsageSummaryReference): Promise<readonly UsageTotal[] | undefined> {
    if (summary.object === undefined) return []
    const found = await this.#store.read(summary.object.key, this.#storeCall())
    return found.ok ? parseUsageSummary(found.value?.value) : undefined
  }

  async #readHeads (): Promise<Array<LedgerHead | undefined> | undefined> {
    const partitions = Array.from({ length: this.#settings.ledgerPartitions }, (_, partition) => partition)
    const found = await Promise.all(partitions.map(async (partition) => await this.#store.read(ledgerHeadKey(partition), this.#storeCall())))
    if (found.some((item) => !item.ok)) return undefined
    return found.map((item) => item.ok ? parseLedgerHead(item.value?.value) : undefined)
  }

  #storeCall (): StoreCall {
    return { purpose: StorePurpose.Other, deadline: this.#clock.now() + this.#settings.storeTimeoutMs }
  }
}

function addTotal (sums: Map<string, UsageTotal>, total: UsageTotal): void {
  const key = `${total.workspace}/${total.entry}/${total.correctionOf ?? ''}`
  const sum = sums.get(key)
  if (sum === undefined) {
    sums.set(key, { ...total })
    return
  }
  sum.promptTokens += total.promptTokens
  sum.answerTokens += total.answerTokens
  sum.calls += total.calls
  sum.items += total.items
}
