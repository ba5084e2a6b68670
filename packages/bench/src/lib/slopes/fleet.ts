import { DomainLeader } from '@cyclamenthread/coordination'
import { CatalogueView, EMPTY_ROSTER, EntryKind, FencingSupport, StragglerPlanner } from '@cyclamenthread/state'
import { EndpointClient } from '@cyclamenthread/protocol'
import { sendJson, HttpStandin, MemoryStore, seededRandom } from '@cyclamenthread/standins'
import type { Endpoint, SampleOrder } from '@cyclamenthread/state'
import type { CatalogueSource, FleetSettings, HostSettings, MemberView } from '@cyclamenthread/coordination'
import type { StandinRequest } from '@cyclamenthread/standins'

/** Endpoints in the failure domain; 2,700 endpoints in 16 domains are about 170 each. */
const DOMAIN_SIZES = [40, 80, 160, 320]

/** Samples in the batch; a trainer's step has 2,048. */
const BATCH_SIZES = [512, 1_024, 2_048, 4_096]

/** Time from an order until an endpoint reports its new weights, in milliseconds. */
const SWAP_MS = 500

/** Size of the warm-up run. */
const WARM_UP_SIZE = 320

const FETCHES_PER_SECOND = 400
const LEASE_MS = 10_000
const POLL_PERIOD_MS = 10
const TOKENS = 250

/** Cost of one wave of weight updates for the leader of a failure domain. */
export interface WaveSlopeRow {
  readonly endpoints: number
  /** Processor time, including the HTTP client and the stand-in's server, in microseconds. */
  readonly cpuMicrosPerEndpoint: number
  readonly messagesPerEndpoint: number
  readonly durationMs: number
  readonly storeCallsPerSecond: number
  /** Size of the roster entry of an ordered endpoint, in bytes. */
  readonly rosterBytesPerEndpoint: number
}

/** Cost of planning a step for the owner of its batch. */
export interface StepSlopeRow {
  readonly samples: number
  /** Processor time of sorting samples, recording their lengths and selecting late ones for a copy, in microseconds. */
  readonly cpuMicrosPerSample: number
  /** Size of the sample orders that are held while the batch is open, in bytes. */
  readonly stateBytesPerSample: number
}

/** Serves the load and weight routes of many endpoints on one port and keeps the version of each. */
class FakeEndpoints {
  readonly http = new HttpStandin(async (request) => this.#answer(request))
  readonly versions = new Map<string, number>()
  messages = 0

  #answer (request: StandinRequest): void {
    this.messages += 1
    const [, id = '', action = ''] = request.url.pathname.split('/')
    const version = this.versions.get(id) ?? 1
    if (action === 'load') {
      sendJson(request.response, 200, { running: 0, waiting: 0, version, ageMs: 0 })
      return
    }
    const order = JSON.parse(request.body.toString('utf8')) as { version: number }
    setTimeout(() => this.versions.set(id, order.version), SWAP_MS)
    sendJson(request.response, 200, {})
  }
}

/**
 * Measures one wave of weight updates at four sizes of a failure domain.
 *
 * @example
 * for (const row of await measureWaves(1)) console.log(row)
 */
export async function measureWaves (seed: number): Promise<WaveSlopeRow[]> {
  // Warm-up: JIT compilation would otherwise count towards the first size.
  await measureWave(WARM_UP_SIZE, seed)
  const rows: WaveSlopeRow[] = []
  for (const size of DOMAIN_SIZES) rows.push(await measureWave(size, seed))
  return rows
}

