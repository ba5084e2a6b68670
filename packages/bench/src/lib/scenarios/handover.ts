import { cellOwner } from '@cyclamenthread/coordination'
import { HostState, partitionIntoCells } from '@cyclamenthread/state'
import { runPoissonLoad } from '../poisson-load.js'
import { createEqualWorkspaces, DispatchCluster } from '../dispatch-cluster.js'
import type { ExperimentReport, Scenario } from '../scenario.js'

const SLOTS_PER_ENGINE = 8

/** Time that an engine takes per token, in milliseconds. */
const TOKEN_MS = 10

/** Answer lengths, in tokens. */
const LENGTHS = [128, 192]
const DURATION_MS = 8_000

/** Time from the start of the load until the owner of a cell leaves, in milliseconds. */
const LEAVE_AFTER_MS = 4_000

/** Demand as a share of capacity; above 1, so that queues form and a new owner has requests to grant at once. */
const LOAD = 1.3

/** Period of sampling the engines' load, in milliseconds. */
const SAMPLE_PERIOD_MS = 5

/** Overload caused by a change of the owner. */
interface HandoverFigures {
  /** Largest ratio of running and waiting requests to slots on any engine. */
  readonly peak: number
  readonly refused: number
  readonly answered: number
}

/** Changes the owner of a cell under load: the new owner asks gateways for held slots, or assumes that all are free. */
export const handover: Scenario = {
  name: 'handover',
  question: 'How far beyond its slots is an engine loaded when its cell changes the owner under load?',
  async run (seed: number): Promise<ExperimentReport> {
    const chosen = await measure(seed, true)
    const baseline = await measure(seed, false)
    return {
      figures: [
        { name: 'most requests on one engine over its slots', unit: 'ratio', baseline: baseline.peak, chosen: chosen.peak },
        { name: 'requests refused', unit: 'requests', baseline: baseline.refused, chosen: chosen.refused },
        { name: 'requests answered', unit: 'requests', baseline: baseline.answered, chosen: chosen.answered }
      ],
      notes: ['baseline: gateways tell the new owner nothing, and load reports alone correct it']
    }
  }
}

async function measure (seed: number, reportsHeldSlots: boolean): Promise<HandoverFigures> {
  const workspaces = createEqualWorkspaces(4)
  const cluster = new DispatchCluster({ seed, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, workspaces, reportsHeldSlots })
  await cluster.start()
  let peak = 0
  const sampler = setInterval(() => {
    for (const engine of cluster.engines) peak = Math.max(peak, (engine.running + engine.waiting) / SLOTS_PER_ENGINE)
  }, SAMPLE_PERIOD_MS)
  const leaveTimer = setTimeout(() => markOwnerLeaving(cluster), LEAVE_AFTER_MS)
  const result = await runPoissonLoad(cluster, {
    workspaces: workspaces.map((workspace) => ({ workspace, requestsPerSecond: LOAD * cluster.slots / 1.6 / workspaces.length, maxOpen: 60 })),
    durationMs: DURATION_MS,
    lengths: LENGTHS,
    seed,
    sources: cluster.hosts.map((host) => host.router)
  })
  clearInterval(sampler)
  clearTimeout(leaveTimer)
  await cluster.stop()
  return { peak, refused: result.refused, answered: result.traces.length }
}

/** Marks the owner of the first cell as leaving in the member views of all hosts. */
function markOwnerLeaving (cluster: DispatchCluster): void {
  const [first] = cluster.hosts
  const [cell] = partitionIntoCells(cluster.catalogueView)
  if (first === undefined || cell === undefined) return
  const owner = cellOwner(cell, first.members.workers())
  for (const host of cluster.hosts) host.members.setState(owner?.id ?? '', HostState.Leaving)
}
