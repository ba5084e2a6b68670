import { notRun, Ran, RefusalReason, WorkClass } from '@cyclamenthread/state'
import { MemoryStore, seededRandom, VirtualClock } from '@cyclamenthread/standins'
import { ServiceRunner } from '../lib/service-runner.js'
import { WriteBehind } from '../lib/write-behind.js'
import { CandidateProcess, simulateOwnerFaults, loadFinalOwner, partitionSettings, totalUsage } from './owner-simulation.js'
import { createLossyLedger } from './lossy-ledger.js'
import { ProcessClock } from './process-clock.js'
import type { Entry } from '@cyclamenthread/state'
import type { EndpointClient } from '@cyclamenthread/protocol'
import type { CellRouter, SlotResult } from '../lib/cell-router.js'
import type { ServiceResult } from '../lib/service-runner.js'
import type { OwnerFaults } from './owner-simulation.js'

const FAULT_PERIOD_MS = 15_000
const END_MS = 120_000
const HOSTS = 2
const GATEWAYS = 3
const CALLS = 14
const KEYS = 3

/** Random settings of one run. */
export interface ClaimFaults extends OwnerFaults {
  /** Probability that a request or a reply between hosts is lost. */
  readonly lostMessages: number
  /** Whether gateways crash. */
  readonly crashes: boolean
}

/** A call and its result; without a result, its gateway crashed. */
interface Call {
  readonly requestId: string
  readonly workspace: string
  readonly key: string
  result?: ServiceResult
}

/** An execution of a call at an endpoint. */
interface Execution {
  readonly requestId: string
  readonly scope: string
}

/** Result of one simulation. */
export interface ClaimRun {
  readonly calls: readonly Call[]
  readonly executions: readonly Execution[]
  readonly violations: readonly string[]
}

const entry = {
  name: 'pitches', class: WorkClass.Booking, pool: 'bookings', idempotentMethods: ['GET'], timeoutMs: 10_000
} as unknown as Entry

/** Simulates callers that repeat non-idempotent calls through gateways that crash, with a ledger whose owners change. */
export async function simulateClaims (faults: ClaimFaults): Promise<ClaimRun> {
  const random = seededRandom(faults.seed)
  const clock = new VirtualClock()
  const store = new MemoryStore(clock, random)
  const { lostAnswers, lostWrites, lateWrites } = faults
  Object.assign(store.faults, { jitterMs: 40, lostAnswers, lostWrites, lateWrites, latenessMs: 3_000 })
  const owners = Array.from({ length: HOSTS }, () => new CandidateProcess(clock))
  const settings = partitionSettings(random)
  simulateOwnerFaults(owners, settings, store, { clock, random, faults, endMs: FAULT_PERIOD_MS })
  const executions: Execution[] = []
  const gateways = Array.from({ length: GATEWAYS }, () => new ProcessClock(clock))
  const runners = gateways.map((gateway) => createRunner(gateway, owners, clock, random, faults, executions))
  const calls = Array.from({ length: CALLS }, (_, index): Call => ({
    requestId: `r${index}`, workspace: random() < 0.8 ? 'desk' : 'other', key: String(Math.floor(random() * KEYS))
  }))
  for (const call of calls) void sendCall(call, runners[Math.floor(random() * GATEWAYS)], clock, random)
  if (faults.crashes) void killGateways(gateways, clock, random)
  await clock.run(END_MS)
  const final = await loadFinalOwner(settings, store, clock)
  const violations = [...findViolations(calls, executions)]
  for (const { requestId, result, workspace, key } of calls) {
    const claim = final.state.claim(`claim/${workspace}/pitches/${key}`)
    if (result?.ok === false && result.refusal.ran === Ran.No && claim?.requestId === requestId) violations.push(`${requestId} was reported as not run but holds its claim`)
    if (!faults.crashes && result?.ok === true && claim?.answer === undefined) violations.push(`${requestId} got an answer that is not recorded`)
  }
  const billedCalls = totalUsage(store, final).reduce((sum, total) => sum + total.calls, 0)
  const answeredCalls = new Set(calls.flatMap(({ result }) => result?.ok === true ? [Buffer.from(result.answer.body).toString()] : [])).size
  // A gateway that crashes after answering while the store is down loses the usage record; see docs/failures/ledger.md.
  if (!faults.crashes && billedCalls < answeredCalls) violations.push(`${answeredCalls} calls were answered and ${billedCalls} billed`)
  return { calls, executions, violations }
}