async function measureWave (size: number, seed: number): Promise<WaveSlopeRow> {
  const fakeEndpoints = new FakeEndpoints()
  const url = await fakeEndpoints.http.listen()
  const endpoints = Array.from({ length: size }, (_, index): Endpoint => ({
    id: `e${index}`, url: `${url}/e${index}`, region: 'r', failureDomain: 'd', slots: 16, cheap: false, fencing: FencingSupport.Checked
  }))
  const store = new MemoryStore({ sleep: async () => await Promise.resolve() }, seededRandom(seed))
  const client = new EndpointClient()
  let view = createCatalogueView(endpoints, 1)
  const catalogue: CatalogueSource = { current: () => view, onChange: () => {} }
  const leader = new DomainLeader(createHostSettings(), createFleetSettings(), { region: 'r', failureDomain: 'd' }, { members: createMemberView(), catalogue, store, endpoints: client })
  await leader.start()
  while (!leader.isLeader || fakeEndpoints.messages < size) await sleep(POLL_PERIOD_MS)
  const before = { messages: fakeEndpoints.messages, calls: store.counts.reads + store.counts.writes, at: performance.now(), cpu: process.cpuUsage() }
  view = createCatalogueView(endpoints, 2)
  while ([...fakeEndpoints.versions.values()].filter((version) => version === 2).length < size) await sleep(POLL_PERIOD_MS)
  const cpu = process.cpuUsage(before.cpu)
  const durationMs = performance.now() - before.at
  const row: WaveSlopeRow = {
    endpoints: size,
    cpuMicrosPerEndpoint: (cpu.user + cpu.system) / size,
    messagesPerEndpoint: (fakeEndpoints.messages - before.messages) / size,
    durationMs,
    storeCallsPerSecond: (store.counts.reads + store.counts.writes - before.calls) * 1_000 / durationMs,
    rosterBytesPerEndpoint: JSON.stringify({ endpoint: endpoints[0], pool: 'engines', state: 'running' }).length
  }
  await leader.stop()
  await client.close()
  await fakeEndpoints.http.close()
  return row
}

function createCatalogueView (endpoints: Endpoint[], version: number): CatalogueView {
  const pools = [{ name: 'engines', kind: EntryKind.Model, endpoints, capacity: [] }]
  return new CatalogueView(1, { workspaces: [], keys: [], entries: [], pools }, EMPTY_ROSTER, { sequence: version, releases: [{ pool: 'engines', version }] })
}

function createMemberView (): MemberView {
  const { self } = createHostSettings()
  return { workers: () => [self], members: () => [], find: () => self, isSuspected: () => false, reportSilence: () => {}, onChange: () => {} }
}

function createHostSettings (): HostSettings {
  const self = { id: 'h', region: 'r', failureDomain: 'd', peerAddress: '', callerUrl: '', hasDataFolder: false }
  return { self, incarnation: 'i', leaseMs: LEASE_MS, storeTimeoutMs: 1_000 } as unknown as HostSettings
}

function createFleetSettings (): FleetSettings {
  return {
    weightFetchesPerSecond: FETCHES_PER_SECOND,
    weightServingShare: 0.5,
    weightSwapTimeoutMs: 5_000,
    endpointStartMs: 1_000,
    endpointHoldMs: 1_000,
    endpointBackOffMs: 1_000,
    endpointSlots: 16
  }
}

/**
 * Measures the planning of a step at four batch sizes.
 *
 * @example
 * for (const row of measureSteps(1)) console.log(row)
 */
export function measureSteps (seed: number): StepSlopeRow[] {
  const random = seededRandom(seed)
  measureStep(WARM_UP_SIZE, random)
  return BATCH_SIZES.map((size) => measureStep(size, random))
}

function measureStep (size: number, random: () => number): StepSlopeRow {
  const samples = Array.from({ length: size }, (_, index): SampleOrder => ({
    sampleId: `s${index}`, group: `g${Math.floor(index / 8)}`, prompt: 'critique the composition of a drawing', maxTokens: 2 * TOKENS, expectedTokens: Math.round(2 * TOKENS * random())
  }))
  const plan = new StragglerPlanner()
  const cpu = process.cpuUsage()
  const ordered = plan.sortSamples('critique', samples)
  for (const sample of ordered) plan.recordSample('critique', sample.group, sample.expectedTokens, sample.expectedTokens * 10)
  const running = ordered.map((sample) => ({ sampleId: sample.sampleId, entry: 'critique', expectedTokens: sample.expectedTokens, startedAt: 0, tokens: sample.expectedTokens / 2, copies: 1 }))
  plan.selectForCopy(running, size, TOKENS * 10)
  const used = process.cpuUsage(cpu)
  return {
    samples: size,
    cpuMicrosPerSample: (used.user + used.system) / size,
    stateBytesPerSample: JSON.stringify(samples).length / size
  }
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
