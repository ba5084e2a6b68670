import { minFairShareRatio } from '../fair-share.js'
import { FifoSlotSource, mean, quantile, runPoissonLoad } from '../poisson-load.js'
import { createEqualWorkspaces, DispatchCluster } from '../dispatch-cluster.js'
import type { SlotSource } from '@cyclamenthread/coordination'
import type { PoissonLoadResult } from '../poisson-load.js'
import type { ExperimentReport, Scenario } from '../scenario.js'

const WORKSPACES = 8
const SLOTS_PER_ENGINE = 8

/** Time that an engine takes per token, in milliseconds. */
const TOKEN_MS = 10

/** Answer lengths, in tokens. */
const LENGTHS = [32, 48, 64, 80, 96]
const DURATION_MS = 15_000

/** Time at the start that is excluded from the figures, in milliseconds. */
const WARM_UP_MS = 2_000

/** Demand of a normal workspace, as a share of the capacity of all engines. */
const NORMAL_LOAD = 0.1

/** Demand of the flooding workspace, as a share of the capacity of all engines. */
const FLOOD_LOAD = 1.5

/** Largest number of open requests per workspace, which bounds the flood. */
const FLOOD_MAX_OPEN = 400

/** Targets of the experiment. */
const MIN_SHARE = 0.9
const MAX_WAIT_RATIO = 1.5

/** Fairness over all workspaces, and waits of those other than `w0`, which floods. */
interface FloodFigures {
  readonly minShareRatio: number
  readonly p99WaitMs: number
  readonly p50WaitMs: number
  readonly requests: number
  readonly refused: number
}

/** Compares fair dispatch with order of arrival while one workspace floods the service. */
export const flood: Scenario = {
  name: 'flood',
  question: 'How do seven workspaces fare while the eighth sends fifteen times as much?',
  async run (seed: number): Promise<ExperimentReport> {
    const withoutFlood = await measure(seed, NORMAL_LOAD, (source) => source)
    const fair = await measure(seed, FLOOD_LOAD, (source) => source)
    const fifo = await measure(seed, FLOOD_LOAD, (source) => new FifoSlotSource(source))
    const waitRatio = fair.p99WaitMs / withoutFlood.p99WaitMs
    return {
      figures: [
        { name: 'worst-served workspace, share of its fair share', unit: 'ratio', baseline: fifo.minShareRatio, chosen: fair.minShareRatio, target: { text: `at least ${MIN_SHARE}`, met: fair.minShareRatio >= MIN_SHARE } },
        { name: 'p99 wait of the others, over that without the flood', unit: 'ratio', baseline: fifo.p99WaitMs / withoutFlood.p99WaitMs, chosen: waitRatio, target: { text: `at most ${MAX_WAIT_RATIO}`, met: waitRatio <= MAX_WAIT_RATIO } },
        { name: 'p99 wait of the others', unit: 'ms', baseline: fifo.p99WaitMs, chosen: fair.p99WaitMs },
        { name: 'median wait of the others', unit: 'ms', baseline: fifo.p50WaitMs, chosen: fair.p50WaitMs },
        { name: 'requests of the others answered', unit: 'requests', baseline: fifo.requests, chosen: fair.requests }
      ],
      notes: [
        `without the flood: p99 wait ${withoutFlood.p99WaitMs.toFixed(1)} ms, median ${withoutFlood.p50WaitMs.toFixed(1)} ms, worst share ${withoutFlood.minShareRatio.toFixed(3)}`,
        `refused: ${withoutFlood.refused} without the flood, ${fair.refused} in fair order, ${fifo.refused} in order of arrival`,
        'a slot is not taken back from a running request, so a request that finds all slots busy waits for the next one to end'
      ]
    }
  }
}

async function measure (seed: number, load: number, wrap: (source: SlotSource) => SlotSource): Promise<FloodFigures> {
  const workspaces = createEqualWorkspaces(WORKSPACES)
  const cluster = new DispatchCluster({ seed, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, workspaces })
  await cluster.start()
  const perSecond = cluster.slots / (mean(LENGTHS) * TOKEN_MS / 1_000)
  const result = await runPoissonLoad(cluster, {
    workspaces: workspaces.map((workspace, index) => ({ workspace, requestsPerSecond: (index === 0 ? load : NORMAL_LOAD) * perSecond, maxOpen: FLOOD_MAX_OPEN })),
    durationMs: DURATION_MS,
    lengths: LENGTHS,
    seed,
    sources: cluster.hosts.map((host) => wrap(host.router))
  })
  await cluster.stop()
  return computeFigures(result)
}

function computeFigures (result: PoissonLoadResult): FloodFigures {
  const from = result.startedAt + WARM_UP_MS
  const inWindow = (at: number): boolean => at >= from && at <= result.endedAt
  const names = Array.from({ length: WORKSPACES }, (_, index) => `w${index}`)
  const served = names.map((name) => {
    const workspaceTraces = result.traces.filter((trace) => trace.workspace === name)
    const tokens = (traces: typeof workspaceTraces): number => traces.reduce((sum, trace) => sum + trace.tokens, 0)
    const open = workspaceTraces.filter((trace) => inWindow(trace.arrivedAt) || (trace.arrivedAt < from && trace.grantedAt >= from))
    return { demanded: tokens(open), served: tokens(workspaceTraces.filter((trace) => inWindow(trace.grantedAt))) }
  })
  const others = result.traces.filter((trace) => trace.workspace !== 'w0' && inWindow(trace.arrivedAt))
  const waits = others.map((trace) => trace.grantedAt - trace.arrivedAt)
  return { minShareRatio: minFairShareRatio(served), p99WaitMs: quantile(waits, 0.99), p50WaitMs: quantile(waits, 0.5), requests: others.length, refused: result.refused }
}
