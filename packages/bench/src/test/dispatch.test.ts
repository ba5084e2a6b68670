import test from 'ava'
import { HostState, RefusalReason, SlotEnd, WorkClass } from '@cyclamenthread/state'
import { EndpointClient } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { equalWorkspaces, POOL, TaskFleet } from '../lib/task-fleet.js'
import type { SlotDemand, SlotResult } from '@cyclamenthread/coordination'
import type { TaskFleetPlan, TaskHost } from '../lib/task-fleet.js'

const SLOTS_PER_ENGINE = 2
const POISON = 'POISON'

/** Longer than any step of these tests takes, on a loaded machine too. */
const PATIENCE_MS = 60_000

/** Endpoints that report no load, so that a slot counts as held though nothing runs on it. */
class SilentEndpointClient extends EndpointClient {
  override async readLoad (): Promise<undefined> {}
}

async function startFleet (part: Partial<TaskFleetPlan> = {}): Promise<TaskFleet> {
  const fleet = new TaskFleet({ seed: 1, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: 1, workspaces: equalWorkspaces(1), ...part })
  await fleet.start()
  return fleet
}

function demand (requestId: string): SlotDemand {
  return {
    requestId,
    pool: POOL,
    workspace: 'w0',
    weight: 1,
    class: WorkClass.Interactive,
    entry: 'answers',
    expectedTokens: 8,
    prefix: '',
    digest: requestId,
    excluded: [],
    deadline: deadlineAfter(PATIENCE_MS),
    traceparent: ''
  }
}

async function acquireAll (host: TaskHost, name: string, count: number): Promise<SlotResult[]> {
  return await Promise.all(Array.from({ length: count }, async (_, index) => await host.router.acquire(demand(`${name}-${index}`))))
}

function hostOf (fleet: TaskFleet, index: number): TaskHost {
  const host = fleet.hosts[index]
  if (host === undefined) throw new Error('the fleet is smaller than expected')
  return host
}

test.serial('a gateway that dies frees its slots for the others', async (t) => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const [dying, other] = [hostOf(fleet, 0), hostOf(fleet, 1)]
  // The two regions are far apart: a gateway fills its own.
  const slots = 6 * SLOTS_PER_ENGINE
  const taken = await acquireAll(dying, 'first', slots)
  t.true(taken.every((result) => result.granted))
  const waiting = acquireAll(other, 'second', slots)
  for (const host of fleet.hosts) host.members.set(dying.host.id, HostState.Dead)
  t.true((await waiting).every((result) => result.granted))
})

test.serial('a new owner of a cell grants no slot that is still held', async (t) => {
  const fleet = await startFleet({ endpointClient: () => new SilentEndpointClient() })
  t.teardown(async () => await fleet.stop())
  const [holder, leaving] = [hostOf(fleet, 6), hostOf(fleet, 7)]
  const slots = 2 * SLOTS_PER_ENGINE
  const held = await acquireAll(holder, 'held', slots)
  const waiting = acquireAll(holder, 'waiting', 1)
  // Whichever of the two owns the cell of their failure domain, it moves in one of the two turns.
  for (const id of [leaving.host.id, holder.host.id]) {
    for (const host of fleet.hosts) host.members.set(id, HostState.Leaving)
    await new Promise((resolve) => setTimeout(resolve, 1_500))
    for (const host of fleet.hosts) host.members.set(id, HostState.Alive)
    await new Promise((resolve) => setTimeout(resolve, 1_500))
  }
  const granted = new Set(fleet.decisions.filter((decision) => decision.kind === 'granted').map((decision) => decision.requestId))
  t.is(granted.size, slots, 'all slots are held, so nothing more is granted')
  for (const result of held) if (result.granted) await holder.router.release(result.slot, SlotEnd.Finished, 8, '')
  t.true((await waiting).every((result) => result.granted))
})

test.serial('concurrency holds over all hosts and is given back', async (t) => {
  const fleet = await startFleet({ entryLimits: { concurrency: 3 } })
  t.teardown(async () => await fleet.stop())
  const first = await acquireAll(hostOf(fleet, 0), 'first', 3)
  t.true(first.every((result) => result.granted))
  const [refused] = await acquireAll(hostOf(fleet, 7), 'second', 1)
  t.is(refused?.granted === false ? refused.refusal.reason : undefined, RefusalReason.LimitReached)
  for (const result of first) if (result.granted) await hostOf(fleet, 0).router.release(result.slot, SlotEnd.Finished, 8, '')
  const [after] = await acquireAll(hostOf(fleet, 7), 'third', 1)
  t.true(after?.granted)
})

test.serial('a request that takes endpoints down is refused by every host after the second', async (t) => {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  for (const engine of fleet.engines) engine.faults.poison = POISON
  for (const [index, host] of fleet.hosts.entries()) {
    const result = await host.completions.run({
      requestId: `poison-${index}`,
      workspace: { name: 'w0', owner: 'test', weight: 1, limits: {} },
      entry: fleet.entry,
      prompt: POISON,
      maxTokens: 8,
      expectedTokens: 8,
      deadline: deadlineAfter(PATIENCE_MS),
      traceparent: ''
    })
    t.is(result.ok ? undefined : result.refusal.reason, RefusalReason.Quarantined)
  }
  t.is(fleet.engines.filter((engine) => engine.isCrashed).length, 2)
})
