import test from 'ava'
import fc from 'fast-check'
import { LocalBroker, MirrorRelay, MirrorRole, RELAY_SILENCE_MS, SILENT_LOG, StoreMirror } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { HostState } from '@cyclamenthread/state'
import { waitUntil } from './deployment-fixture.js'
import type { MemberView, MessageBus } from '@cyclamenthread/coordination'
import type { MirrorUpdate } from '@cyclamenthread/protocol'
import type { Host } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const PREFIX = 'servers/'
const TIME = { sleep: async (milliseconds: number) => await new Promise<void>((resolve) => setTimeout(resolve, milliseconds)) }

interface TestHost {
  readonly mirror: StoreMirror
  readonly relay: MirrorRelay
  /** What this host alone has of the store; a fault here is no fault elsewhere. */
  readonly store: CountingStore
}

/** Passes calls to the shared store, counts them, and refuses them on order. */
class CountingStore {
  calls = 0
  down = false
  readonly #store: MemoryStore

  constructor (store: MemoryStore) {
    this.#store = store
  }

  proxy (): MemoryStore {
    return new Proxy(this.#store, {
      get: (target, name) => {
        const value = Reflect.get(target, name) as unknown
        if (typeof value !== 'function') return value
        return async (...given: unknown[]) => {
          this.calls += 1
          if (this.down) return { ok: false, failure: 'unavailable' }
          return await (value as (...all: unknown[]) => Promise<unknown>).apply(target, given)
        }
      }
    })
  }
}

function startRegion (t: ExecutionContext, count: number): { readonly store: MemoryStore, readonly hosts: ReadonlyMap<string, TestHost> } {
  const store = new MemoryStore(TIME, seededRandom(1))
  const all: Host[] = Array.from({ length: count }, (_, index) => ({
    id: `h${index}`, region: 'lothian', failureDomain: index % 2 === 0 ? 'leith-walk' : 'grassmarket', peerAddress: `h${index}`, callerUrl: '', hasDataFolder: false
  }))
  const members = { workers: () => all, members: () => all.map((host) => ({ host, state: HostState.Alive })) } as unknown as MemberView
  const brokers = new Map<string, LocalBroker>()
  const bus = {
    post: async (host: Host, message: { readonly kind: string }) => {
      await brokers.get(host.id)?.call(message.kind, message, { meta: { from: '', deadline: Infinity, traceparent: '', signal: new AbortController().signal } })
    }
  } as unknown as MessageBus
  const hosts = new Map(all.map((self) => {
    const own = new CountingStore(store)
    const mirror = new StoreMirror({ prefix: PREFIX, waitMs: 300, changePauseMs: 0 }, own.proxy(), SILENT_LOG, () => 0)
    const relay = new MirrorRelay({ self, members, bus, mirrors: [mirror] })
    const broker = new LocalBroker()
    broker.createService(relay.service())
    brokers.set(self.id, broker)
    mirror.start()
    t.teardown(() => mirror.stop())
    return [self.id, { mirror, relay, store: own }] as const
  }))
  return { store, hosts }
}

const allHostsHave = (hosts: ReadonlyMap<string, TestHost>, value: unknown): boolean => [...hosts.values()].every(({ mirror }) => mirror.objects()[0]?.value === value)

test('a large region: two relays watch the store, and every host has each change', async (t) => {
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
    // The store counts changes of every prefix in one number.
    store.set('elsewhere/a', value)
    await TIME.sleep(500)
    store.set(`${PREFIX}a`, value)
    await waitUntil(t, () => allHostsHave(hosts, value))
    await TIME.sleep(300)
  }
  t.deepEqual(followers.map(({ store: own }) => own.calls), before, 'followers made no call of the store')
})

test('a small region: every host watches by itself', async (t) => {
  const { store, hosts } = startRegion(t, 5)
  store.set(`${PREFIX}a`, 1)
  await waitUntil(t, () => allHostsHave(hosts, 1))
  t.true([...hosts.values()].every(({ relay }) => relay.role === MirrorRole.Independent))
})

test('both relays lose the store: the others watch it themselves before a change has to be in force', async (t) => {
  const { store, hosts } = startRegion(t, 12)
  store.set(`${PREFIX}a`, 1)
  await waitUntil(t, () => allHostsHave(hosts, 1))
  for (const { relay, store: own } of hosts.values()) own.down = relay.role === MirrorRole.Relay
  store.set(`${PREFIX}a`, 2)
  const changedAt = performance.now()
  const followers = new Map([...hosts].filter(([, { relay }]) => relay.role === MirrorRole.Follower))
  await waitUntil(t, () => allHostsHave(followers, 2))
  t.true(performance.now() - changedAt < RELAY_SILENCE_MS + 500)
})

const deliveries = fc.array(fc.record({
  /** How far each relay's copy is behind the store when it next looks. */
  relay: fc.integer({ min: 0, max: 1 }),
  changes: fc.integer({ min: 0, max: 3 }),
  lost: fc.boolean(),
  heldBack: fc.boolean(),
  full: fc.boolean()
}), { maxLength: 40 })

test('whatever two relays tell, late, twice or with gaps, a copy only moves on and is a state that the store had', async (t) => {
  await fc.assert(fc.asyncProperty(deliveries, async (steps) => {
    const store = new MemoryStore({ sleep: async () => {} }, seededRandom(2))
    const states = new Map<string, string>()
    const current = async (): Promise<string> => {
      const listed = await store.snapshot(PREFIX, { purpose: 0 as never, deadline: Infinity })
      if (!listed.ok) return ''
      states.set(listed.value.next, JSON.stringify(listed.value.objects.map(({ key, value }) => [key, value])))
      return listed.value.next
    }
    const follower = new StoreMirror({ prefix: PREFIX, waitMs: 10, changePauseMs: 0 }, store, SILENT_LOG, () => 0)
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
      // A gap makes the copy be listed anew, which takes a few turns of the event loop.
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
