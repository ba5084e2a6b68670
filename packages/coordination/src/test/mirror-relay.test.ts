import test from 'ava'
import fc from 'fast-check'
import { LocalBroker, MirrorRelay, MirrorRole, RELAY_SILENCE_SHARE, SILENT_LOG, StoreMirror } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { HostState } from '@cyclamenthread/state'
import { waitUntil } from './deployment-fixture.js'
import type { MemberView, MessageBus } from '@cyclamenthread/coordination'
import type { MirrorUpdate } from '@cyclamenthread/protocol'
import type { Host } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const PREFIX = 'servers/'

/** Time within which the hosts of the tests have to notice a change, in milliseconds. */
const NOTICE_MS = 2_500
/** Part of a watch's time that is left for its answer, in milliseconds. */
const WATCH_SLACK_MS = 800

const TIME = { sleep: async (milliseconds: number) => await new Promise<void>((resolve) => setTimeout(resolve, milliseconds)) }

interface TestHost {
  readonly mirror: StoreMirror
  readonly relay: MirrorRelay
  /** This host's own connection to the store; a fault here does not affect other hosts. */
  readonly store: CountingStore
}

interface Region {
  readonly store: MemoryStore
  readonly hosts: ReadonlyMap<string, TestHost>
  /** Ids of the hosts that all hosts suspect to be silent. */
  readonly suspected: Set<string>
}

/** Forwards calls to the shared store and counts them; fails them while `down` is set. */
class CountingStore {
  calls = 0
  down = false
  /** Whether a watch without changes waits until its deadline. */
  isPatient = false
  readonly #store: MemoryStore

  constructor (store: MemoryStore) {
    this.#store = store
  }

  /** Waits as long as a watch without changes does. */
  async #waitForChange (store: MemoryStore, [prefix, after, call]: Parameters<MemoryStore['watch']>): Promise<void> {
    for (;;) {
      const answer = await store.watch(prefix, after, call)
      if (!this.isPatient || !answer.ok || answer.value.changes.length > 0 || performance.now() >= call.deadline - WATCH_SLACK_MS) return
      await TIME.sleep(20)
    }
  }

  proxy (): MemoryStore {
    return new Proxy(this.#store, {
      get: (target, name) => {
        const value = Reflect.get(target, name) as unknown
        if (typeof value !== 'function') return value
        return async (...given: unknown[]) => {
          this.calls += 1
          if (this.down) return { ok: false, failure: 'unavailable' }
          const answer = await (value as (...all: unknown[]) => Promise<unknown>).apply(target, given)
          if (name === 'watch') await this.#waitForChange(target, given as Parameters<MemoryStore['watch']>)
          return answer
        }
      }
    })
  }
}

function startRegion (t: ExecutionContext, count: number, noticeMs = NOTICE_MS): Region {
  const store = new MemoryStore(TIME, seededRandom(1))
  const all: Host[] = Array.from({ length: count }, (_, index) => ({
    id: `h${index}`, region: 'lothian', failureDomain: index % 2 === 0 ? 'leith-walk' : 'grassmarket', peerAddress: `h${index}`, callerUrl: '', hasDataFolder: false
  }))
  const suspected = new Set<string>()
  const members = { isSuspected: (id: string) => suspected.has(id), workers: () => all, members: () => all.map((host) => ({ host, state: HostState.Alive })) } as unknown as MemberView
  const brokers = new Map<string, LocalBroker>()
  const bus = {
    post: async (host: Host, message: { readonly kind: string }) => {
      await brokers.get(host.id)?.call(message.kind, message, { meta: { from: '', deadline: Infinity, traceparent: '', signal: new AbortController().signal } })
    }
  } as unknown as MessageBus
  const hosts = new Map(all.map((self) => {
    const own = new CountingStore(store)
    const mirror = new StoreMirror({ prefix: PREFIX, waitMs: 3_000, noticeMs, changePauseMs: 0 }, own.proxy(), SILENT_LOG, () => 0)
    const relay = new MirrorRelay({ self, members, bus, mirrors: [mirror] })
    const broker = new LocalBroker()
    broker.createService(relay.service())
    brokers.set(self.id, broker)
    mirror.start()
    t.teardown(() => mirror.stop())
    return [self.id, { mirror, relay, store: own }] as const
  }))
  return { store, hosts, suspected }
}

