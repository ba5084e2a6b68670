import test from 'ava'
import { CallOrigin } from '@cyclamenthread/coordination'
import { EndpointReplyKind, StreamPartKind, WeightOrderStatus } from '@cyclamenthread/protocol'
import { EndpointSign, unreachable } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { DESK_ROUTE, startHosts } from './entry-hosts.js'
import type { EndpointPort, EndpointReply, EndpointRequest } from '@cyclamenthread/protocol'

/** How the paths from a host to all endpoints are cut. */
enum CutKind {
  /** Requests and connections hang. */
  Hanging = 'hanging',
  /** Open connections are reset, and new ones are refused. */
  Reset = 'reset',
  /** New connections are refused, and one open connection to each endpoint lives on. */
  NewRefused = 'new-refused'
}

/** Time within which hosts have to serve their callers again, in milliseconds. */
const DETECTION_MS = 4_000

/** Time for which a cut lasts, and after it, in milliseconds. */
const CUT_MS = 7_000
const HEALED_MS = 3_000

const ENDPOINTS = ['d1', 'd2', 'd3']

/** Duration of a call, in milliseconds. */
const CALL_MS = 60

/** Duration of a call, and time between two calls at a host, with which the connections that live on are too few, in milliseconds. */
const LONG_CALL_MS = 400
const DENSE_GAP_MS = 45

/** Endpoints to which some hosts lose their paths. */
class CuttableEndpoints {
  readonly cut = new Map<number, CutKind>()
  readonly arrivals: Array<{ readonly at: number, readonly host: number }> = []
  /** Open connections that are in use, by host and endpoint. */
  readonly #busy = new Set<string>()
  readonly #callMs: number

  constructor (callMs = CALL_MS) {
    this.#callMs = callMs
  }

  portOf (host: number): EndpointPort {
    return {
      sendRequest: async (request) => await this.#send(host, request),
      streamRequest: async function * () {
        yield { kind: StreamPartKind.NotSent }
      },
      orderWeights: async () => WeightOrderStatus.Refused,
      readReport: async () => this.cut.has(host) ? undefined : { versions: {}, busy: false, orders: 0, load: { running: 0, waiting: 0 } },
      probe: async () => this.cut.has(host) ? EndpointSign.None : EndpointSign.Alive,
      close: async () => {}
    }
  }

  async #send (host: number, { endpoint: { id }, signal }: EndpointRequest): Promise<EndpointReply> {
    const kind = this.cut.get(host)
    const connection = `${host}/${id}`
    switch (kind) {
      case undefined: return await this.#serve(host)
      case CutKind.Hanging:
        await new Promise((resolve) => signal.addEventListener('abort', resolve, { once: true }))
        return { kind: EndpointReplyKind.Broken, sent: true, detail: 'aborted' }
      case CutKind.Reset: return { kind: EndpointReplyKind.Broken, sent: Math.random() < 0.5, detail: 'reset' }
      case CutKind.NewRefused: {
        if (this.#busy.has(connection)) return { kind: EndpointReplyKind.Broken, sent: false, detail: 'refused' }
        this.#busy.add(connection)
        const reply = await this.#serve(host)
        this.#busy.delete(connection)
        return reply
      }
      default: return unreachable(kind)
    }
  }

