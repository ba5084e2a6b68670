import { sumCounts } from '@cyclamenthread/state'
import { PlatformCallStatus, ExpectationKind, PeerMessageKind, StorePurpose, usageWindowKey, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import type { WindowCounts } from '@cyclamenthread/state'
import type { LeaderLease } from '@cyclamenthread/protocol'
import type { Duty, DutyContext } from './duty-context.js'

/** Delay between the end of a window and its sealing, in milliseconds: requests that began in the window may be answered later. */
const SEAL_DELAY_MS = 2_000

/** Time after the end of a window at which it is sealed even if the counts of a host are missing, in milliseconds. */
const MAX_SEAL_DELAY_MS = 6_000

/** Number of windows before the current one at which a new leader starts. */
const LOOKBACK_WINDOWS = 3

/** Timeout for calls to other hosts and the store, in milliseconds. */
const CALL_TIMEOUT_MS = 800

/** Delay after a failed seal or report, in milliseconds. */
const RETRY_DELAY_MS = 700

/**
 * Reports the usage of each window: sums the counts of all hosts, seals the sum
 * in the store, and sends the sealed counts to the platform.
 *
 * Invariant: only the contents of the sealed object are sent, so all reports of a
 * window are identical, whichever leader sends them.
 */
export class UsageDuty implements Duty {
  readonly #context: DutyContext
  #nextWindow: number | undefined
  #notBefore = 0

  constructor (context: DutyContext) {
    this.#context = context
  }

  reset (): void {
    this.#nextWindow = undefined
  }

  async runOnce (lease: () => LeaderLease | undefined): Promise<void> {
    const { tally } = this.#context
    const now = Date.now()
    this.#nextWindow ??= tally.windowAt(now) - LOOKBACK_WINDOWS
    if (now < tally.windowEnd(this.#nextWindow) + SEAL_DELAY_MS || performance.now() < this.#notBefore) return
    const window = this.#nextWindow
    const counts = await this.#sealWindow(window)
    const currentLease = lease()
    if (counts === undefined || currentLease === undefined) {
      this.#notBefore = performance.now() + RETRY_DELAY_MS
      return
    }
    const status = await this.#context.platform.reportUsage(window, counts, currentLease)
    this.#context.log.record(LogEvent.DutyCalled, { duty: 'usage', window, outcome: status, fence: currentLease.fence, workspaces: Object.keys(counts).length, ...currentLease.course })
    if (status === PlatformCallStatus.Failed) this.#notBefore = performance.now() + RETRY_DELAY_MS
    else this.#nextWindow = window + 1
  }

  /** Returns the sealed counts of a window, sealing it if necessary; undefined if that isn't possible yet. */
  async #sealWindow (window: number): Promise<WindowCounts | undefined> {
    const key = usageWindowKey(window)
    const call = { purpose: StorePurpose.Claim, deadline: deadlineAfter(CALL_TIMEOUT_MS) }
    const found = await this.#context.store.read(key, call)
    if (!found.ok) return undefined
    if (found.value !== undefined) return found.value.value as WindowCounts
    const counts = await this.#gatherCounts(window)
    if (counts === undefined) return undefined
    const written = await this.#context.store.write(key, counts, { kind: ExpectationKind.Absent }, { purpose: StorePurpose.Claim, deadline: deadlineAfter(CALL_TIMEOUT_MS) })
    // After a conflict or an unknown outcome, the next turn reads the stored object.
    return written.status === WriteStatus.Applied ? counts : undefined
  }

  /** Sums the counts of all hosts; undefined while the counts of a host are missing and the window may still wait for them. */
  async #gatherCounts (window: number): Promise<WindowCounts | undefined> {
    const { bus, hostId, members, tally } = this.#context
    const hosts = members.members().map((member) => member.host)
    const all = await Promise.all(hosts.map(async (host) => {
      if (host.id === hostId) return tally.countsOf(window)
      const answer = await bus.send(host, { kind: PeerMessageKind.ReadRequestCounts, window }, { deadline: deadlineAfter(CALL_TIMEOUT_MS) })
      return answer.ok ? answer.value.counts : undefined
    }))
    const received = all.filter((counts) => counts !== undefined)
    const isOverdue = Date.now() > tally.windowEnd(window) + MAX_SEAL_DELAY_MS
    return received.length === all.length || isOverdue ? sumCounts(received) : undefined
  }
}