const allHostsHave = (hosts: ReadonlyMap<string, TestHost>, value: unknown): boolean => [...hosts.values()].every(({ mirror }) => mirror.objects()[0]?.value === value)

test('in a large region, two relays watch the store and every host receives each change', async (t) => {
  const { store, hosts } = startRegion(t, 20)
  store.set(`${PREFIX}a`, 1)
  await waitUntil(t, () => allHostsHave(hosts, 1))
  const roles = [...hosts.values()].map(({ relay }) => relay.role)
  t.is(roles.filter((role) => role === MirrorRole.Relay).length, 2)
  t.is(roles.filter((role) => role === MirrorRole.Follower).length, 18)
  await TIME.sleep(400)
  const followers = [...hosts.values()].filter(({ relay }) => relay.role === MirrorRole.Follower)
  const before = followers.map(({ store: own }) => own.calls)
  for (let value = 2; value <= 6; value += 1) {
    // The store has one sequence number for the changes of all prefixes, so this advances it without a change of the mirrored prefix.
    store.set('elsewhere/a', value)
    await TIME.sleep(500)
    store.set(`${PREFIX}a`, value)
    await waitUntil(t, () => allHostsHave(hosts, value))
    await TIME.sleep(300)
  }
  t.deepEqual(followers.map(({ store: own }) => own.calls), before, 'followers made no store calls')
})

test('calm hours: the calls of a relay are in proportion to the rate at which changes have to be noticed', async (t) => {
  const callsOf = async (noticeMs: number): Promise<number> => {
    const { store, hosts } = startRegion(t, 12, noticeMs)
    for (const { store: own } of hosts.values()) own.isPatient = true
    store.set(`${PREFIX}a`, 1)
    await waitUntil(t, () => allHostsHave(hosts, 1))
    const relays = [...hosts.values()].filter(({ relay }) => relay.role === MirrorRole.Relay)
    const before = relays.reduce((sum, { store: own }) => sum + own.calls, 0)
    await TIME.sleep(3_000)
    return relays.reduce((sum, { store: own }) => sum + own.calls, 0) - before
  }
  const [often, seldom] = await Promise.all([callsOf(2_500), callsOf(5_000)])
  t.true(often >= 8, `${often} calls`)
  t.true(seldom <= often * 0.7, `${seldom} calls after ${often}`)
})

test('in a small region, every host watches the store itself', async (t) => {
  const { store, hosts } = startRegion(t, 5)
  store.set(`${PREFIX}a`, 1)
  await waitUntil(t, () => allHostsHave(hosts, 1))
  t.true([...hosts.values()].every(({ relay }) => relay.role === MirrorRole.Independent))
})

test('if both relays lose the store, the other hosts watch it themselves before a change has to be in force', async (t) => {
  const { store, hosts } = startRegion(t, 12)
  store.set(`${PREFIX}a`, 1)
  await waitUntil(t, () => allHostsHave(hosts, 1))
  for (const { relay, store: own } of hosts.values()) own.down = relay.role === MirrorRole.Relay
  store.set(`${PREFIX}a`, 2)
  const changedAt = performance.now()
  const followers = new Map([...hosts].filter(([, { relay }]) => relay.role === MirrorRole.Follower))
  await waitUntil(t, () => allHostsHave(followers, 2))
  t.true(performance.now() - changedAt < NOTICE_MS * RELAY_SILENCE_SHARE + 500)
})

