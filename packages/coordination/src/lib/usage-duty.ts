import { sumCounts } from '@cyclamenthread/state'
import { PlatformCallStatus, ExpectationKind, PeerMessageKind, StorePurpose, usageWindowKey, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import type { WindowCounts } from '@cyclamenthread/state'
import type { LeaderLease } from '@cyclamenthread/protocol'
import type { Duty, DutyContext } from './duty-context.js'

/** Time after the end of a window before it is sealed, in milliseconds: a request that began in it may be answered later. */
const SEAL_DELAY_MS = 2_000

/** Time after the end of a window at which it is sealed even if a host has not told its counts, in milliseconds. */
const MAX_SEAL_DELAY_MS = 6_000

/** Windows before the current one that a new leader looks at. */
const LOOKBACK_WINDOWS = 3

/** Longest wait for a host's counts, in milliseconds. */
const CALL_TIMEOUT_MS = 800

/** Pause after a report that failed, in milliseconds. */
const RETRY_DELAY_MS = 700

/**
 * Reports the usage of each window once: adds up the hosts' counts, seals them
 * in the store, and sends what is sealed.
 *
 * Invariant: only what the sealed object holds is ever sent, so every report of
 * a window says the same, whoever sends it.
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
    const held = lease()
    if (counts === undefined || held === undefined) {
      this.#notBefore = performance.now() + RETRY_DELAY_MS
      return
    }
    const status = await this.#context.platform.reportUsage(window, counts, held)
    this.#context.log.record(LogEvent.DutyCalled, { duty: 'usage', window, outcome: status, fence: held.fence, workspaces: Object.keys(counts).length })
    if (status === PlatformCallStatus.Failed) this.#notBefore = performance.now() + RETRY_DELAY_MS
    else this.#nextWindow = window + 1
  }

  /** The sealed figures of a window, sealed now if they are not yet; undefined when that can't be told. */
  async #sealWindow (window: number): Promise<WindowCounts | undefined> {
    const key = usageWindowKey(window)
    const call = { purpose: StorePurpose.Claim, deadline: deadlineAfter(CALL_TIMEOUT_MS) }
    const found = await this.#context.store.read(key, call)
    if (!found.ok) return undefined
    if (found.value !== undefined) return found.value.value as WindowCounts
    const counts = await this.#gatherCounts(window)
    if (counts === undefined) return undefined
    const written = await this.#context.store.write(key, counts, { kind: ExpectationKind.Absent }, { purpose: StorePurpose.Claim, deadline: deadlineAfter(CALL_TIMEOUT_MS) })
    // After a conflict or a lost answer the next turn reads what stands there.
    return written.status === WriteStatus.Applied ? counts : undefined
  }

  /** The counts of all hosts; undefined while one is missing that may still answer. */
  async #gatherCounts (window: number): Promise<WindowCounts | undefined> {
    const { bus, hostId, members, tally } = this.#context
    const hosts = members.members().map((member) => member.host)
    const all = await Promise.all(hosts.map(async (host) => {
      if (host.id === hostId) return tally.countsOf(window)
      const answer = await bus.send(host, { kind: PeerMessageKind.ReadRequestCounts, window }, { deadline: deadlineAfter(CALL_TIMEOUT_MS) })
      return answer.ok ? answer.value.counts : undefined
    }))
    const heard = all.filter((counts) => counts !== undefined)
    const late = Date.now() > tally.windowEnd(window) + MAX_SEAL_DELAY_MS
    return heard.length === all.length || late ? sumCounts(heard) : undefined
  }
}
