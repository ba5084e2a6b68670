import test from 'ava'
import { DUTIES_LEASE, DUTY_CANDIDATES, leaseCandidates, LeaderTask, SILENT_LOG } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { leaseKey } from '@cyclamenthread/protocol'
import { waitUntil } from './deployment-fixture.js'
import type { Duty, DutyContext, MemberView } from '@cyclamenthread/coordination'
import type { LeaderLease } from '@cyclamenthread/protocol'
import type { Host } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const REGION = 'lothian'
const HOSTS = ['a', 'b', 'c', 'd', 'e'].map((id) => ({ id, region: REGION, failureDomain: 'leith-walk' }) as Host)

// Guards against duties that stand still until silent hosts are declared dead, as all candidates for the lease are among them.
test('while the candidates for the duties are suspected, another host takes the lease', async (t) => {
  const location = { region: REGION, failureDomain: '' }
  const candidates = leaseCandidates(DUTIES_LEASE, HOSTS, location, DUTY_CANDIDATES).map(({ id }) => id)
  const suspected = new Set<string>()
  const members = { workers: () => HOSTS, isSuspected: (id: string) => suspected.has(id) } as unknown as MemberView
  const store = new MemoryStore({ sleep: async () => await new Promise((resolve) => setImmediate(resolve)) }, seededRandom(1))
  const leaders = HOSTS.filter(({ id }) => !candidates.includes(id)).map(({ id }) => {
    const context = { hostId: id, members, mirrors: [], log: SILENT_LOG } as unknown as DutyContext
    return new LeaderTask({ holder: `${id}/1`, leaseMs: 300, storeTimeoutMs: 100, storeRegion: REGION }, store, context, [])
  })
  for (const leader of leaders) leader.start()
  t.teardown(async () => await Promise.all(leaders.map(async (leader) => await leader.stop())))
  await new Promise((resolve) => setTimeout(resolve, 500))
  t.false(leaders.some(({ isLeader }) => isLeader))
  for (const id of candidates) suspected.add(id)
  await waitUntil(t, () => leaders.filter(({ isLeader }) => isLeader).length === 1)
})

/** Runs a single host whose duty takes the right to one call in each of its turns. */
function startSingleHost (t: ExecutionContext, leaseMs: number): { readonly leader: LeaderTask, readonly rights: LeaderLease[], record (): { readonly epoch: number, readonly renewal: number, readonly released?: boolean } } {
  const store = new MemoryStore({ sleep: async () => await new Promise((resolve) => setImmediate(resolve)) }, seededRandom(1))
  const members = { workers: () => HOSTS.slice(0, 1), isSuspected: () => false } as unknown as MemberView
  const rights: LeaderLease[] = []
  const duty: Duty = {
    reset: () => {},
    async runOnce (lease) {
      const held = lease()
      if (held !== undefined) rights.push(held)
    }
  }
  const leader = new LeaderTask({ holder: 'a/1', leaseMs, storeTimeoutMs: 100, storeRegion: REGION }, store, { hostId: 'a', members, mirrors: [], log: SILENT_LOG } as unknown as DutyContext, [duty])
  leader.start()
  t.teardown(async () => await leader.stop())
  return { leader, rights, record: () => store.peek(leaseKey(DUTIES_LEASE)) as { epoch: number, renewal: number, released?: boolean } }
}

test('a host that hands its lease over makes no more calls under it, and acts again only with a higher fence', async (t) => {
  const { leader, rights, record } = startSingleHost(t, 3_000)
  await waitUntil(t, () => rights.length > 0)
  const handedOver = leader.handOver()
  t.false(leader.isLeader)
  t.false(rights[0]?.begin())
  await handedOver
  await waitUntil(t, () => (rights.at(-1)?.fence ?? 0) > 1)
  t.false(rights[0]?.begin())
  t.true(rights.at(-1)?.begin())
  rights.at(-1)?.end(true)
  t.true(record().epoch === rights.at(-1)?.fence)
})

// Guards against a lease that is renewed although its holder has given it up, so that no other host can ever take it.
test('a lease that is handed over while a call may still arrive is neither released nor renewed', async (t) => {
  const { leader, rights, record } = startSingleHost(t, 1_000)
  await waitUntil(t, () => rights.length > 0)
  const [right] = rights
  t.true(right?.begin())
  right?.signal.addEventListener('abort', () => right.end(false))
  const startedAt = performance.now()
  const { epoch } = record()
  const handedOver = leader.handOver()
  const seen: Array<{ readonly epoch: number, readonly renewal: number, readonly released?: boolean }> = []
  const watch = setInterval(() => seen.push(record()), 5)
  await handedOver
  clearInterval(watch)
  t.true(performance.now() - startedAt > 400, 'the call under way was given no time for its answer')
  t.true(right?.signal.aborted)
  const kept = seen.filter((one) => one.epoch === epoch)
  t.true(kept.length > 0 && kept.every(({ released }) => released !== true))
  t.true(new Set(kept.map(({ renewal }) => renewal)).size <= 2, 'at most the renewal in progress')
})

test('two stops at once both end', async (t) => {
  const { leader, rights, record } = startSingleHost(t, 3_000)
  await waitUntil(t, () => rights.length > 0)
  t.true(rights[0]?.begin())
  const stops = [leader.stop(), leader.stop(), leader.handOver()]
  rights[0]?.end(true)
  await Promise.all(stops)
  t.true(record().released)
})