  async #serve (host: number): Promise<EndpointReply> {
    this.arrivals.push({ at: performance.now(), host })
    await new Promise((resolve) => setTimeout(resolve, this.#callMs))
    return { kind: EndpointReplyKind.Answer, status: 200, headers: [], body: Buffer.from('done'), signature: undefined, load: undefined }
  }
}

// Guards against callers who aren't served because they came to a host that reaches no endpoint (RECOVER).
for (const kind of [CutKind.Hanging, CutKind.Reset, CutKind.NewRefused]) {
  for (const [name, cutHosts] of [['one host', [0]], ['a failure domain', [0, 1, 2]]] as const) {
    test(`callers of ${name} cut off from all endpoints are served by other hosts (${kind})`, async (t) => {
      const endpoints = new CuttableEndpoints()
      const domains = ['leith-walk', 'leith-walk', 'leith-walk', 'castlegate', 'castlegate', 'castlegate']
      const hosts = await startHosts(t, { domains, portOf: (host) => endpoints.portOf(host), entries: ENDPOINTS.map((id) => endpointEntry(id, { service: 'desk', slots: 12 })) })
      const served: Array<{ readonly at: number, readonly isCut: boolean, readonly ok: Promise<boolean> }> = []
      const cutAt = performance.now() + 1_500
      const healedAt = cutAt + CUT_MS
      const until = healedAt + HEALED_MS
      for (let index = 0; performance.now() < until; index += 1) {
        const host = index % hosts.length
        const at = performance.now()
        if (at >= cutAt && at < healedAt) for (const one of cutHosts) endpoints.cut.set(one, kind)
        else endpoints.cut.clear()
        const outcome = hosts[host]?.calls.run({
          requestId: `r${index}`, route: DESK_ROUTE, origin: CallOrigin.Caller, workspace: undefined, method: 'GET', path: '/', headers: [], body: new Uint8Array(), deadline: at + 2_000, signal: new AbortController().signal
        })
        if (outcome !== undefined) served.push({ at, isCut: cutHosts.some((one) => one === host), ok: outcome.then(({ ok }) => ok) })
        await new Promise((resolve) => setTimeout(resolve, 30))
      }
      const shareServed = async (isCut: boolean): Promise<number> => {
        const counted = await Promise.all(served.filter((one) => one.isCut === isCut && one.at >= cutAt + DETECTION_MS && one.at < healedAt).map(async ({ ok }) => await ok))
        return counted.filter(Boolean).length / counted.length
      }
      const [atCut, atOthers] = [await shareServed(true), await shareServed(false)]
      t.log(`served: ${atCut.toFixed(2)} at hosts that were cut off, ${atOthers.toFixed(2)} at the others`)
      t.true(atOthers > 0.9)
      t.true(atCut >= atOthers * 2 / 3)
      t.true(endpoints.arrivals.some(({ at, host }) => at > healedAt + 1_500 && host === 0), 'the host does not use its own path again')
    })
  }
}

// Guards against callers who are refused at a host whose open connections live on, but are too few, and against
// calls that are passed on to a host which lacks connections as well (RECOVER).
for (const [name, cutHosts] of [['a failure domain', [0, 1, 2]], ['all hosts but one', [0, 1, 2, 3, 4]]] as const) {
  test(`callers of ${name} whose open connections are too few, while new ones are refused, are served by other hosts`, async (t) => {
    const endpoints = new CuttableEndpoints(LONG_CALL_MS)
    const domains = ['leith-walk', 'leith-walk', 'leith-walk', 'castlegate', 'castlegate', 'castlegate']
    const hosts = await startHosts(t, { domains, portOf: (host) => endpoints.portOf(host), entries: ENDPOINTS.map((id) => endpointEntry(id, { service: 'desk', slots: 36 })) })
    const served: Array<{ readonly at: number, readonly isCut: boolean, readonly ok: Promise<boolean> }> = []
    const cutAt = performance.now() + 1_500
    const healedAt = cutAt + CUT_MS
    for (let round = 0; performance.now() < healedAt; round += 1) {
      if (performance.now() >= cutAt) for (const one of cutHosts) endpoints.cut.set(one, CutKind.NewRefused)
      for (const [host, { calls }] of hosts.entries()) {
        const at = performance.now()
        const outcome = calls.run({
          requestId: `r${round}.${host}`, route: DESK_ROUTE, origin: CallOrigin.Caller, workspace: undefined, method: 'GET', path: '/', headers: [], body: new Uint8Array(), deadline: at + 2_000, signal: new AbortController().signal
        })
        served.push({ at, isCut: cutHosts.some((one) => one === host), ok: outcome.then(({ ok }) => ok) })
      }
      await new Promise((resolve) => setTimeout(resolve, DENSE_GAP_MS))
    }
    const shareServed = async (isCut: boolean): Promise<number> => {
      const counted = await Promise.all(served.filter((one) => one.isCut === isCut && one.at >= cutAt + DETECTION_MS && one.at < healedAt).map(async ({ ok }) => await ok))
      return counted.filter(Boolean).length / counted.length
    }
    const [atCut, atOthers] = [await shareServed(true), await shareServed(false)]
    t.log(`served: ${atCut.toFixed(2)} at hosts that were cut off, ${atOthers.toFixed(2)} at the others`)
    t.true(atOthers > 0.9)
    t.true(atCut >= atOthers * 2 / 3)
  })
}
