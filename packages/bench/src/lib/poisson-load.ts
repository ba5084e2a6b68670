import { RequestOrigin } from '@cyclamenthread/state'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { seededRandom } from './random.js'
import type { SlotEnd, Workspace } from '@cyclamenthread/state'
import type { Slot, SlotDemand, SlotResult, SlotSource } from '@cyclamenthread/coordination'
import type { DispatchCluster } from './dispatch-cluster.js'

/** Deadline of each request from its arrival, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000

/** Load of one workspace: Poisson arrivals, independent of responses up to `maxOpen`. */
export interface WorkspaceLoad {
  readonly workspace: Workspace
  readonly requestsPerSecond: number
  /** Largest number of open requests; arrivals beyond it are dropped. */
  readonly maxOpen: number
}

/** Times of one answered request, in monotonic milliseconds. */
export interface RequestTrace {
  readonly workspace: string
  readonly arrivedAt: number
  readonly grantedAt: number
  readonly endedAt: number
  readonly tokens: number
  readonly endpoint: string
}

/** Load of several workspaces with Poisson arrivals, sent to the hosts in turn. */
export interface PoissonLoad {
  readonly workspaces: readonly WorkspaceLoad[]
  readonly durationMs: number
  /** Answer lengths in tokens; each request draws one of them uniformly. */
  readonly lengths: readonly number[]
  readonly seed: number
  /** Slot source of each host. */
  readonly sources: readonly SlotSource[]
}

/** Outcome of a load run. */
export interface PoissonLoadResult {
  readonly traces: readonly RequestTrace[]
  readonly refused: number
  readonly startedAt: number
  readonly endedAt: number
}

/** Runs a load and waits for the requests that are still open when its duration is over. */
export async function runPoissonLoad (cluster: DispatchCluster, load: PoissonLoad): Promise<PoissonLoadResult> {
  const startedAt = monotonicNow()
  const traces: RequestTrace[] = []
  const counts = { refused: 0, sequence: 0 }
  await Promise.all(load.workspaces.map(async (workspaceLoad, position) => {
    // A random source per workspace keeps its load the same whatever the other workspaces do.
    const random = seededRandom(load.seed * 1_000 + position)
    const openRequests = new Set<Promise<void>>()
    let nextArrivalAt = startedAt
    while (nextArrivalAt < startedAt + load.durationMs) {
      nextArrivalAt += -Math.log(1 - random()) * 1_000 / workspaceLoad.requestsPerSecond
      const maxTokens = load.lengths[Math.floor(random() * load.lengths.length)] ?? 8
      await new Promise((resolve) => setTimeout(resolve, Math.max(0, nextArrivalAt - monotonicNow())))
      if (openRequests.size >= workspaceLoad.maxOpen) continue
      const index = counts.sequence++
      const source = load.sources[index % load.sources.length] as SlotSource
      const run = runRequest(cluster, source, index % load.sources.length, workspaceLoad.workspace, maxTokens, `${workspaceLoad.workspace.name}-${index}`).then((trace) => {
        if (trace === undefined) counts.refused += 1
        else traces.push(trace)
      })
      openRequests.add(run)
      void run.finally(() => openRequests.delete(run))
    }
    await Promise.all(openRequests)
  }))
  return { traces, refused: counts.refused, startedAt, endedAt: startedAt + load.durationMs }
}

async function runRequest (cluster: DispatchCluster, source: SlotSource, host: number, workspace: Workspace, maxTokens: number, requestId: string): Promise<RequestTrace | undefined> {
  const arrivedAt = monotonicNow()
  const recorder = new GrantTimeRecorder(source)
  const result = await cluster.hosts[host]?.createRunner(recorder).run({
    requestId,
    origin: RequestOrigin.Caller,
    workspace,
    entry: cluster.entry,
    prompt: `critique ${requestId}`,
    maxTokens,
    expectedTokens: maxTokens,
    deadline: deadlineAfter(REQUEST_TIMEOUT_MS),
    traceparent: ''
  })
  if (result?.ok !== true) return undefined
  return { workspace: workspace.name, arrivedAt, grantedAt: recorder.grantedAt, endedAt: monotonicNow(), tokens: maxTokens, endpoint: result.endpoint }
}

/** Forwards to a slot source and records when it answered the last `acquire`. */
class GrantTimeRecorder implements SlotSource {
  grantedAt = 0
  readonly #source: SlotSource

  constructor (source: SlotSource) {
    this.#source = source
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    const result = await this.#source.acquire(demand)
    this.grantedAt = monotonicNow()
    return result
  }

  async release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void> {
    await this.#source.release(slot, end, actualTokens, traceparent)
  }
}

/** Baseline for fairness: reports all requests under one workspace, so that a cell serves them in order of arrival. */
export class FifoSlotSource implements SlotSource {
  readonly #source: SlotSource

  constructor (source: SlotSource) {
    this.#source = source
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    return await this.#source.acquire({ ...demand, workspace: 'all', weight: 1 })
  }

  async release (slot: Slot, end: SlotEnd, actualTokens: number, traceparent: string): Promise<void> {
    await this.#source.release(slot, end, actualTokens, traceparent)
  }
}

/** Returns the quantile of `values` at `share` (0 to 1); 0 if there are none. */
export function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}

/** Returns the arithmetic mean; 0 if there are no values. */
export function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
