import { LimitAccount } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import { runPoissonLoad } from '../poisson-load.js'
import { DispatchCluster } from '../dispatch-cluster.js'
import type { SlotDemand, SlotResult, SlotSource, Slot } from '@cyclamenthread/coordination'
import type { SlotEnd, Workspace } from '@cyclamenthread/state'
import type { ExperimentReport, Scenario } from '../scenario.js'

/** Limit of the workspace over all hosts, in requests per second. */
const LIMIT = 60

/** Demand as a multiple of the limit. */
const DEMAND = 3

const SLOTS_PER_ENGINE = 16
const TOKEN_MS = 2
const LENGTHS = [8]
const DURATION_MS = 15_000

/** Time at the start that is excluded from the utilisation, in milliseconds. */
const WARM_UP_MS = 2_000

/** Pause of a caller after a refusal, in milliseconds. */
const RETRY_DELAY_MS = 100

/** Targets of the experiment. */
const MAX_RATE_RATIO = 1.02
const MIN_UTILISATION = 0.95

/** How closely a limit was kept and how far it was used. */
interface LimitFigures {
  /** Most requests admitted within any second, as a ratio to the limit. */
  readonly peakRateRatio: number
  /** Most slots granted within any second, as a ratio to the limit; a grant follows admission by a round trip to the cell. */
  readonly peakGrantRatio: number
  /** Mean rate of admitted requests, as a ratio to the limit. */
  readonly utilisation: number
  readonly refused: number
}

/** Compares a shared limit account with fixed shares per host while two of eight hosts get most of the demand. */
export const limits: Scenario = {
  name: 'limits',
  question: 'Is a limit over all hosts kept in every second and used, when the demand is uneven between hosts?',
  async run (seed: number): Promise<ExperimentReport> {
    const account = await measure(seed, { requestsPerSecond: LIMIT }, (source) => source)
    const shares = await measure(seed, {}, (source) => new FixedShareSlotSource(source, LIMIT / 8))
    return {
      figures: [
        { name: 'worst second over the limit', unit: 'ratio', baseline: shares.peakRateRatio, chosen: account.peakRateRatio, target: { text: `at most ${MAX_RATE_RATIO}`, met: account.peakRateRatio <= MAX_RATE_RATIO } },
        { name: 'worst second over the limit, by when slots were granted', unit: 'ratio', baseline: shares.peakGrantRatio, chosen: account.peakGrantRatio },
        { name: 'used of the limit while demanded', unit: 'ratio', baseline: shares.utilisation, chosen: account.utilisation, target: { text: `at least ${MIN_UTILISATION}`, met: account.utilisation >= MIN_UTILISATION } },
        { name: 'refused', unit: 'requests', baseline: shares.refused, chosen: account.refused }
      ],
      notes: [`limit ${LIMIT} requests a second, demand ${DEMAND} times that, three quarters of it at two of eight hosts; baseline: each host has an eighth of the limit`]
    }
  }
}

async function measure (seed: number, limit: Workspace['limits'], wrap: (source: SlotSource) => SlotSource): Promise<LimitFigures> {
  const workspace: Workspace = { name: 'w0', owner: 'experiment', weight: 1, limits: limit }
  const cluster = new DispatchCluster({ seed, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, workspaces: [workspace] })
  await cluster.start()
  const grantTimes: number[] = []
  const recorders = cluster.hosts.map((host) => new GrantRecorder(wrap(host.router), grantTimes))
  const [first, second, ...others] = recorders
  const unevenSources = [first, second, first, second, first, second, ...others.slice(0, 2)].filter((source) => source !== undefined)
  const result = await runPoissonLoad(cluster, {
    workspaces: [{ workspace, requestsPerSecond: DEMAND * LIMIT, maxOpen: 2 * DEMAND * LIMIT }],
    durationMs: DURATION_MS,
    lengths: LENGTHS,
    seed,
    sources: unevenSources
  })
  await cluster.stop()
  const countedAdmissions = cluster.admissionTimes.filter((at) => at >= result.startedAt + WARM_UP_MS && at <= result.endedAt)
  return {
    peakRateRatio: maxPerSecond(cluster.admissionTimes) / LIMIT,
    peakGrantRatio: maxPerSecond(grantTimes) / LIMIT,
    utilisation: countedAdmissions.length / ((DURATION_MS - WARM_UP_MS) / 1_000) / LIMIT,
    refused: result.refused
  }
}

/** Returns the largest number of events within any second. */
function maxPerSecond (times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b)
  let first = 0
  const counts = sorted.map((at, index) => {
    while (at - (sorted[first] ?? at) >= 1_000) first += 1
    return index - first + 1
  })
  return Math.max(0, ...counts)
}

/** Records when slots are granted, at once after admission since slots are plentiful; delays the caller after a refusal. */
class GrantRecorder implements SlotSource {
  readonly #source: SlotSource
  readonly #grantTimes: number[]

  constructor (source: SlotSource, grantTimes: number[]) {
    this.#source = source
    this.#grantTimes = grantTimes
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    const result = await this.#source.acquire(demand)
    if (result.granted) this.#grantTimes.push(monotonicNow())
    else await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS))
    return result
  }

  async release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void> {
    await this.#source.release(slot, end, actualTokens, traceparent)
  }
}

/** Baseline: each host enforces a fixed share of the limit on its own. */
class FixedShareSlotSource implements SlotSource {
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
