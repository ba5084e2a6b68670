import { PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import type { CellSummary, Host } from '@cyclamenthread/state'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Longest time without a summary of a cell that has changed at all, in milliseconds. */
const SMALL_CHANGE_PERIOD_MS = 2_000

/** Change of the pressure on a cell, in parts of its slots, that is told at the next period. */
const LARGE_CHANGE_SHARE = 0.25

/** What was last sent of a cell. */
interface SentSummary {
  readonly summary: CellSummary
  readonly at: number
}

/**
 * Sends summaries of this host's cells to the gateways of its region: large
 * changes at most once a period, small ones every two seconds, nothing while
 * nothing changes. Gateways of other regions ask when their own region is full.
 */
export class SummaryPublisher {
  readonly #settings: HostSettings
  readonly #members: MemberView
  readonly #bus: MessageBus
  readonly #sent = new Map<string, SentSummary>()

  constructor (settings: HostSettings, members: MemberView, bus: MessageBus) {
    this.#settings = settings
    this.#members = members
    this.#bus = bus
  }

  /** Sends everything again: a gateway may be new. */
  reset (): void {
    this.#sent.clear()
  }

  /** Sends what has changed enough. */
  async pushChanged (summaries: readonly CellSummary[]): Promise<void> {
    const now = monotonicNow()
    const changed = summaries.filter((summary) => isSummaryDue(summary, this.#sent.get(summary.cell), now))
    if (changed.length === 0) return
    for (const summary of changed) this.#sent.set(summary.cell, { summary, at: now })
    const message = { kind: PeerMessageKind.PushSummaries as const, cells: changed }
    await Promise.all(this.#gateways().map(async (host) => await this.#bus.post(host, message)))
  }

  #gateways (): Host[] {
    return this.#members.workers().filter((host) => host.region === this.#settings.self.region)
  }
}

/**
 * Whether a summary has to be sent now.
 *
 * @internal
 */
export function isSummaryDue (summary: CellSummary, sent: SentSummary | undefined, now: number): boolean {
  if (sent === undefined) return true
  const before = sent.summary
  const changedAvailability = (summary.freeSlots > 0) !== (before.freeSlots > 0)
  const change = Math.abs(summary.freeSlots - summary.waiting - before.freeSlots + before.waiting)
  if (changedAvailability || summary.totalSlots !== before.totalSlots || change >= LARGE_CHANGE_SHARE * Math.max(summary.totalSlots, before.waiting)) return true
  const differs = change > 0 || summary.waitMs !== before.waitMs
  return differs && now - sent.at >= SMALL_CHANGE_PERIOD_MS
}
