import { LedgerRecordKind } from '@cyclamenthread/state'
import { DEFAULT_SEALING_SETTINGS, PartitionOwner } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom, VirtualClock } from '@cyclamenthread/standins'
import type { LedgerRecord } from '@cyclamenthread/state'
import type { PartitionSettings } from '@cyclamenthread/coordination'

/** Virtual duration of each measurement, in milliseconds. */
const MEASURED_MS = 20_000

/** Store writes per second that the heads of all partitions share, as in the ledger task. */
const HEAD_WRITES_PER_SECOND = 180

/** Characters of a sample's text: 250 tokens of about four characters each. */
const SAMPLE_CHARACTERS = 1_000

/** Samples per batch; a trainer acknowledges an eighth at a time. */
const BATCH_SAMPLES = 512

const SECOND_MS = 1000

/** Cost of the ledger at one size. An operation is one delivered sample, or one call that was claimed and answered. */
export interface LedgerSlopeRow {
  readonly partitions: number
  readonly operationsPerSecond: number
  readonly storeWritesPerSecond: number
  readonly storeReadsPerSecond: number
  /** Processor time of the partition owners and the store stand-in, in microseconds. */
  readonly cpuMicrosPerOperation: number
  readonly bytesPerOperation: number
  /** Virtual time that a commit takes, in milliseconds. */
  readonly commitP50Ms: number
  readonly commitP99Ms: number
  readonly largestValueBytes: number
  /** Size of the state that a partition keeps per fully acknowledged batch. */
  readonly stateBytesPerBatch: number
  readonly snapshots: number
}

/** A size of the ledger; the rates grow with the number of partitions. */
interface LedgerSize {
  readonly partitions: number
  readonly samplesPerSecond: number
  readonly callsPerSecond: number
}

/** Eight to 64 partitions, 16 being the current number, at up to the peak of 1,800 requests per second. */
const SIZES: readonly LedgerSize[] = [
  { partitions: 8, samplesPerSecond: 150, callsPerSecond: 25 },
  { partitions: 16, samplesPerSecond: 350, callsPerSecond: 50 },
  { partitions: 32, samplesPerSecond: 800, callsPerSecond: 100 },
  { partitions: 64, samplesPerSecond: 1_600, callsPerSecond: 200 }
]

/**
 * Measures the ledger at four sizes with an in-memory object service.
 *
 * @example
 * for (const row of await measureLedger(1)) console.log(row)
 */
export async function measureLedger (seed: number): Promise<LedgerSlopeRow[]> {
  const rows: LedgerSlopeRow[] = []
  for (const size of SIZES) rows.push(await measureSize(size, seed))
  return rows
}

async function measureSize (size: LedgerSize, seed: number): Promise<LedgerSlopeRow> {
  const random = seededRandom(seed)
  const clock = new VirtualClock()
  const store = new MemoryStore(clock, random)
  store.faults.jitterMs = 8
  const owners = await Promise.all(Array.from({ length: size.partitions }, (_, partition) => partition).map(async (partition) => {
    const owner = PartitionOwner.takeOver(createPartitionSettings(partition, size.partitions, random), store, () => undefined, clock)
    await clock.run(clock.now() + 50)
    return await owner
  }))
  const load = new LedgerLoad(owners.flatMap((owner) => owner ?? []), clock, random)
  const before = { ...store.counts }
  const cpu = process.cpuUsage()
  load.start(size)
  await clock.run(clock.now() + MEASURED_MS)
  const used = process.cpuUsage(cpu)
  const seconds = MEASURED_MS / SECOND_MS
  const operations = Math.max(1, load.operations)
  const latencies = load.latencies.sort((a, b) => a - b)
  return {
    partitions: size.partitions,
    operationsPerSecond: operations / seconds,
    storeWritesPerSecond: (store.counts.writes - before.writes) / seconds,
    storeReadsPerSecond: (store.counts.reads - before.reads) / seconds,
    cpuMicrosPerOperation: (used.user + used.system) / operations,
    bytesPerOperation: (store.counts.bytesWritten - before.bytesWritten) / operations,
    commitP50Ms: latencies[Math.floor(latencies.length * 0.5)] ?? 0,
    commitP99Ms: latencies[Math.floor(latencies.length * 0.99)] ?? 0,
    largestValueBytes: store.counts.largestValue,
    stateBytesPerBatch: load.stateBytesPerBatch(),
    snapshots: owners.reduce((sum, owner) => sum + (owner?.counters.snapshots ?? 0), 0)
  }
}

