import test from 'ava'
import { setTimeout } from 'node:timers/promises'
import { EndpointReplyKind, StreamPartKind, WeightOrderStatus } from '@cyclamenthread/protocol'
import { EndpointSign } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { startHosts } from './entry-hosts.js'
import type { EndpointPort, EndpointReport } from '@cyclamenthread/protocol'
import type { ExecutionContext } from 'ava'

const MODEL = 'critic'
const ENDPOINTS = ['e1', 'e2', 'e3', 'e4']
const DOMAINS = ['leith-walk', 'leith-walk', 'castlegate', 'castlegate']

/** Time from which on hosts have to cope with a cut, set by the platform, and duration of the lease of the hosts, in milliseconds. */
const CONTACT_MS = 4_000
const LEASE_MS = 3_000

/** Time for which a request without an answer waits, in milliseconds. */
const HANG_MS = 400

const TIMEOUT_MS = 60_000

/** Endpoints that load weights at once, and that some hosts don't reach. */
class OrderedEndpoints {
  readonly cut = new Set<number>()
  readonly orders: Array<{ readonly host: number, readonly fence: number, readonly version: number, readonly at: number }> = []
  readonly #reports = new Map(ENDPOINTS.map((id) => [id, { versions: { [MODEL]: 1 }, orders: 0 }]))

  portOf (host: number): EndpointPort {
    return {
      sendRequest: async () => ({ kind: EndpointReplyKind.NotSent, detail: 'not used' }),
      streamRequest: async function * () {
        yield { kind: StreamPartKind.NotSent }
      },
      orderWeights: async ({ id }, { version, lease }) => {
        if (!lease.begin()) return WeightOrderStatus.NotSent
        if (this.cut.has(host)) {
          await Promise.race([setTimeout(HANG_MS), new Promise((resolve) => lease.signal.addEventListener('abort', resolve, { once: true }))])
          lease.end(false)
          return WeightOrderStatus.Unknown
        }
        lease.end(true)
        this.orders.push({ host, fence: lease.fence, version, at: performance.now() })
        this.#reports.set(id, { versions: { [MODEL]: version }, orders: (this.#reports.get(id)?.orders ?? 0) + 1 })
        return WeightOrderStatus.Accepted
      },
      readReport: async ({ id }) => await this.#report(host, id),
      probe: async ({ id }) => await this.#report(host, id) === undefined ? EndpointSign.None : EndpointSign.Alive,
      close: async () => {}
    }
  }

  async #report (host: number, id: string): Promise<EndpointReport | undefined> {
    if (!this.cut.has(host)) return { busy: false, load: { running: 0, waiting: 0 }, versions: {}, orders: 0, ...this.#reports.get(id) }
    await setTimeout(HANG_MS)
    return undefined
  }
}

interface Fixture {
  readonly endpoints: OrderedEndpoints
  /** Releases the next version of the model and returns it. */
  readonly release: () => number
  /** Returns the order of a version that an endpoint got first; undefined if none did in time. */
  readonly firstOrder: (version: number, timeoutMs: number) => Promise<OrderedEndpoints['orders'][number] | undefined>
}

async function openFixture (t: ExecutionContext): Promise<Fixture> {
  const endpoints = new OrderedEndpoints()
  let version = 1
  await startHosts(t, {
    domains: DOMAINS,
    portOf: (host) => endpoints.portOf(host),
    entries: ENDPOINTS.map((id) => endpointEntry(id, { service: 'models', versions: { [MODEL]: 1 } })),
    services: [{ name: 'models', maxConnections: 8, models: [MODEL], capacity: undefined }],
    releases: () => new Map([[MODEL, version]])
  })
  return {
    endpoints,
    release: () => {
      version += 1
      return version
    },
    firstOrder: async (wanted, timeoutMs) => {
      const deadline = performance.now() + timeoutMs
      const find = (): OrderedEndpoints['orders'][number] | undefined => endpoints.orders.find((order) => order.version === wanted)
      while (find() === undefined && performance.now() < deadline) await setTimeout(20)
      return find()
    }
  }
}

// Guards against weights that reach no endpoint for as long as the host that may order them is cut off (steps wait for them).
test('a host that reaches no endpoint hands the duties over to one that does', async (t) => {
  t.timeout(TIMEOUT_MS)
  const { endpoints, release, firstOrder } = await openFixture(t)
  const before = await firstOrder(release(), 10_000)
  t.not(before, undefined)
  const leader = before?.host ?? 0
  endpoints.cut.add(leader)
  const next = release()
  const cutAt = performance.now()
  const after = await firstOrder(next, CONTACT_MS + LEASE_MS)
  t.log(`the next version reached an endpoint after ${Math.round((after?.at ?? Infinity) - cutAt)} ms`)
  t.not(after, undefined)
  t.not(after?.host, leader)
  t.true((after?.fence ?? 0) > (before?.fence ?? 0))
})

// Guards against duties that nobody runs, since a leader gives them up while no other host could run them either.
test('a leader keeps the duties while no host reaches endpoints, and hands them over once one does', async (t) => {
  t.timeout(TIMEOUT_MS)
  const { endpoints, release, firstOrder } = await openFixture(t)
  const before = await firstOrder(release(), 10_000)
  const leader = before?.host ?? 0
  for (const host of DOMAINS.keys()) endpoints.cut.add(host)
  await firstOrder(release(), CONTACT_MS)
  endpoints.cut.delete(leader)
  const kept = await firstOrder(release(), LEASE_MS)
  t.is(kept?.host, leader)
  t.is(kept?.fence, before?.fence)
  endpoints.cut.add(leader)
  endpoints.cut.delete(3 - leader)
  const last = await firstOrder(release(), CONTACT_MS + LEASE_MS)
  t.is(last?.host, 3 - leader)
})

// Guards against hosts that act in turn (ONE) because cuts that move on make them hand the duties back and forth.
test('hosts that are cut off one after the other do not act in turn within the lease', async (t) => {
  t.timeout(TIMEOUT_MS)
  const { endpoints, release, firstOrder } = await openFixture(t)
  let version = release()
  for (let round = 0; round < 5; round += 1) {
    const order = await firstOrder(version, CONTACT_MS + LEASE_MS)
    endpoints.cut.clear()
    if (order !== undefined) endpoints.cut.add(order.host)
    version = release()
  }
  await firstOrder(version, CONTACT_MS + LEASE_MS)
  const { orders } = endpoints
  t.log(orders.map(({ host, fence, version: one, at }) => `${Math.round(at)} h${host} ${fence} v${one}`).join(', '))
  t.true(new Set(orders.map(({ host }) => host)).size > 1)
  for (const [index, { host, fence, at }] of orders.entries()) {
    const earlier = orders.slice(0, index)
    t.true(earlier.every((one) => one.fence <= fence))
    const last = earlier.findLast((one) => one.host === host)
    const others = earlier.filter((one) => one.host !== host && one.at > (last?.at ?? Infinity))
    t.false(others.length > 0 && at - (last?.at ?? -Infinity) < LEASE_MS)
  }
})