function findViolations (calls: readonly Call[], executions: readonly Execution[]): string[] {
  const found: string[] = []
  const scopes = executions.map((execution) => execution.scope)
  if (new Set(scopes).size !== scopes.length) found.push('a call ran twice')
  for (const { requestId, workspace, key, result } of calls) {
    const ran = executions.some((execution) => execution.requestId === requestId)
    if (result?.ok === false && result.refusal.ran === Ran.No && ran) found.push(`${requestId} was reported as not run but ran`)
    if (result?.ok !== true) continue
    const answeredBy = Buffer.from(result.answer.body).toString()
    if (!executions.some((execution) => execution.scope === `${workspace}/${key}` && execution.requestId === answeredBy)) found.push(`${requestId} got the answer of a different call`)
    if (result.replayed === ran) found.push(`${requestId} got an answer with a wrong replayed flag`)
  }
  return found
}

async function sendCall (call: Call, runner: ServiceRunner | undefined, clock: VirtualClock, random: () => number): Promise<void> {
  await clock.sleep(random() * FAULT_PERIOD_MS)
  call.result = await runner?.run({
    requestId: call.requestId,
    workspace: { name: call.workspace, owner: '', weight: 1, limits: {} },
    entry,
    method: 'POST',
    path: '/book',
    headers: [['scope', `${call.workspace}/${call.key}`]],
    body: Buffer.from(random() < 0.9 ? 'same' : 'different'),
    idempotencyKey: call.key,
    deadline: clock.now() + 10_000,
    traceparent: '',
    signal: new AbortController().signal
  })
}

async function killGateways (gateways: readonly ProcessClock[], clock: VirtualClock, random: () => number): Promise<void> {
  for (const gateway of gateways.slice(1)) {
    await clock.sleep(random() * FAULT_PERIOD_MS)
    gateway.pausedUntil = Infinity
  }
}

function createRunner (gateway: ProcessClock, owners: readonly CandidateProcess[], clock: VirtualClock, random: () => number, faults: ClaimFaults, executions: Execution[]): ServiceRunner {
  const isLost = (): boolean => clock.now() < FAULT_PERIOD_MS && random() < faults.lostMessages
  const ledger = createLossyLedger(gateway, [owners], random, isLost)
  return new ServiceRunner({
    router: createRouter(gateway, random),
    endpoints: createEndpoints(gateway, random, executions),
    ledger,
    writeBehind: new WriteBehind(ledger, { clock: gateway, random }),
    clock: gateway
  })
}

function createRouter (gateway: ProcessClock, random: () => number): Pick<CellRouter, 'acquire' | 'release'> {
  return {
    acquire: async (): Promise<SlotResult> => {
      await gateway.sleep(random() * 100)
      if (random() < 0.3) return { granted: false, refusal: notRun(RefusalReason.Overloaded, 'full') }
      return { granted: true, slot: { slotId: 's', cell: 'c', endpoint: { id: 'e' } as never } }
    },
    release: async () => undefined
  }
}

/** Creates a client of an endpoint whose connection fails before or after it executes a call. */
function createEndpoints (gateway: ProcessClock, random: () => number, executions: Execution[]): Pick<EndpointClient, 'callService'> {
  return {
    callService: async (_endpoint, call) => {
      const header = (name: string): string => call.headers.find(([known]) => known === name)?.[1] ?? ''
      const roll = random()
      await gateway.sleep(random() * 200)
      if (roll < 0.2) return { ok: false, sent: false, detail: 'refused' }
      if (roll < 0.3) return { ok: false, sent: true, detail: 'lost' }
      executions.push({ requestId: header('x-request-id'), scope: header('scope') })
      await gateway.sleep(random() * 200)
      if (roll < 0.4) return { ok: false, sent: true, detail: 'answer lost' }
      return { ok: true, status: 201, headers: [], body: Buffer.from(header('x-request-id')) }
    }
  }
}
