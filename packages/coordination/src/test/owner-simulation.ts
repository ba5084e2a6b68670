import { LedgerRecordKind } from '@cyclamenthread/state'
import { CommitStatus, ledgerHeadKey, parseLedgerHead, parseUsageSummary } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom, VirtualClock } from '@cyclamenthread/standins'
import { PartitionOwner } from '../lib/partition-owner.js'
import { ProcessClock } from './process-clock.js'
import type { LedgerRecord, UsageTotal } from '@cyclamenthread/state'
import type { PartitionSettings } from '../lib/partition-owner.js'

/** Virtual time during which faults are injected, and of the whole simulation, in milliseconds. */
const FAULT_PERIOD_MS = 12_000
const END_MS = 40_000

const SAMPLES = 12
const CLAIMS = 4
const HOSTS = 3
const SAMPLE_TEXT = 'x'.repeat(300)

/** Random settings of one run. */
export interface OwnerFaults {
  readonly seed: number
  readonly lostAnswers: number
  readonly lostWrites: number
  readonly lateWrites: number
  readonly outage: boolean
  readonly pauses: boolean
}

/** A record that a client commits, and the answers that it received. */
interface Attempt {
  readonly record: LedgerRecord
  readonly statuses: CommitStatus[]
}

/** A process that may own a partition. */
export class CandidateProcess extends ProcessClock {
  owner: PartitionOwner | undefined
}

/** Result of one simulation. */
export interface OwnerRun {
  readonly attempts: readonly Attempt[]
  readonly final: PartitionOwner
  readonly usage: readonly UsageTotal[]
  readonly violations: readonly string[]
}

/** Simulates processes that take over one partition from each other under faults, and clients that commit through all of them. */
export async function simulateOwners (faults: OwnerFaults): Promise<OwnerRun> {
  const random = seededRandom(faults.seed)
  const clock = new VirtualClock()
  const store = new MemoryStore(clock, random)
  Object.assign(store.faults, { jitterMs: 40, lostAnswers: faults.lostAnswers, lostWrites: faults.lostWrites, lateWrites: faults.lateWrites, latenessMs: 3_000 })
  const processes = Array.from({ length: HOSTS }, () => new CandidateProcess(clock))
  const settings = partitionSettings(random)
  simulateOwnerFaults(processes, settings, store, { clock, random, faults, endMs: FAULT_PERIOD_MS })
  const attempts = createRecords(random).map((record): Attempt => ({ record, statuses: [] }))
  const isBatchOpen = (): boolean => attempts.some(({ record, statuses }) => record.kind === LedgerRecordKind.BatchOpen && statuses.includes(CommitStatus.Committed))
  for (const attempt of attempts) void runClient(attempt, isBatchOpen, processes, clock, random)
  await clock.run(END_MS)
  const final = await loadFinalOwner(settings, store, clock)
  return { attempts, final, usage: totalUsage(store, final), violations: findViolations(attempts, final, totalUsage(store, final)) }
}

/** Returns settings under which seals, snapshots and window changes are frequent. */
export function partitionSettings (random: () => number): PartitionSettings {
  return {
    partition: 0,
    owner: '',
    usageWindowMs: 700,
    storeTimeoutMs: 500,
    answerRetentionMs: 1e9,
    claimRetentionMs: 1e9,
    writeRate: { ratePerSecond: 50, burst: 4 },
    sealing: { openCharacters: 2_000, snapshotSegments: 2 },
    random
  }
}

/** Clock, randomness and faults of a simulation. */
export interface SimulationContext {
  readonly clock: VirtualClock
  readonly random: () => number
  readonly faults: Pick<OwnerFaults, 'pauses' | 'outage'>
  /** Virtual time at which the faults end, in milliseconds. */
  readonly endMs: number
}

/** Makes processes take over a partition from each other, crash and pause, and the store go down, until the faults end. */
export function simulateOwnerFaults (processes: readonly CandidateProcess[], settings: PartitionSettings, store: MemoryStore, context: SimulationContext): void {
  const { clock, random, faults, endMs } = context
  let ownerCount = 0
  const takeOver = async (process: CandidateProcess): Promise<void> => {
    ownerCount += 1
    process.owner = await PartitionOwner.takeOver({ ...settings, owner: `host/${ownerCount}` }, store, () => undefined, process) ?? process.owner
  }
  const runProcess = async (process: CandidateProcess): Promise<void> => {
    for (;;) {
      await process.sleep(random() * 2_500)
      // A crash loses the owner object with all commits in flight.
      if (clock.now() < endMs && random() < 0.15) process.owner = undefined
      const isVacant = process.owner === undefined || process.owner.deposed
      if (isVacant && random() < 0.4) await takeOver(process)
    }
  }
  const injectFaults = async (): Promise<void> => {
    while (clock.now() < endMs) {
      await clock.sleep(random() * 2_000)
      const victim = processes[Math.floor(random() * processes.length)]
      if (faults.pauses && victim !== undefined) victim.pausedUntil = clock.now() + random() * 2_500
      if (faults.outage) store.faults.down = random() < 0.4
    }
    Object.assign(store.faults, { down: false, lostAnswers: 0, lostWrites: 0, lateWrites: 0 })
  }
  for (const process of processes) void runProcess(process)
  void injectFaults()
}

