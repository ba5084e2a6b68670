import { Cell, CellEffectKind, CellEventKind, FencingSupport, RequestOrigin, SlotEnd, WorkClass } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { isSummaryDue } from '@cyclamenthread/coordination'
import { encodeFrame } from '@cyclamenthread/transport'
import { seededRandom } from '../random.js'
import type { CellSummary, Endpoint, SlotRequest } from '@cyclamenthread/state'

/** Requests that pass through a cell per measured row. */
const REQUESTS = 20_000

/** Size that grows from row to row. */
export enum DispatchAxis {
  WaitingRequests = 'waiting requests in a cell',
  EndpointsPerCell = 'endpoints in a cell',
  CellsPerRegion = 'cells in a region'
}

/** Cost of the dispatcher at one size. */
export interface DispatchSlopeRow {
  readonly axis: DispatchAxis
  readonly size: number
  /** Processor time of the cell per request, in microseconds; undefined if not measured on this axis. */
  readonly cpuMicrosPerRequest: number | undefined
  /** Heap used by the cell's state, in bytes; undefined if not measured on this axis. */
  readonly stateBytes: number | undefined
  /** Bytes of cell summaries that a gateway receives per second; undefined if not measured on this axis. */
  readonly summaryBytesPerSecond: number | undefined
}

/** Measures the dispatcher at four sizes on each axis. */
export function measureDispatch (): DispatchSlopeRow[] {
  return [
    ...[10, 100, 1_000, 10_000].map((size) => measureCell(DispatchAxis.WaitingRequests, size, 24, size)),
    ...[3, 6, 12, 24].map((size) => measureCell(DispatchAxis.EndpointsPerCell, size, size, 100)),
    ...[5, 10, 20, 40].map((size) => measureSummaries(size))
  ]
}

/** Measures a cell in which the number of waiting requests stays constant. */
function measureCell (axis: DispatchAxis, size: number, endpoints: number, waiting: number): DispatchSlopeRow {
  const heapBefore = heapUsedBytes()
  const cell = createCell(endpoints)
  const running: string[] = []
  let now = 0
  let sequence = 0
  const step = (event: Parameters<Cell['step']>[0]): void => {
    for (const effect of cell.step(event, now)) if (effect.kind === CellEffectKind.Grant) running.push(effect.grant.slotId)
  }
  const arrive = (): void => step({ kind: CellEventKind.Request, request: createRequest(sequence++) })
  while (cell.waiting().length < waiting) arrive()
  const stateBytes = Math.max(0, heapUsedBytes() - heapBefore)
  const before = process.cpuUsage()
  for (let index = 0; index < REQUESTS; index++) {
    now += 1
    arrive()
    step({ kind: CellEventKind.Release, slotId: running.shift() ?? '', end: SlotEnd.Finished, actualTokens: 200 })
  }
  const cpuUsed = process.cpuUsage(before)
  return { axis, size, cpuMicrosPerRequest: (cpuUsed.user + cpuUsed.system) / REQUESTS, stateBytes, summaryBytesPerSecond: undefined }
}

function createCell (endpoints: number): Cell {
  const cell = new Cell({ name: 'engines/domain-1/0', incarnation: 'life', queueLimit: 100_000, leaseGraceMs: 5_000, opensAt: 0 })
  for (let index = 0; index < endpoints; index++) {
    const endpoint: Endpoint = { id: `engine-${index}`, url: 'http://127.0.0.1:1', region: 'r', failureDomain: 'd', slots: 16, cheap: false, fencing: FencingSupport.Checked }
    cell.step({ kind: CellEventKind.EndpointUp, endpoint }, 0)
  }
  return cell
}

function createRequest (index: number): SlotRequest {
  return {
    requestId: `request-${index}`,
    workspace: `workspace-${index % 17}`,
    weight: 1,
    class: WorkClass.Training,
    entry: `entry-${index % 5}`,
    gateway: `host-${index % 60}`,
    expectedTokens: 100 + index % 200,
    promptTokens: 50,
    prefix: `prefix-${index % 1_000}`,
    digest: `digest-${index}`,
    origin: RequestOrigin.Caller,
    suspect: false,
    excluded: [],
    deadline: 1e12
  }
}

/** Simulates a minute of busy cells and measures the summaries that `isSummaryDue` lets pass. */
function measureSummaries (cells: number): DispatchSlopeRow {
  const random = seededRandom(cells)
  const periodMs = 500
  const seconds = 60
  let bytes = 0
  for (let cell = 0; cell < cells; cell++) {
    let lastSent: { readonly summary: CellSummary, readonly at: number } | undefined
    let freeSlots = 40
    for (let now = 0; now < seconds * 1_000; now += periodMs) {
      freeSlots = Math.min(384, Math.max(0, freeSlots + Math.round((random() - 0.5) * 40)))
      const summary: CellSummary = { cell: `engines/domain-${cell}/0`, freeSlots, totalSlots: 384, waiting: 0, expectedTokensQueued: 0, waitMs: 0 }
      if (!isSummaryDue(summary, lastSent, now)) continue
      lastSent = { summary, at: now }
      const body = { kind: PeerMessageKind.PushSummaries, cells: [summary] }
      bytes += encodeFrame({ kind: 'call', id: 0, left: 0, traceparent: '', body }).length
    }
  }
  return { axis: DispatchAxis.CellsPerRegion, size: cells, cpuMicrosPerRequest: undefined, stateBytes: undefined, summaryBytesPerSecond: bytes / seconds }
}

/** Returns the heap in use, after a garbage collection if the process was started with `--expose-gc`. */
function heapUsedBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
