import { failure, LedgerRecordKind, success } from '@cyclamenthread/state'
import { PlatformFailure } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom, VirtualClock } from '@cyclamenthread/standins'
import { PartitionOwner } from '../lib/partition-owner.js'
import { UsageTask } from '../lib/usage-task.js'
import { WriteBehind } from '../lib/write-behind.js'
import { createLossyLedger } from './lossy-ledger.js'
import { CandidateProcess, simulateOwnerFaults, partitionSettings } from './owner-simulation.js'
import { ProcessClock } from './process-clock.js'
import type { Host } from '@cyclamenthread/state'
import type { UsageWindow } from '@cyclamenthread/protocol'
import type { HostSettings } from '../lib/host-settings.js'
import type { ClaimFaults } from './claim-simulation.js'

const FAULT_PERIOD_MS = 10_000
const END_MS = 32_000
const PARTITIONS = 2
const HOSTS = 2
const LEADERS = 2
const GATEWAYS = 2
const ITEMS = 16

/** Random settings of one run. */
export type UsageFaults = Omit<ClaimFaults, 'crashes'>

/** A report as received by the platform. */
interface Report {
  readonly epoch: number
  readonly window: number
  readonly figures: string
}

/** Result of one simulation. */
export interface UsageRun {
  readonly reports: readonly Report[]
  readonly violations: readonly string[]
}

/** Simulates gateways that record usage in partitions whose owners change, and several hosts that contend for sealing and reporting it. */
export async function simulateUsage (faults: UsageFaults): Promise<UsageRun> {
  const random = seededRandom(faults.seed)
  const clock = new VirtualClock()
  const store = new MemoryStore(clock, random)
  const { lostAnswers, lostWrites, lateWrites } = faults
  Object.assign(store.faults, { jitterMs: 40, lostAnswers, lostWrites, lateWrites, latenessMs: 3_000 })
  const owners = Array.from({ length: PARTITIONS }, () => Array.from({ length: HOSTS }, () => new CandidateProcess(clock)))
  const settings = partitionSettings(random)
  for (const [partition, candidates] of owners.entries()) {
    simulateOwnerFaults(candidates, { ...settings, partition }, store, { clock, random, faults, endMs: FAULT_PERIOD_MS })
  }
  const isLost = (): boolean => clock.now() < FAULT_PERIOD_MS && random() < faults.lostMessages
  for (let gateway = 0; gateway < GATEWAYS; gateway++) void recordUsage(new ProcessClock(clock), owners, random, isLost, gateway)
  const reports: Report[] = []
  for (let index = 0; index < LEADERS; index++) void runLeader(index, store, new ProcessClock(clock), random, isLost, reports)
  void advanceWindows(owners, clock)
  await clock.run(END_MS)
  return { reports, violations: findViolations(reports) }
}

async function recordUsage (gateway: ProcessClock, owners: ReadonlyArray<readonly CandidateProcess[]>, random: () => number, isLost: () => boolean, index: number): Promise<void> {
  const ledger = createLossyLedger(gateway, owners, random, isLost)
  const writeBehind = new WriteBehind(ledger, { clock: gateway, random })
  for (let item = 0; item < ITEMS; item++) {
    await gateway.sleep(random() * 600)
    const usage = { requestId: `${index}/${item}`, workspace: 'w', entry: 'e', promptTokens: 1, answerTokens: 0, calls: 0 }
    void writeBehind.add(item % PARTITIONS, { kind: LedgerRecordKind.Usage, usage })
  }
}

/** Advances the windows of idle partitions, as the placement loop of each host does. */
async function advanceWindows (owners: ReadonlyArray<readonly CandidateProcess[]>, clock: VirtualClock): Promise<void> {
  for (;;) {
    await clock.sleep(500)
    for (const { owner } of owners.flat()) void owner?.advanceWindow()
  }
}

async function runLeader (index: number, store: MemoryStore, process: ProcessClock, random: () => number, isLost: () => boolean, reports: Report[]): Promise<void> {
  const self = { id: `host-${index}` } as Host
  const usageSettings = { self, incarnation: 'i', leaseMs: 1_000, storeTimeoutMs: 300, usageWindowMs: 700, ledgerPartitions: PARTITIONS } as HostSettings
  const task = new UsageTask(usageSettings, {
    members: { workers: () => [self] } as never,
    store,
    clock: process,
    advancePartition: async (partition) => {
      const owner = await PartitionOwner.takeOver({ ...partitionSettings(random), partition, owner: self.id }, store, () => undefined, process)
      await owner?.advanceWindow()
      await owner?.close(process.now())
    },
    platform: {
      reportUsage: async (window: UsageWindow, epoch: number) => {
        await process.sleep(random() * 50)
        if (isLost()) return failure(PlatformFailure.Unavailable)
        reports.push({ epoch, window: window.window, figures: JSON.stringify(window) })
        return isLost() ? failure(PlatformFailure.Unavailable) : success(undefined)
      }
    }
  })
  void (async () => {
    for (;;) {
      await task.renewLease()
      await process.sleep(333)
    }
  })()
  for (;;) {
    await task.closeDueWindows()
    await process.sleep(400)
  }
}

function findViolations (reports: readonly Report[]): string[] {
  const found: string[] = []
  const windows = new Map<number, string>()
  for (const { window, figures } of reports) {
    const before = windows.get(window)
    if (before !== undefined && before !== figures) found.push(`window ${window} was reported with different contents`)
    windows.set(window, figures)
  }
  const reported = [...windows.keys()].sort((a, b) => a - b)
  if (reported.some((window, index) => index > 0 && window !== (reported[index - 1] ?? 0) + 1)) found.push('a window was skipped')
  let billedItems = 0
  for (const figures of windows.values()) billedItems += (JSON.parse(figures) as UsageWindow).totals.reduce((sum, total) => sum + total.promptTokens, 0)
  if (billedItems !== GATEWAYS * ITEMS) found.push(`${GATEWAYS * ITEMS} items were used and ${billedItems} reported`)
  return found
}
