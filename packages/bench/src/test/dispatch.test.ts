import test from 'ava'
import { BatchTask } from '@cyclamenthread/coordination'
import { HostState, LedgerRecordKind, RefusalReason, RequestOrigin, SlotEnd, WorkClass } from '@cyclamenthread/state'
import { CommitStatus, EndpointClient } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { createEqualWorkspaces, ENGINE_POOL, DispatchCluster } from '../lib/dispatch-cluster.js'
import type { LedgerTask, SlotDemand, SlotResult } from '@cyclamenthread/coordination'
import type { LedgerRecord, SampleOrder } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'
import type { DispatchClusterPlan, DispatchHost } from '../lib/dispatch-cluster.js'

const SLOTS_PER_ENGINE = 2
const POISON = 'POISON'

/** Deadline of each request, in milliseconds; longer than any step takes, even on a loaded machine. */
const TEST_TIMEOUT_MS = 60_000

/** Reads no load reports, so that a slot counts as held although nothing runs on it. */
class SilentEndpointClient extends EndpointClient {
  override async readLoad (): Promise<undefined> {}
}

async function startCluster (overrides: Partial<DispatchClusterPlan> = {}): Promise<DispatchCluster> {
  const cluster = new DispatchCluster({ seed: 1, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: 1, workspaces: createEqualWorkspaces(1), ...overrides })
  await cluster.start()
  return cluster
}

function createDemand (requestId: string): SlotDemand {
  return {
    requestId,
    origin: RequestOrigin.Caller,
    pool: ENGINE_POOL,
    workspace: 'w0',
    weight: 1,
    class: WorkClass.Interactive,
    entry: 'answers',
    expectedTokens: 8,
    prefix: '',
    digest: requestId,
    excluded: [],
    deadline: deadlineAfter(TEST_TIMEOUT_MS),
    traceparent: ''
  }
}

async function acquireAll (host: DispatchHost, name: string, count: number): Promise<SlotResult[]> {
  return await Promise.all(Array.from({ length: count }, async (_, index) => await host.router.acquire(createDemand(`${name}-${index}`))))
}

function hostAt (cluster: DispatchCluster, index: number): DispatchHost {
  const host = cluster.hosts[index]
  if (host === undefined) throw new Error('the cluster is smaller than expected')
  return host
}

/** Runs one batch on a host and returns the records that it commits. */
async function runBatch (t: ExecutionContext, cluster: DispatchCluster, host: DispatchHost, samples: readonly SampleOrder[]): Promise<LedgerRecord[]> {
  const committed: LedgerRecord[] = []
  const commit = async (records: readonly LedgerRecord[]): Promise<unknown> => {
    committed.push(...records)
    return { status: CommitStatus.Committed, results: [] }
  }
  const batch = { order: { batchId: 'b', workspace: 'w0', entry: cluster.entry.name, samples }, settled: new Set(), cancelled: false }
  const owner = { deposed: false, commit, state: { batches: () => [batch], batch: () => batch } }
  const ledger = { onEvent: () => {}, ownedPartitions: () => [0], ownerOf: () => owner } as unknown as LedgerTask
  const catalogue = { current: () => cluster.catalogueView, onChange: () => {} }
  const task = new BatchTask(ledger, { catalogue, runner: host.completions, endpoints: host.endpoints, slots: host.router })
  t.teardown(async () => await task.stop())
  await task.start()
  return committed
}

/** Waits until a condition holds; returns whether it did before the timeout. */
async function holdsWithin (timeoutMs: number, condition: () => boolean): Promise<boolean> {
  const deadline = performance.now() + timeoutMs
  while (!condition() && performance.now() < deadline) await new Promise((resolve) => setTimeout(resolve, 10))
  return condition()
}

test.serial('the slots of a dead gateway are granted to other gateways', async (t) => {
  const cluster = await startCluster()
  t.teardown(async () => await cluster.stop())
  const [dying, other] = [hostAt(cluster, 0), hostAt(cluster, 1)]
  // A gateway uses only the endpoints of its own region: six engines in the larger one.
  const slots = 6 * SLOTS_PER_ENGINE
  const taken = await acquireAll(dying, 'first', slots)
  t.true(taken.every((result) => result.granted))
  const waiting = acquireAll(other, 'second', slots)
  for (const host of cluster.hosts) host.members.setState(dying.host.id, HostState.Dead)
  t.true((await waiting).every((result) => result.granted))
})

