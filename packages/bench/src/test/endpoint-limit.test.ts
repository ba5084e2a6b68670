import test from 'ava'
import { accountKeepers, CallOrigin } from '@cyclamenthread/coordination'
import { EndpointReplyKind, StreamPartKind, WeightOrderStatus } from '@cyclamenthread/protocol'
import { EndpointSign, Ran } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { DESK_ROUTE, startHosts } from './entry-hosts.js'
import type { EntryService } from 'cyclamenthread'
import type { EndpointPort, EndpointReply, EndpointReport, EndpointRequest, StreamPart } from '@cyclamenthread/protocol'
import type { Host } from '@cyclamenthread/state'

/** Requests per second that each endpoint accepts. */
const LIMIT = 2

/** Failure domain of each host. */
const DOMAINS = Array.from({ length: 5 }, () => 'leith-walk')

/** Time from the first answer that names a limit after which the limit holds, in milliseconds. */
const SETTLE_MS = 4_000

/** Window over which requests are counted, in milliseconds. */
const WINDOW_MS = 4_000

/** Time for which a host may have known a limit without counting, in milliseconds. */
const NOTICE_MS = 500

/** A request that reached an endpoint. */
interface Arrival {
  readonly at: number
  readonly endpoint: string
  readonly host: number
}

/** Endpoints that name a limit in each answer, and record what reaches them. */
class LimitedEndpoints {
  readonly arrivals: Arrival[] = []
  /** When each host was first told of the limit, by host and endpoint. */
  readonly toldAt = new Map<string, number>()

  portOf (host: number): EndpointPort {
    const arrive = (id: string): void => {
      this.arrivals.push({ at: performance.now(), endpoint: id, host })
    }
    const notice = { requestsPerSecond: LIMIT }
    const tell = (id: string): void => {
      const key = `${host}/${id}`
      this.toldAt.set(key, this.toldAt.get(key) ?? performance.now())
    }
    return {
      sendRequest: async ({ endpoint: { id }, startBefore = Infinity }: EndpointRequest): Promise<EndpointReply> => {
        if (performance.now() >= startBefore) return { kind: EndpointReplyKind.NotSent }
        arrive(id)
        await new Promise((resolve) => setTimeout(resolve, 20))
        tell(id)
        return { kind: EndpointReplyKind.Answer, status: 200, headers: [], body: Buffer.from('done'), signature: undefined, load: undefined, notice }
      },
      streamRequest: async function * ({ endpoint: { id }, startBefore = Infinity }: EndpointRequest): AsyncGenerator<StreamPart> {
        if (performance.now() >= startBefore) {
          yield { kind: StreamPartKind.NotSent }
          return
        }
        arrive(id)
        await new Promise((resolve) => setTimeout(resolve, 20))
        tell(id)
        yield { kind: StreamPartKind.Start, version: 3, load: undefined, notice }
        await new Promise((resolve) => setTimeout(resolve, 1_000))
        yield { kind: StreamPartKind.Event, id: 1, data: 'text', version: undefined }
        yield { kind: StreamPartKind.End }
      },
      orderWeights: async () => WeightOrderStatus.Refused,
      readReport: async (): Promise<EndpointReport | undefined> => undefined,
      probe: async () => EndpointSign.Alive,
      close: async () => {}
    }
  }

  /** Returns the largest number of requests that an endpoint got in a window while its limit held. */
  busiestWindow (id: string): number {
    const told = [...this.toldAt].filter(([key]) => key.endsWith(`/${id}`)).map(([, at]) => at)
    const from = Math.min(...told) + SETTLE_MS
    const counted = this.arrivals.filter(({ at, endpoint, host }) => endpoint === id && at >= (this.toldAt.get(`${host}/${id}`) ?? Infinity) + NOTICE_MS)
    return Math.max(0, ...counted.filter(({ at }) => at >= from).map(({ at }) => counted.filter((one) => one.at >= at && one.at < at + WINDOW_MS).length))
  }

  /** Returns the number of requests that an endpoint got within a time. */
  countBetween (id: string, from: number, to: number): number {
    return this.arrivals.filter(({ at, endpoint }) => endpoint === id && at >= from && at < to).length
  }
}

/** The outcome of a call, and how long its caller waited for it. */
interface Waited {
  readonly ok: boolean
  readonly ran: Ran | undefined
  readonly retryAfterMs: number | undefined
  readonly tookMs: number
}

async function callDesk (service: EntryService, requestId: string): Promise<Waited> {
  const startedAt = performance.now()
  const outcome = await service.calls.run({
    requestId, route: DESK_ROUTE, origin: CallOrigin.Caller, workspace: undefined, method: 'GET', path: '/', headers: [], body: new Uint8Array(), deadline: startedAt + 2_000, signal: new AbortController().signal
  })
  const refusal = outcome.ok ? undefined : outcome.refusal
  return { ok: outcome.ok, ran: refusal?.ran, retryAfterMs: refusal?.retryAfterMs, tookMs: performance.now() - startedAt }
}

