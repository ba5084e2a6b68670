import { LaggingSlotSource, LaggingEndpointClient } from '../lagging-slot-source.js'
import { mean, quantile, runPoissonLoad } from '../poisson-load.js'
import { seededRandom } from '../random.js'
import { createEqualWorkspaces, ENGINE_POOL, DispatchCluster } from '../dispatch-cluster.js'
import type { SlotSource } from '@cyclamenthread/coordination'
import type { EngineStandin } from '@cyclamenthread/standins'
import type { ExperimentReport, Scenario } from '../scenario.js'

/** Lag of load reports, in milliseconds: 15 s, scaled by 1/15. */
const LAG_MS = 1_000

/** Time that an engine takes per token, in milliseconds; a mean answer takes about two thirds of the lag. */
const TOKEN_MS = 10

const SLOTS_PER_ENGINE = 8

/** Answer lengths, in tokens. */
const LENGTHS = [32, 48, 64, 80, 96]
const DURATION_MS = 12_000

/** Demand as a share of capacity. */
const LOAD = 0.7

/** Period of sampling the engines' load, in milliseconds. */
const SAMPLE_PERIOD_MS = 25

/** Imbalance between engines, and the latency that it causes. */
interface LagFigures {
  /** Standard deviation of running and waiting requests between engines, averaged over time. */
  readonly spread: number
  readonly p99Ms: number
  readonly requests: number
}

/** Target for the spread with the chosen design, as a share of the baseline's. */
const MAX_SPREAD_RATIO = 0.25

/** Compares the slot count of a cell with load copies in the gateways while load reports lag 15 s. */
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
    const regionalEndpoints = endpoints.filter((endpoint) => endpoint.region === host.host.region)
    return new LaggingSlotSource(regionalEndpoints, host.endpoints, LAG_MS, seededRandom(seed * 100 + index), countsOwnRequests)
  })
}

async function measure (seed: number, sources: (cluster: DispatchCluster) => readonly SlotSource[]): Promise<LagFigures> {
  const workspaces = createEqualWorkspaces(8)
  const cluster = new DispatchCluster({ seed, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, workspaces, endpointClient: () => new LaggingEndpointClient(LAG_MS) })
  await cluster.start()
  const slotSources = sources(cluster)
  const requestsPerSecond = LOAD * cluster.slots / (mean(LENGTHS) * TOKEN_MS / 1_000) / workspaces.length
  const spreads: number[] = []
  const sampler = setInterval(() => spreads.push(loadDeviation(cluster.engines)), SAMPLE_PERIOD_MS)
  const result = await runPoissonLoad(cluster, {
    workspaces: workspaces.map((workspace) => ({ workspace, requestsPerSecond, maxOpen: 1_000 })),
    durationMs: DURATION_MS,
    lengths: LENGTHS,
    seed,
    sources: slotSources
  })
  clearInterval(sampler)
  for (const source of slotSources) if (source instanceof LaggingSlotSource) source.stop()
  await cluster.stop()
  // The engines fill up in the first sixth and empty in the last, so both are excluded.
  const steady = spreads.slice(Math.floor(spreads.length / 6), Math.floor(spreads.length * 5 / 6))
  return { spread: mean(steady), p99Ms: quantile(result.traces.map((trace) => trace.endedAt - trace.arrivedAt), 0.99), requests: result.traces.length }
}

function loadDeviation (engines: readonly EngineStandin[]): number {
  const loads = engines.map((engine) => engine.running + engine.waiting)
  const average = mean(loads)
  return Math.sqrt(mean(loads.map((load) => (load - average) ** 2)))
}