/** Sends a record to processes that believe they own the partition, until it is answered or the client gives up. */
async function runClient (attempt: Attempt, isBatchOpen: () => boolean, processes: readonly CandidateProcess[], clock: VirtualClock, random: () => number): Promise<void> {
  await clock.sleep(random() * 8_000)
  while (attempt.record.kind === LedgerRecordKind.Delivery && !isBatchOpen()) await clock.sleep(random() * 500)
  const maxAttempts = 1 + Math.floor(random() * 40)
  for (let sent = 0; sent < maxAttempts; sent++) {
    const owner = processes[Math.floor(random() * processes.length)]?.owner
    if (owner !== undefined) {
      const answer = await owner.commit([attempt.record], clock.now() + random() * 2_000)
      attempt.statuses.push(answer.status)
      if (answer.status === CommitStatus.Committed || answer.status === CommitStatus.Rejected) return
    }
    await clock.sleep(random() * 500)
  }
}

/** Creates records in random order: two deliveries of each sample, three requests for each claim, four opens of one batch. */
function createRecords (random: () => number): LedgerRecord[] {
  const deliveries = Array.from({ length: 2 * SAMPLES }, (_, index): LedgerRecord => {
    const sampleId = String(index % SAMPLES)
    return {
      kind: LedgerRecordKind.Delivery,
      workspace: 'w',
      batchId: 'b',
      sample: { sampleId, group: 'g', text: `${index}${SAMPLE_TEXT}`, versions: [], finishReason: 'stop' },
      usage: { requestId: `sample/${index}`, workspace: 'w', entry: 'e', promptTokens: 1, answerTokens: 2, calls: 0 }
    }
  })
  const claims = Array.from({ length: 3 * CLAIMS }, (_, index): LedgerRecord => ({
    kind: LedgerRecordKind.Claim, claimId: `c${index % CLAIMS}`, workspace: 'w', requestDigest: 'd', requestId: `r${index}`, claimedAt: 0
  }))
  const samples = Array.from({ length: SAMPLES }, (_, index) => ({ sampleId: String(index), group: 'g', prompt: '', maxTokens: 1, expectedTokens: 1 }))
  const open: LedgerRecord = { kind: LedgerRecordKind.BatchOpen, digest: 'd', order: { batchId: 'b', workspace: 'w', entry: 'e', samples } }
  return [...Array.from({ length: 4 }, () => open), ...deliveries, ...claims].sort(() => random() - 0.5)
}

export async function loadFinalOwner (settings: PartitionSettings, store: MemoryStore, clock: VirtualClock): Promise<PartitionOwner> {
  let final: PartitionOwner | undefined
  void PartitionOwner.takeOver({ ...settings, owner: 'checker' }, store, () => undefined, clock).then((owner) => {
    final = owner
  })
  await clock.run(clock.now() + 5_000)
  if (final === undefined) throw new Error('the partition can\'t be loaded')
  return final
}

/** Returns the usage of closed windows, from their summaries, and of the open one. */
export function totalUsage (store: MemoryStore, final: PartitionOwner): UsageTotal[] {
  const head = parseLedgerHead(store.peek(ledgerHeadKey(0)))
  const closed = head?.summaries.flatMap((summary) => parseUsageSummary(store.peek(summary.object?.key ?? '')) ?? []) ?? []
  return [...closed, ...final.state.usage(final.window)]
}

function findViolations (attempts: readonly Attempt[], final: PartitionOwner, usage: readonly UsageTotal[]): string[] {
  const found: string[] = []
  const events = final.state.batch('w/b')?.events ?? []
  const texts = events.flatMap((event) => event.kind === 'sample' ? [event.sample] : [])
  if (new Set(texts.map((sample) => sample.sampleId)).size !== texts.length) found.push('a sample was settled twice')
  const items = usage.reduce((sum, total) => sum + total.items, 0)
  if (items !== texts.length) found.push(`${texts.length} samples were delivered and ${items} billed`)
  for (const { record, statuses } of attempts) {
    const notWritten = !statuses.includes(CommitStatus.Committed) && !statuses.includes(CommitStatus.Unknown)
    if (record.kind === LedgerRecordKind.Claim) {
      const holder = final.state.claim(record.claimId)?.requestId
      if (statuses.includes(CommitStatus.Committed) && holder !== record.requestId) found.push(`${record.requestId} was answered as holding ${record.claimId}, which ${holder ?? 'nobody'} holds`)
      if (notWritten && holder === record.requestId) found.push(`${record.requestId} was answered as not written but holds ${record.claimId}`)
    }
    if (record.kind === LedgerRecordKind.Delivery) {
      if (statuses.includes(CommitStatus.Rejected)) found.push(`sample ${record.sample.sampleId} was rejected although its batch was open`)
      if (statuses.includes(CommitStatus.Committed) && !texts.some((sample) => sample.sampleId === record.sample.sampleId)) found.push(`sample ${record.sample.sampleId} was answered as committed but is lost`)
      if (notWritten && texts.some((sample) => sample.text === record.sample.text)) found.push(`sample ${record.sample.text.slice(0, 2)} was answered as not written but is delivered`)
    }
  }
  return found
}