// Guards against an endpoint that gets far more requests than the limit that it names (LIMIT), as each host counts for itself or not at all.
test('hosts together send an endpoint no more calls than it accepts, and refuse the others at once', async (t) => {
  const endpoints = new LimitedEndpoints()
  const ids = ['d1', 'd2']
  const hosts = await startHosts(t, { domains: DOMAINS, portOf: (host) => endpoints.portOf(host), entries: ids.map((id) => endpointEntry(id, { service: 'desk' })) })
  const outcomes: Array<Promise<Waited>> = []
  const until = performance.now() + SETTLE_MS + WINDOW_MS + 4_000
  for (let index = 0; performance.now() < until; index += 1) {
    const host = hosts[index % DOMAINS.length]
    if (host !== undefined) outcomes.push(callDesk(host, `r${index}`))
    await new Promise((resolve) => setTimeout(resolve, 40))
  }
  const ended = await Promise.all(outcomes)
  for (const id of ids) {
    const most = endpoints.busiestWindow(id)
    t.true(most <= LIMIT * 1.5 * WINDOW_MS / 1_000 + 5, `${id} got ${most} requests in ${WINDOW_MS} ms`)
    const measured = endpoints.countBetween(id, until - 8_000, until)
    t.true(measured >= LIMIT * 8 * 0.6, `${id} got only ${measured} requests in 8 s`)
  }
  for (const { ok, ran, retryAfterMs, tookMs } of ended) {
    t.true(ok || (ran === Ran.No && (retryAfterMs ?? 0) > 0 && tookMs < 900), `refused after ${Math.round(tookMs)} ms, ran: ${ran}`)
  }
})

// Guards against samples of several owners that together exceed the limit of an endpoint (LIMIT).
test('owners together send an endpoint no more samples than it accepts', async (t) => {
  const endpoints = new LimitedEndpoints()
  const ids = ['m1', 'm2']
  const hosts = await startHosts(t, { domains: DOMAINS, portOf: (host) => endpoints.portOf(host), entries: ids.map((id) => endpointEntry(id)) })
  const now = Date.now()
  for (const [index, host] of hosts.entries()) {
    const samples = rolloutOrder(100, 2).samples.map((sample) => ({ ...sample, id: `${index}.${sample.id}` }))
    const accepted = await host.rollouts.accept(rolloutOrder(100, 2, { id: `rollout-${index}`, workspace: `w${index}`, acceptedAt: now, dueAt: now + 60_000, expiresAt: now + 60_000, samples }))
    t.true(accepted.ok)
  }
  const until = performance.now() + SETTLE_MS + WINDOW_MS + 4_000
  await new Promise((resolve) => setTimeout(resolve, until - performance.now()))
  for (const id of ids) {
    const most = endpoints.busiestWindow(id)
    t.true(most <= LIMIT * 1.5 * WINDOW_MS / 1_000 + 5, `${id} got ${most} requests in ${WINDOW_MS} ms`)
    const measured = endpoints.countBetween(id, until - 8_000, until)
    t.true(measured >= LIMIT * 8 * 0.6, `${id} got only ${measured} requests in 8 s`)
  }
})

// Guards against an endpoint that stays idle, or gets its limit several times over, when the host that counts for it is lost.
test('after the host that counts for an endpoint has stopped, the others stay within the limit and go on', async (t) => {
  const endpoints = new LimitedEndpoints()
  const hosts = await startHosts(t, { domains: DOMAINS, portOf: (host) => endpoints.portOf(host), entries: [endpointEntry('d1', { service: 'desk' })] })
  const [keeper] = accountKeepers('d1', hosts.map((_, index) => ({ id: `h${index}` }) as Host))
  const lost = hosts.findIndex((_, index) => `h${index}` === keeper?.id)
  const live = hosts.filter((_, index) => index !== lost)
  const startedAt = performance.now()
  const lostAt = startedAt + 6_000
  const until = startedAt + 16_000
  const outcomes: Array<Promise<Waited>> = []
  let isStopped = false
  for (let index = 0; performance.now() < until; index += 1) {
    if (!isStopped && performance.now() >= lostAt) {
      isStopped = true
      void hosts[lost]?.stop()
    }
    const host = live[index % live.length]
    if (host !== undefined) outcomes.push(callDesk(host, `r${index}`))
    await new Promise((resolve) => setTimeout(resolve, 40))
  }
  await Promise.all(outcomes)
  const most = endpoints.busiestWindow('d1')
  t.true(most <= LIMIT * 1.5 * WINDOW_MS / 1_000 + 5, `got ${most} requests in ${WINDOW_MS} ms`)
  t.true(endpoints.countBetween('d1', lostAt + 500, lostAt + 6_000) > 0, 'nothing was sent until the loss was noticed')
  t.true(endpoints.countBetween('d1', until - 4_000, until) >= LIMIT * 4 * 0.5, 'the next keeper grants too little')
})
