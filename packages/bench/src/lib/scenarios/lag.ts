import { LaggingSlotSource, LaggingEndpointClient } from '../lagging-slot-source.js'
import { mean, quantile, runPoissonLoad } from '../poisson-load.js'
import { seededRandom } from '../random.js'
import { createEqualWorkspaces, ENGINE_POOL, DispatchCluster } from '../dispatch-cluster.js'
import type { SlotSource } from '@cyclamenthread/coordination'
import type { EngineStandin } from '@cyclamenthread/standins'
import type { ExperimentReport, Scenario } from '../scenario.js'

/** 15 s of lag, scaled by 1/15, in milliseconds. */
const LAG_MS = 1_000

/** Time per token, in milliseconds: an answer takes about two thirds of the lag. */
const TOKEN_MS = 10

const SLOTS_PER_ENGINE = 8
const LENGTHS = [32, 48, 64, 80, 96]
const DURATION_MS = 12_000

/** Demand over capacity. */
const LOAD = 0.7

/** Period of looking at the engines, in milliseconds. */
const SAMPLE_PERIOD_MS = 25

/** The spread of work between engines and the wait it causes. */
interface LagFigures {
  /** Mean over time of the standard deviation of running and waiting requests between engines. */
  readonly spread: number
  readonly p99Ms: number
  readonly requests: number
}

/** How many times the spread of the chosen way goes into that of the baseline, at least. */
const MAX_SPREAD_RATIO = 0.25

/** Load reports lag 15 s: one count at the cell against lagging copies in the gateways. */
export const lag: Scenario = {
  name: 'lag',
  question: 'How evenly does work spread over engines while load reports lag 15 s (scaled by 1/15)?',
  async run (seed: number): Promise<ExperimentReport> {
    const chosen = await measure(seed, (cluster) => cluster.hosts.map((host) => host.router))
    const lagging = await measure(seed, (cluster) => createLaggingSources(cluster, seed, false))
    const counting = await measure(seed, (cluster) => createLaggingSources(cluster, seed, true))
    const spreadRatio = chosen.spread / lagging.spread
    return {
      figures: [
        { name: 'spread of running and waiting requests between engines, lagging copies', unit: 'standard deviation', baseline: lagging.spread, chosen: chosen.spread, target: { text: `at most ${MAX_SPREAD_RATIO} of the baseline`, met: spreadRatio <= MAX_SPREAD_RATIO } },
        { name: 'the same, copies that also count their own requests', unit: 'standard deviation', baseline: counting.spread, chosen: chosen.spread },
        { name: 'p99 of a whole request, lagging copies', unit: 'ms', baseline: lagging.p99Ms, chosen: chosen.p99Ms },
        { name: 'the same, copies that also count their own requests', unit: 'ms', baseline: counting.p99Ms, chosen: chosen.p99Ms },
        { name: 'requests answered', unit: 'requests', baseline: lagging.requests, chosen: chosen.requests }
      ],
      notes: [`spread: ${spreadRatio.toFixed(3)} of the lagging copies, ${(chosen.spread / counting.spread).toFixed(3)} of the counting copies`]
    }
  }
}

function createLaggingSources (cluster: DispatchCluster, seed: number, countsOwnRequests: boolean): LaggingSlotSource[] {
  const endpoints = cluster.endpoints(ENGINE_POOL)
  return cluster.hosts.map((host, index) => {
    const near = endpoints.filter((endpoint) => endpoint.region === host.host.region)
    return new LaggingSlotSource(near, host.endpoints, LAG_MS, seededRandom(seed * 100 + index), countsOwnRequests)
  })
}

async function measure (seed: number, sources: (cluster: DispatchCluster) => readonly SlotSource[]): Promise<LagFigures> {
  const workspaces = createEqualWorkspaces(8)
  const cluster = new DispatchCluster({ seed, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, workspaces, endpointClient: () => new LaggingEndpointClient(LAG_MS) })
  await cluster.start()
  const used = sources(cluster)
  const requestsPerSecond = LOAD * cluster.slots / (mean(LENGTHS) * TOKEN_MS / 1_000) / workspaces.length
  const spreads: number[] = []
  const sampler = setInterval(() => spreads.push(loadDeviation(cluster.engines)), SAMPLE_PERIOD_MS)
  const result = await runPoissonLoad(cluster, {
    workspaces: workspaces.map((workspace) => ({ workspace, requestsPerSecond, maxOpen: 1_000 })),
    durationMs: DURATION_MS,
    lengths: LENGTHS,
    seed,
    sources: used
  })
  clearInterval(sampler)
  for (const source of used) if (source instanceof LaggingSlotSource) source.stop()
  await cluster.stop()
  // The first and last parts fill and empty the engines.
  const steady = spreads.slice(Math.floor(spreads.length / 6), Math.floor(spreads.length * 5 / 6))
  return { spread: mean(steady), p99Ms: quantile(result.traces.map((trace) => trace.endedAt - trace.arrivedAt), 0.99), requests: result.traces.length }
}

function loadDeviation (engines: readonly EngineStandin[]): number {
  const loads = engines.map((engine) => engine.running + engine.waiting)
  const average = mean(loads)
  return Math.sqrt(mean(loads.map((load) => (load - average) ** 2)))
}