function createPartitionSettings (partition: number, partitions: number, random: () => number): PartitionSettings {
  const ratePerSecond = HEAD_WRITES_PER_SECOND / partitions
  return {
    partition,
    owner: 'slope',
    usageWindowMs: 60_000,
    storeTimeoutMs: 2_000,
    answerRetentionMs: 3_600_000,
    claimRetentionMs: 86_400_000,
    writeRate: { ratePerSecond, burst: Math.max(2, ratePerSecond) },
    sealing: DEFAULT_SEALING_SETTINGS,
    random
  }
}

/** Commits samples and calls at a steady rate, spread over the partitions. */
class LedgerLoad {
  readonly #owners: readonly PartitionOwner[]
  readonly #clock: VirtualClock
  readonly #random: () => number
  readonly latencies: number[] = []
  operations = 0
  #sequence = 0

  constructor (owners: readonly PartitionOwner[], clock: VirtualClock, random: () => number) {
    this.#owners = owners
    this.#clock = clock
    this.#random = random
  }

  start (size: LedgerSize): void {
    const perPartition = size.samplesPerSecond / size.partitions
    for (const owner of this.#owners) void this.#runTrainer(owner, SECOND_MS / perPartition)
    void this.#runCallers(SECOND_MS / size.callsPerSecond)
  }

  /** Returns the mean size of the state kept for a delivered and acknowledged batch, in bytes. */
  stateBytesPerBatch (): number {
    const finished = this.#owners.flatMap((owner) => owner.state.batches()).filter((batch) => batch.acknowledged === batch.total)
    return finished.length === 0 ? 0 : JSON.stringify(finished).length / finished.length
  }

  async #commit (owner: PartitionOwner, record: LedgerRecord): Promise<void> {
    const startedAt = this.#clock.now()
    await owner.commit([record], startedAt + 60_000)
    this.latencies.push(this.#clock.now() - startedAt)
  }

  async #runTrainer (owner: PartitionOwner, meanIntervalMs: number): Promise<void> {
    for (;;) {
      this.#sequence += 1
      const batchId = `step-${this.#sequence}`
      const samples = Array.from({ length: BATCH_SAMPLES }, (_, index) => ({ sampleId: String(index), group: String(index >> 3), prompt: 'x'.repeat(200), maxTokens: 256, expectedTokens: 250 }))
      await this.#commit(owner, { kind: LedgerRecordKind.BatchOpen, digest: batchId, order: { batchId, workspace: 'w', entry: 'e', samples } })
      for (const { sampleId, group } of samples) {
        await this.#clock.sleep(meanIntervalMs * 2 * this.#random())
        void this.#deliverSample(owner, batchId, sampleId, group)
      }
    }
  }

  async #deliverSample (owner: PartitionOwner, batchId: string, sampleId: string, group: string): Promise<void> {
    await this.#commit(owner, {
      kind: LedgerRecordKind.Delivery,
      workspace: 'w',
      batchId,
      sample: { sampleId, group, text: 'x'.repeat(SAMPLE_CHARACTERS), versions: [{ version: 1, tokens: 250 }], finishReason: 'stop' },
      usage: { requestId: `${batchId}/${sampleId}`, workspace: 'w', entry: 'e', promptTokens: 50, answerTokens: 250, calls: 0 }
    })
    this.operations += 1
    const delivered = owner.state.batch(`w/${batchId}`)?.delivered ?? 0
    if (delivered % (BATCH_SAMPLES / 8) === 0) void this.#commit(owner, { kind: LedgerRecordKind.Acknowledgement, workspace: 'w', batchId, cursor: delivered })
  }

  async #runCallers (meanIntervalMs: number): Promise<void> {
    for (;;) {
      await this.#clock.sleep(meanIntervalMs * 2 * this.#random())
      const owner = this.#owners[Math.floor(this.#random() * this.#owners.length)]
      if (owner !== undefined) void this.#claimAndAnswer(owner)
    }
  }

  async #claimAndAnswer (owner: PartitionOwner): Promise<void> {
    this.#sequence += 1
    const requestId = `call-${this.#sequence}`
    const claimId = `claim/desk/pitches/${requestId}`
    await this.#commit(owner, { kind: LedgerRecordKind.Claim, claimId, workspace: 'desk', requestDigest: 'd'.repeat(64), requestId, claimedAt: 0 })
    const usage = { requestId, workspace: 'desk', entry: 'pitches', promptTokens: 0, answerTokens: 0, calls: 1 }
    await this.#commit(owner, { kind: LedgerRecordKind.Answer, claimId, requestId, answer: { status: 201, headers: [['content-type', 'application/json']], body: Buffer.alloc(200) }, usage })
    this.operations += 1
  }
}
