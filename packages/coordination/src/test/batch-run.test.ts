import test from 'ava'
import fc from 'fast-check'
import { EntryKind, FencingSupport, IsolationPolicy, LedgerRecordKind, notRun, RefusalReason, VersionTracker, StragglerPlanner, WorkClass } from '@cyclamenthread/state'
import { CommitStatus, CompletionPartKind } from '@cyclamenthread/protocol'
import { seededRandom } from '@cyclamenthread/standins'
import { DEFAULT_BATCH_POLICY } from '../lib/batch-context.js'
import { BatchRun } from '../lib/batch-run.js'
import type { BatchState, Endpoint, LedgerRecord, VersionSpan } from '@cyclamenthread/state'
import type { CommitResponse } from '@cyclamenthread/protocol'
import type { BatchContext, BatchCounters } from '../lib/batch-context.js'
import type { CatalogueSource } from '../lib/catalogue-task.js'
import type { CompletionOrder, CompletionResult, CompletionRunner } from '../lib/completion-runner.js'
import type { PartitionOwner } from '../lib/partition-owner.js'

const SEED = 20_261_210
const RUNS = 1_000
const TOKENS = 4
const MAX_TURNS = 4_000
/** Prompt that every endpoint refuses as malformed. */
const MALFORMED = 'malformed'
/** Prompt under which several endpoints were lost; it is refused as long as there are faults. */
const UNLUCKY = 'unlucky'

const endpoints = ['a', 'b', 'c'].map((id): Endpoint => ({ id, url: 'http://127.0.0.1:1', region: 'r', failureDomain: 'd', slots: 8, cheap: true, fencing: FencingSupport.Checked }))

/** Random settings of one run; rates are from 0 to 1. */
interface FaultSettings {
  readonly seed: number
  readonly samples: number
  readonly bound: number
  readonly releases: number
  readonly failedRuns: number
  readonly unnamedRuns: number
  readonly failedCommits: number
  readonly reclaims: number
  readonly copies: number
}

const faultRate = fc.constantFrom(0, 0.1, 0.4)
const faultArbitrary: fc.Arbitrary<FaultSettings> = fc.record({
  seed: fc.integer(),
  samples: fc.integer({ min: 1, max: 12 }),
  bound: fc.integer({ min: 0, max: 2 }),
  releases: faultRate,
  failedRuns: faultRate,
  unnamedRuns: faultRate,
  failedCommits: faultRate,
  reclaims: faultRate,
  copies: faultRate
})

async function nextTurn (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}

/** Runs a batch against fakes of its dependencies, with releases, failures, copies and reclaims at random turns. */
class BatchHarness {
  readonly violations: string[] = []
  readonly committed = new Map<string, LedgerRecord>()
  readonly counters: BatchCounters = { delivered: 0, failed: 0, discardedStale: 0, discardedUnnamed: 0, retried: 0, copies: 0, copiesWon: 0, moved: 0, wastedTokens: 0 }
  readonly run: BatchRun
  readonly #faults: FaultSettings
  readonly #random: () => number
  released = 1
  faultsEnded = false

