import { createServer } from 'node:net'
import test from 'ava'
import { CompletionPartKind, EndpointClient, EndpointOrderKind, ExpectationKind, FleetOrderKind, HttpObjectStore, OrderStatus, PlatformClient, PlatformFailure, StoreFailure, StorePurpose, WeightStoreClient, WriteStatus } from '@cyclamenthread/protocol'
import type { CompletionPart } from '@cyclamenthread/protocol'
import type { AddressInfo, Socket } from 'node:net'
import type { ExecutionContext } from 'ava'

/** Status lines of answers that HTTP doesn't define; 101 answers a request for an upgrade, which is never sent. */
const INVALID_STATUSES = ['000', '099', '0', '20', '100', '101', '600', '999', '101 upgrade']

/** Body of each answer, which every client would understand. */
const BODY = JSON.stringify({ running: 1, waiting: 0, version: 3, events: [], text: 't', tokens: 1, kv: 'k', releases: [], hosts: [], endpoints: [], objects: [], changes: [], next: '1' })

/** Starts a server that answers each request with a status line. */
async function startServer (t: ExecutionContext, status: string): Promise<string> {
  const sockets = new Set<Socket>()
  const upgrade = status.endsWith('upgrade') ? 'Connection: upgrade\r\nUpgrade: x\r\n' : ''
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    let received = ''
    socket.on('data', (bytes) => {
      received += bytes.toString()
      const end = received.indexOf('\r\n\r\n')
      const isWhole = /transfer-encoding: chunked/i.test(received) ? received.endsWith('0\r\n\r\n') : received.length >= end + 4 + Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0)
      if (end < 0 || !isWhole) return
      received = ''
      socket.write(`HTTP/1.1 ${status.split(' ')[0]} Odd\r\n${upgrade}Content-Length: ${BODY.length}\r\n\r\n${BODY}`)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

const soon = (): number => performance.now() + 2_000

for (const status of INVALID_STATUSES) {
  // Guards against an answer without a meaning that reaches a caller, is taken for a report, or lets work run twice (TWICE).
  test(`the client of endpoints takes nothing from an answer with status ${status}`, async (t) => {
    const url = await startServer(t, status)
    const client = new EndpointClient()
    t.teardown(async () => await client.close())
    const endpoint = { id: 'e', url, slots: 1, failureDomain: 'd' } as Parameters<EndpointClient['callService']>[0]
    const reply = await client.callService(endpoint, { method: 'POST', path: '/', headers: [], body: new Uint8Array([1]), deadline: soon() })
    t.like(reply, { ok: false, sent: true })
    t.regex(reply.ok ? '' : reply.detail, /invalid status/)
    const parts: CompletionPart[] = []
    for await (const part of client.streamCompletion(endpoint, { requestId: 'r', prompt: 'p', maxTokens: 1, traceparent: '', deadline: soon() })) parts.push(part)
    t.is(parts.length, 1)
    t.like(parts[0], { kind: CompletionPartKind.Failure, sent: true })
    t.is(await client.readLoad(endpoint, soon()), undefined)
    t.is(await client.readCacheChanges(endpoint, 0, soon()), undefined)
    t.is(await client.exportKv(endpoint, 'r', soon()), undefined)
    t.is(await client.sendOrder(endpoint, { kind: EndpointOrderKind.LoadWeights, pool: 'p', version: 1, fence: 1 }, soon()), OrderStatus.Unknown)
  })

  // Guards against a write that counts as not written although the store may have it, and against lists read from such an answer.
  test(`the clients of the store and of the platform take nothing from an answer with status ${status}`, async (t) => {
    const url = await startServer(t, status)
    const store = new HttpObjectStore(url)
    const platform = new PlatformClient(url)
    const weights = new WeightStoreClient(url)
    t.teardown(async () => {
      await Promise.all([store.close(), platform.close(), weights.close()])
    })
    const call = { purpose: StorePurpose.Other, deadline: soon() }
    t.deepEqual(await store.read('k', call), { ok: false, failure: StoreFailure.Unavailable })
    const written = await store.write('k', {}, { kind: ExpectationKind.Absent }, call)
    t.like(written, { status: WriteStatus.Unknown })
    t.regex('detail' in written ? String(written.detail) : '', /invalid status/)
    t.like(await store.remove('k', '1', call), { status: WriteStatus.Unknown })
    t.deepEqual(await platform.hosts({ deadline: soon() }), { ok: false, failure: PlatformFailure.Unavailable })
    t.deepEqual(await platform.sendFleetOrder({ kind: FleetOrderKind.Stop, orderId: 'o', endpointId: 'e' }, { deadline: soon() }), { ok: false, failure: PlatformFailure.Unavailable })
    t.is(await weights.readReleases(soon()), undefined)
  })
}
