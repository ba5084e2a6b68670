import test from 'ava'
import { DUTIES_LEASE, DUTY_CANDIDATES, leaseCandidates, LeaderTask, SILENT_LOG } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { waitUntil } from './deployment-fixture.js'
import type { DutyContext, MemberView } from '@cyclamenthread/coordination'
import type { Host } from '@cyclamenthread/state'

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