test.serial('a new owner of a cell does not grant slots that are still held', async (t) => {
  const cluster = await startCluster({ endpointClient: () => new SilentEndpointClient() })
  t.teardown(async () => await cluster.stop())
  const [holder, leaving] = [hostAt(cluster, 6), hostAt(cluster, 7)]
  const slots = 2 * SLOTS_PER_ENGINE
  const held = await acquireAll(holder, 'held', slots)
  const waiting = acquireAll(holder, 'waiting', 1)
  // One of these two hosts owns the cell of their failure domain, so its owner changes in one of the two rounds.
  for (const id of [leaving.host.id, holder.host.id]) {
    for (const host of cluster.hosts) host.members.setState(id, HostState.Leaving)
    await new Promise((resolve) => setTimeout(resolve, 1_500))
    for (const host of cluster.hosts) host.members.setState(id, HostState.Alive)
    await new Promise((resolve) => setTimeout(resolve, 1_500))
  }
  const granted = new Set(cluster.decisions.filter((decision) => decision.kind === 'granted').map((decision) => decision.requestId))
  t.is(granted.size, slots, 'all slots are held, so nothing more is granted')
  for (const result of held) if (result.granted) await holder.router.release(result.slot, SlotEnd.Finished, 8, '')
  t.true((await waiting).every((result) => result.granted))
})

test.serial('a concurrency limit holds over all hosts, and released requests free it', async (t) => {
  const cluster = await startCluster({ entryLimits: { concurrency: 3 } })
  t.teardown(async () => await cluster.stop())
  const first = await acquireAll(hostAt(cluster, 0), 'first', 3)
  t.true(first.every((result) => result.granted))
  const [refused] = await acquireAll(hostAt(cluster, 7), 'second', 1)
  t.is(refused?.granted === false ? refused.refusal.reason : undefined, RefusalReason.LimitReached)
  for (const result of first) if (result.granted) await hostAt(cluster, 0).router.release(result.slot, SlotEnd.Finished, 8, '')
  const [after] = await acquireAll(hostAt(cluster, 7), 'third', 1)
  t.true(after?.granted)
})

test.serial('a request that crashed two endpoints is quarantined by every host', async (t) => {
  const cluster = await startCluster()
  t.teardown(async () => await cluster.stop())
  for (const engine of cluster.engines) engine.faults.poison = POISON
  for (const [index, host] of cluster.hosts.entries()) {
    const result = await host.completions.run({
      requestId: `poison-${index}`,
      origin: RequestOrigin.Caller,
      workspace: { name: 'w0', owner: 'test', weight: 1, limits: {} },
      entry: cluster.entry,
      prompt: POISON,
      maxTokens: 8,
      expectedTokens: 8,
      deadline: deadlineAfter(TEST_TIMEOUT_MS),
      traceparent: ''
    })
    t.is(result.ok ? undefined : result.refusal.reason, RefusalReason.Quarantined)
  }
  t.is(cluster.engines.filter((engine) => engine.isCrashed).length, 2)
})

// Guards against giving up a sound sample of a batch because several endpoints crashed while they ran it.
test.serial('a sample under which two endpoints crashed is delivered once endpoints are sound again', async (t) => {
  const cluster = await startCluster()
  t.teardown(async () => await cluster.stop())
  for (const engine of cluster.engines) engine.faults.poison = 'unlucky'
  const committed = await runBatch(t, cluster, hostAt(cluster, 0), [{ sampleId: 's', group: 'g', prompt: 'unlucky', maxTokens: 8, expectedTokens: 8 }])
  const crashed = (): number => cluster.engines.filter((engine) => engine.isCrashed).length
  t.true(await holdsWithin(TEST_TIMEOUT_MS, () => crashed() >= 2 || committed.length > 0))
  for (const engine of cluster.engines) engine.faults.poison = ''
  t.true(await holdsWithin(TEST_TIMEOUT_MS, () => committed.length > 0))
  t.deepEqual(committed.map(({ kind }) => kind), [LedgerRecordKind.Delivery])
})
