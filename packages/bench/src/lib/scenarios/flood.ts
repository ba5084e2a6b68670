import { worstShare } from '../fair-share.js'
import { ArrivalOrderSource, mean, quantile, runLoad } from '../open-load.js'
import { equalWorkspaces, TaskFleet } from '../task-fleet.js'
import type { SlotSource } from '@cyclamenthread/coordination'
import type { LoadResult } from '../open-load.js'
import type { ExperimentReport, Scenario } from '../scenario.js'

const WORKSPACES = 8
const SLOTS_PER_ENGINE = 8

/** Time per token, in milliseconds. */
const TOKEN_MS = 10

const LENGTHS = [32, 48, 64, 80, 96]
const DURATION_MS = 15_000

/** Time at the start that is not counted, in milliseconds. */
const WARM_UP_MS = 2_000

/** Demand of a workspace over the capacity of all engines. */
const USUAL_LOAD = 0.1

/** Demand of the flooding workspace over the capacity of all engines. */
const FLOOD_LOAD = 1.5

/** Requests that the flooding workspace has open at most. */
const FLOOD_OPEN = 400

/** Targets as stated. */
const MIN_SHARE = 0.9
const MAX_WAIT_RATIO = 1.5

/** How the other workspaces fare beside `w0`. */
interface FloodFigures {
  readonly worstShare: number
  readonly p99WaitMs: number
  readonly p50WaitMs: number
  readonly requests: number
  readonly refused: number
}

/** One workspace floods: fair order against order of arrival. */
export const flood: Scenario = {
  name: 'flood',
  question: 'How do seven workspaces fare while the eighth sends fifteen times as much?',
  async run (seed: number): Promise<ExperimentReport> {
    const calm = await measure(seed, USUAL_LOAD, (source) => source)
    const fair = await measure(seed, FLOOD_LOAD, (source) => source)
    const arrival = await measure(seed, FLOOD_LOAD, (source) => new ArrivalOrderSource(source))
    const ratio = fair.p99WaitMs / calm.p99WaitMs
    return {
      figures: [
        { name: 'worst-served workspace, share of its fair share', unit: 'ratio', baseline: arrival.worstShare, chosen: fair.worstShare, target: { text: `at least ${MIN_SHARE}`, met: fair.worstShare >= MIN_SHARE } },
        { name: 'p99 wait of the others, over that without the flood', unit: 'ratio', baseline: arrival.p99WaitMs / calm.p99WaitMs, chosen: ratio, target: { text: `at most ${MAX_WAIT_RATIO}`, met: ratio <= MAX_WAIT_RATIO } },
        { name: 'p99 wait of the others', unit: 'ms', baseline: arrival.p99WaitMs, chosen: fair.p99WaitMs },
        { name: 'median wait of the others', unit: 'ms', baseline: arrival.p50WaitMs, chosen: fair.p50WaitMs },
        { name: 'requests of the others answered', unit: 'requests', baseline: arrival.requests, chosen: fair.requests }
      ],
      notes: [
        `without the flood: p99 wait ${calm.p99WaitMs.toFixed(1)} ms, median ${calm.p50WaitMs.toFixed(1)} ms, worst share ${calm.worstShare.toFixed(3)}`,
        `refused: ${calm.refused} without the flood, ${fair.refused} in fair order, ${arrival.refused} in order of arrival`,
        'a slot is not taken back from a running request, so a request that finds all slots busy waits for the next one to end'
      ]
    }
  }
}

async function measure (seed: number, load: number, wrap: (source: SlotSource) => SlotSource): Promise<FloodFigures> {
  const workspaces = equalWorkspaces(WORKSPACES)
  const fleet = new TaskFleet({ seed, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, workspaces })
  await fleet.start()
  const perSecond = fleet.slots / (mean(LENGTHS) * TOKEN_MS / 1_000)
  const result = await runLoad(fleet, {
    workspaces: workspaces.map((workspace, index) => ({ workspace, requestsPerSecond: (index === 0 ? load : USUAL_LOAD) * perSecond, maxOpen: FLOOD_OPEN })),
    durationMs: DURATION_MS,
    lengths: LENGTHS,
    seed,
    sources: fleet.hosts.map((host) => wrap(host.router))
  })
  await fleet.stop()
  return figuresOf(result)
}

function figuresOf (result: LoadResult): FloodFigures {
  const from = result.startedAt + WARM_UP_MS
  const inWindow = (at: number): boolean => at >= from && at <= result.endedAt
  const names = Array.from({ length: WORKSPACES }, (_, index) => `w${index}`)
  const served = names.map((name) => {
    const own = result.traces.filter((trace) => trace.workspace === name)
    const tokens = (traces: typeof own): number => traces.reduce((sum, trace) => sum + trace.tokens, 0)
    const open = own.filter((trace) => inWindow(trace.arrivedAt) || (trace.arrivedAt < from && trace.grantedAt >= from))
    return { demanded: tokens(open), served: tokens(own.filter((trace) => inWindow(trace.grantedAt))) }
  })
  const others = result.traces.filter((trace) => trace.workspace !== 'w0' && inWindow(trace.arrivedAt))
  const waits = others.map((trace) => trace.grantedAt - trace.arrivedAt)
  return { worstShare: worstShare(served), p99WaitMs: quantile(waits, 0.99), p50WaitMs: quantile(waits, 0.5), requests: others.length, refused: result.refused }
}