// Guards against followers that wait for relays until they are dead, and each ask them in vain before they read the store.
test('relays that are suspected are replaced at once', async (t) => {
  const { store, hosts, suspected } = startRegion(t, 12)
  store.set(`${PREFIX}a`, 1)
  await waitUntil(t, () => allHostsHave(hosts, 1))
  const silent = new Set([...hosts].filter(([, { relay }]) => relay.role === MirrorRole.Relay).map(([id]) => id))
  for (const id of silent) {
    suspected.add(id)
    hosts.get(id)?.mirror.stop()
  }
  const others = new Map([...hosts].filter(([id]) => !silent.has(id)))
  const roles = [...others.values()].map(({ relay }) => relay.role)
  t.is(roles.filter((role) => role === MirrorRole.Relay).length, 2)
  t.is(roles.filter((role) => role === MirrorRole.Follower).length, 8)
  // The copies of the new relays may have been confirmed just before, and are watched once they are older.
  await TIME.sleep(NOTICE_MS * RELAY_SILENCE_SHARE)
  const followers = [...others.values()].filter(({ relay }) => relay.role === MirrorRole.Follower)
  await TIME.sleep(1_000)
  const before = followers.map(({ store: own }) => own.calls)
  store.set(`${PREFIX}a`, 2)
  await waitUntil(t, () => allHostsHave(others, 2))
  t.deepEqual(followers.map(({ store: own }) => own.calls), before, 'followers made no store calls')
})

const deliveries = fc.array(fc.record({
  /** Index of the relay that sends an update. */
  relay: fc.integer({ min: 0, max: 1 }),
  /** Number of changes in the store before that update. */
  changes: fc.integer({ min: 0, max: 3 }),
  lost: fc.boolean(),
  heldBack: fc.boolean(),
  full: fc.boolean()
}), { maxLength: 40 })

test('with late, duplicate or missing updates from two relays, a copy only advances and always equals a past state of the store', async (t) => {
  await fc.assert(fc.asyncProperty(deliveries, async (steps) => {
    const store = new MemoryStore({ sleep: async () => {} }, seededRandom(2))
    const states = new Map<string, string>()
    const current = async (): Promise<string> => {
      const listed = await store.snapshot(PREFIX, { purpose: 0 as never, deadline: Infinity })
      if (!listed.ok) return ''
      states.set(listed.value.next, JSON.stringify(listed.value.objects.map(({ key, value }) => [key, value])))
      return listed.value.next
    }
    const follower = new StoreMirror({ prefix: PREFIX, waitMs: 10, noticeMs: NOTICE_MS, changePauseMs: 0 }, store, SILENT_LOG, () => 0)
    await current()
    await follower.refresh()
    const seen = [follower.next ?? '0', follower.next ?? '0']
    const held: MirrorUpdate[] = []
    let last = Number(seen[0])
    for (const [index, step] of steps.entries()) {
      for (let change = 0; change < step.changes; change += 1) {
        if ((index + change) % 5 === 4) store.delete(`${PREFIX}k${change}`)
        else store.set(`${PREFIX}k${(index + change) % 3}`, index * 10 + change)
        await current()
      }
      const base = seen[step.relay] ?? '0'
      const next = await current()
      const listed = await store.snapshot(PREFIX, { purpose: 0 as never, deadline: Infinity })
      const watched = next === base ? undefined : await store.watch(PREFIX, base, { purpose: 0 as never, deadline: Infinity })
      if (!listed.ok || watched?.ok === false) return false
      const update: MirrorUpdate = step.full
        ? { prefix: PREFIX, next, changes: [...listed.value.objects], ageMs: 0 }
        : { prefix: PREFIX, base, next, changes: [...watched?.value.changes ?? []], ageMs: 0 }
      seen[step.relay] = next
      if (step.heldBack) held.push(update)
      else if (!step.lost) for (const one of [...held.splice(0), update]) follower.applyUpdate(one)
      // After a gap the mirror lists the objects again, which takes a few turns of the event loop.
      for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => setImmediate(resolve))
      const standing = follower.next ?? ''
      const copy = JSON.stringify([...follower.objects()].sort((a, b) => a.key < b.key ? -1 : 1).map(({ key, value }) => [key, value]))
      if (Number(standing) < last || states.get(standing) !== copy) return false
      last = Number(standing)
    }
    return true
  }), { seed: 20_261_207, numRuns: 300 })
  t.pass()
})
