import { PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import type { CellSummary, Host } from '@cyclamenthread/state'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Longest time before a changed summary is sent, however small the change, in milliseconds. */
const SMALL_CHANGE_PERIOD_MS = 2_000

/** Change of free slots minus queued requests that is sent in the next period, as a share of the cell's slots or, if larger, of its queue. */
const LARGE_CHANGE_SHARE = 0.25

/** The summary last sent for a cell, and when. */
interface SentSummary {
  readonly summary: CellSummary
  readonly at: number
}

/**
 * Sends summaries of this host's cells to the gateways of its region: large
 * changes at most once per period, small ones every two seconds, and nothing
 * without a change. Gateways of other regions request summaries when their own
 * region is full.
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

  /** Makes the next push send all summaries, as a gateway may be new. */
  reset (): void {
    this.#sent.clear()
  }

  /** Sends the summaries that are due. */
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
