import { LimitAccount } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import { runLoad } from '../open-load.js'
import { TaskFleet } from '../task-fleet.js'
import type { SlotDemand, SlotResult, SlotSource, Slot } from '@cyclamenthread/coordination'
import type { SlotEnd, Workspace } from '@cyclamenthread/state'
import type { ExperimentReport, Scenario } from '../scenario.js'

/** Requests a second that the workspace may send, over all hosts. */
const LIMIT = 60

/** Demand over the limit. */
const DEMAND = 3

const SLOTS_PER_ENGINE = 16
const TOKEN_MS = 2
const LENGTHS = [8]
const DURATION_MS = 15_000

/** Time at the start that is not counted, in milliseconds. */
const WARM_UP_MS = 2_000

/** Pause of a caller whose request was refused, in milliseconds. */
const CALLER_PAUSE_MS = 100

/** Targets as stated. */
const MAX_OVER = 1.02
const MIN_USED = 0.95

/** How a limit was kept and used. */
interface LimitFigures {
  /** Most requests that entered in any second, over the limit. */
  readonly worstSecond: number
  /** Most slots that were granted in any second, over the limit: later by the way to the cell and back. */
  readonly worstSecondOfSlots: number
  /** Mean of what entered, over the limit. */
  readonly used: number
  readonly refused: number
}

/** A limit over eight hosts of which two get most of the demand: an account against fixed shares. */
export const limits: Scenario = {
  name: 'limits',
  question: 'Is a limit over all hosts kept in every second and used, when the demand is uneven between hosts?',
  async run (seed: number): Promise<ExperimentReport> {
    const account = await measure(seed, { requestsPerSecond: LIMIT }, (source) => source)
    const shares = await measure(seed, {}, (source) => new FixedShareSource(source, LIMIT / 8))
    return {
      figures: [
        { name: 'worst second over the limit', unit: 'ratio', baseline: shares.worstSecond, chosen: account.worstSecond, target: { text: `at most ${MAX_OVER}`, met: account.worstSecond <= MAX_OVER } },
        { name: 'worst second over the limit, by when slots were granted', unit: 'ratio', baseline: shares.worstSecondOfSlots, chosen: account.worstSecondOfSlots },
        { name: 'used of the limit while demanded', unit: 'ratio', baseline: shares.used, chosen: account.used, target: { text: `at least ${MIN_USED}`, met: account.used >= MIN_USED } },
        { name: 'refused', unit: 'requests', baseline: shares.refused, chosen: account.refused }
      ],
      notes: [`limit ${LIMIT} requests a second, demand ${DEMAND} times that, three quarters of it at two of eight hosts; baseline: each host has an eighth of the limit`]
    }
  }
}

async function measure (seed: number, limit: Workspace['limits'], wrap: (source: SlotSource) => SlotSource): Promise<LimitFigures> {
  const workspace: Workspace = { name: 'w0', owner: 'experiment', weight: 1, limits: limit }
  const fleet = new TaskFleet({ seed, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, workspaces: [workspace] })
  await fleet.start()
  const entered: number[] = []
  const all = fleet.hosts.map((host) => new EntryTap(wrap(host.router), entered))
  const [first, second, ...others] = all
  const uneven = [first, second, first, second, first, second, ...others.slice(0, 2)].filter((source) => source !== undefined)
  const result = await runLoad(fleet, {
    workspaces: [{ workspace, requestsPerSecond: DEMAND * LIMIT, maxOpen: 2 * DEMAND * LIMIT }],
    durationMs: DURATION_MS,
    lengths: LENGTHS,
    seed,
    sources: uneven
  })
  await fleet.stop()
  const counted = fleet.admissions.filter((at) => at >= result.startedAt + WARM_UP_MS && at <= result.endedAt)
  return {
    worstSecond: worstSecond(fleet.admissions) / LIMIT,
    worstSecondOfSlots: worstSecond(entered) / LIMIT,
    used: counted.length / ((DURATION_MS - WARM_UP_MS) / 1_000) / LIMIT,
    refused: result.refused
  }
}

/** The most events within any second. */
function worstSecond (times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b)
  let first = 0
  const counts = sorted.map((at, index) => {
    while (at - (sorted[first] ?? at) >= 1_000) first += 1
    return index - first + 1
  })
  return Math.max(0, ...counts)
}

/** Notes when slots were granted, which follows at once since they are plenty; a refused caller pauses. */
class EntryTap implements SlotSource {
  readonly #source: SlotSource
  readonly #entered: number[]

  constructor (source: SlotSource, entered: number[]) {
    this.#source = source
    this.#entered = entered
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    const result = await this.#source.acquire(demand)
    if (result.granted) this.#entered.push(monotonicNow())
    else await new Promise((resolve) => setTimeout(resolve, CALLER_PAUSE_MS))
    return result
  }

  async release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void> {
    await this.#source.release(slot, end, actualTokens, traceparent)
  }
}

/** Baseline: each host keeps to a fixed share of the limit by itself. */
class FixedShareSource implements SlotSource {
  readonly #source: SlotSource
  readonly #account: LimitAccount

  constructor (source: SlotSource, share: number) {
    this.#source = source
    this.#account = new LimitAccount({ requestsPerSecond: share }, 0)
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    for (;;) {
      const { granted, retryAfterMs } = this.#account.requestGrant('', 0, [{ requests: 1, tokens: 0 }], monotonicNow())
      if (granted === 1) return await this.#source.acquire(demand)
      await new Promise((resolve) => setTimeout(resolve, retryAfterMs))
    }
  }

  async release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void> {
    await this.#source.release(slot, end, actualTokens, traceparent)
  }
}
