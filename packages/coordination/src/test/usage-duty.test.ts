import test from 'ava'
import { SILENT_LOG, UsageDuty } from '@cyclamenthread/coordination'
import { PlatformCallStatus, usageWindowKey } from '@cyclamenthread/protocol'
import { createHeldLease, MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { UsageTally } from '@cyclamenthread/state'
import type { DutyContext, MemberView, MessageBus } from '@cyclamenthread/coordination'
import type { LeaderLease } from '@cyclamenthread/protocol'

const WINDOW_MS = 5_000

/** The wall clock is fixed in this file, 4.5 s into a window. */
const NOW = 1_800_000_004_500
Date.now = () => NOW

/** The window that contains {@link NOW}. */
const CURRENT = Math.floor(NOW / WINDOW_MS)

const HOSTS = ['a', 'b'].map((id) => ({ id, region: 'r', failureDomain: 'd', peerAddress: '', callerUrl: '', hasDataFolder: false }))

interface Report {
  readonly window: number
  readonly counts: Readonly<Record<string, number>>
  readonly fence: number
}

/** Creates the duty of a leader on host `a` over a given store; the counts of host `b` come over the bus. */
function createDuty (store: MemoryStore, reports: Report[], own: Record<string, number>, other: Record<string, number> | undefined, status = PlatformCallStatus.Done): UsageDuty {
  const tally = new UsageTally(WINDOW_MS)
  const past = NOW - WINDOW_MS * 2
  for (const [workspace, count] of Object.entries(own)) {
    for (let index = 0; index < count; index += 1) tally.countRequest(workspace, past)
  }
  const context: Partial<DutyContext> = {
    hostId: 'a',
    store,
    tally,
    log: SILENT_LOG,
    members: { members: () => HOSTS.map((host) => ({ host, state: 'alive' })) } as unknown as MemberView,
    bus: { send: async () => other === undefined ? { ok: false } : { ok: true, value: { counts: other } } } as unknown as MessageBus,
    platform: {
      reportUsage: async (window, counts, lease) => {
        reports.push({ window, counts, fence: lease.fence })
        return status
      },
      orderCapacity: async () => PlatformCallStatus.Done,
      close: async () => {}
    }
  }
  return new UsageDuty(context as DutyContext)
}

function createStore (): MemoryStore {
  return new MemoryStore({ sleep: async () => await new Promise((resolve) => setImmediate(resolve)) }, seededRandom(1))
}

function createLease (fence: number): () => LeaderLease {
  return () => createHeldLease(fence, 1_000)
}

test('a window is reported with the counts of all hosts', async (t) => {
  const reports: Report[] = []
  const duty = createDuty(createStore(), reports, { office: 2 }, { office: 1, desk: 4 })
  for (let turn = 0; turn < 4; turn += 1) await duty.runOnce(createLease(1))
  const window = CURRENT - 2
  t.deepEqual(reports.find((report) => report.window === window)?.counts, { office: 3, desk: 4 })
})

test('a new leader reports the sealed counts, even if its own counts differ', async (t) => {
  const reports: Report[] = []
  const store = createStore()
  const first = createDuty(store, reports, { office: 2 }, { office: 1 })
  for (let turn = 0; turn < 3; turn += 1) await first.runOnce(createLease(1))
  const second = createDuty(store, reports, {}, {})
  for (let turn = 0; turn < 3; turn += 1) await second.runOnce(createLease(2))
  for (const window of new Set(reports.map((report) => report.window))) {
    const all = reports.filter((report) => report.window === window).map((report) => JSON.stringify(report.counts))
    t.is(new Set(all).size, 1, `window ${window}`)
  }
  t.true(reports.some((report) => report.fence === 2))
})

test('a window is sealed without the counts of a missing host only after the maximum delay', async (t) => {
  const reports: Report[] = []
  const store = createStore()
  const duty = createDuty(store, reports, { office: 2 }, undefined)
  for (let turn = 0; turn < 4; turn += 1) await duty.runOnce(createLease(1))
  t.is(store.peek(usageWindowKey(CURRENT - 1)), undefined)
  t.deepEqual(store.peek(usageWindowKey(CURRENT - 2)), { office: 2 })
})

test('nothing is reported without the lease', async (t) => {
  const reports: Report[] = []
  const duty = createDuty(createStore(), reports, { office: 2 }, {})
  await duty.runOnce(() => undefined)
  t.deepEqual(reports, [])
})