  constructor (faults: FaultSettings) {
    this.#faults = faults
    this.#random = seededRandom(faults.seed)
    const samples = Array.from({ length: faults.samples }, (_, index) => ({ sampleId: `s${index}`, group: `g${index % 3}`, prompt: [MALFORMED, UNLUCKY][index] ?? 'p', maxTokens: TOKENS, expectedTokens: TOKENS }))
    const batch = { order: { batchId: 'b', workspace: 'w', entry: 'e', samples }, settled: new Set<string>(), cancelled: false } as unknown as BatchState
    const owner = { deposed: false, commit: async (records: readonly LedgerRecord[], _deadline: number, isStillValid?: () => boolean) => await this.#commit(records, isStillValid) } as unknown as PartitionOwner
    this.run = new BatchRun(this.#context(), 0, owner, batch, () => this.startSamples())
  }

  startSamples (): void {
    while (this.run.startNextSample());
  }

  /** Runs one turn of the event loop, possibly with a release, a reclaim or a check for late samples. */
  async step (): Promise<void> {
    if (!this.faultsEnded && this.#occurs(this.#faults.releases)) this.released += 1
    if (!this.faultsEnded && this.#occurs(this.#faults.reclaims)) this.run.moveOffEndpoints(new Set([this.#pickEndpoint().id]))
    if (!this.faultsEnded && this.#occurs(this.#faults.copies)) this.run.rebalance(performance.now() + 60_000)
    await nextTurn()
  }

  #occurs (probability: number): boolean {
    return this.#random() < probability
  }

  #pickEndpoint (excluded: readonly string[] = []): Endpoint {
    const open = endpoints.filter((endpoint) => !excluded.includes(endpoint.id))
    return open[Math.floor(this.#random() * open.length)] ?? endpoints[0] as Endpoint
  }

  #context (): BatchContext {
    const entry = { name: 'e', owner: 'o', kind: EntryKind.Model, class: WorkClass.Training, pool: 'p', limits: {}, open: false, stalenessBound: this.#faults.bound, idempotentMethods: [], whenIsolated: IsolationPolicy.Refuse, timeoutMs: 1e6 }
    const workspace = { name: 'w', owner: 'o', weight: 1, limits: {} }
    const view = { entry: () => entry, workspace: () => workspace, releasedVersion: () => this.released }
    const plan = new StragglerPlanner()
    for (let count = 0; count < 10; count++) plan.recordSample('e', 'g', 1_000, 1)
    return {
      catalogue: { current: () => view, onChange: () => {} } as unknown as CatalogueSource,
      runner: { run: async (order: CompletionOrder) => await this.#complete(order) } as unknown as CompletionRunner,
      endpoints: { exportKv: async () => undefined } as unknown as BatchContext['endpoints'],
      slots: { freeSlots: () => 4, totalSlots: () => 24 },
      plan,
      staleness: new VersionTracker(),
      policy: DEFAULT_BATCH_POLICY,
      counters: this.counters,
      clock: { now: () => performance.now(), elapsed: () => performance.now(), wall: () => Date.now(), sleep: async () => await nextTurn() }
    }
  }

  /** Streams like an engine whose weights lag behind the released version by up to two versions. */
  async #complete (order: CompletionOrder): Promise<CompletionResult> {
    await nextTurn()
    if (order.prompt === MALFORMED) return { ok: false, refusal: notRun(RefusalReason.BadRequest, '') }
    if (order.prompt === UNLUCKY && !this.faultsEnded) return { ok: false, refusal: notRun(RefusalReason.Quarantined, '') }
    const endpoint = this.#pickEndpoint(order.excluded)
    order.observer?.onSlotGranted(endpoint)
    const spans: VersionSpan[] = [...order.resume?.versions ?? []]
    let text = order.resume?.resumption.text ?? ''
    const isUnnamed = !this.faultsEnded && this.#occurs(this.#faults.unnamedRuns)
    for (let done = order.resume?.resumption.tokens ?? 0; done < TOKENS; done++) {
      await nextTurn()
      if (order.signal?.aborted === true) return { ok: false, refusal: notRun(RefusalReason.Cancelled, '') }
      if (!this.faultsEnded && this.#occurs(this.#faults.failedRuns / TOKENS)) return { ok: false, refusal: notRun(RefusalReason.EndpointFailed, '') }
      const version = this.faultsEnded ? this.released : Math.max(1, this.released - Math.floor(this.#random() * 3))
      spans.push({ version, tokens: 1 })
      text += 'x'
      order.observer?.onPart({ kind: CompletionPartKind.Text, text: 'x', tokens: 1, version: isUnnamed ? undefined : version })
    }
    return { ok: true, endpoint: endpoint.id, completion: { text, versions: isUnnamed ? undefined : spans, finishReason: 'length', promptTokens: 1, answerTokens: TOKENS } }
  }

  async #commit (records: readonly LedgerRecord[], isStillValid: (() => boolean) | undefined): Promise<CommitResponse> {
    await nextTurn()
    await nextTurn()
    const [record] = records
    if (record === undefined || isStillValid?.() === false || (!this.faultsEnded && this.#occurs(this.#faults.failedCommits))) return { status: CommitStatus.Unavailable, results: [] }
    const id = record.kind === LedgerRecordKind.Delivery ? record.sample.sampleId : record.kind === LedgerRecordKind.SampleFailure ? record.sampleId : ''
    if (this.committed.has(id)) this.violations.push(`${id} committed twice`)
    this.committed.set(id, record)
    if (record.kind === LedgerRecordKind.Delivery) this.#checkDelivery(id, record)
    return { status: CommitStatus.Committed, results: [] }
  }

  #checkDelivery (id: string, { sample, usage }: Extract<LedgerRecord, { kind: LedgerRecordKind.Delivery }>): void {
    if (sample.versions.some((span) => this.released - span.version > this.#faults.bound)) this.violations.push(`${id} exceeds the staleness bound`)
    if (sample.versions.reduce((sum, span) => sum + span.tokens, 0) !== TOKENS) this.violations.push(`${id} has versions that don't cover its tokens`)
    if (sample.text.length !== TOKENS) this.violations.push(`${id} has ${sample.text.length} tokens`)
    if (usage.answerTokens !== TOKENS) this.violations.push(`${id} is billed for ${usage.answerTokens} tokens`)
  }
}

// Guards against settling a sample as failed because endpoints were lost while they ran it.
test(`each sample is committed once, complete, billed once and within the staleness bound (seed ${SEED})`, async (t) => {
  await fc.assert(fc.asyncProperty(faultArbitrary, async (faults) => {
    const harness = new BatchHarness(faults)
    harness.startSamples()
    for (let count = 0; count < 20 && !harness.run.isFinished; count++) await harness.step()
    harness.faultsEnded = true
    for (let count = 0; count < MAX_TURNS && !harness.run.isFinished; count++) {
      await nextTurn()
    }
    if (harness.committed.size !== faults.samples) harness.violations.push(`${harness.committed.size} of ${faults.samples} settled`)
    for (const [id, { kind }] of harness.committed) {
      const expected = id === 's0' ? LedgerRecordKind.SampleFailure : LedgerRecordKind.Delivery
      if (kind !== expected) harness.violations.push(`${id} is settled as ${kind}`)
    }
    harness.run.stop()
    if (harness.violations.length > 0) throw new Error(harness.violations.join('; '))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  t.pass()
})
