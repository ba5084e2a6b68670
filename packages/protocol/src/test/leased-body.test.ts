import { createServer } from 'node:http'
import test from 'ava'
import { Agent, buildConnector, request } from 'undici'
import { FencingSupport } from '@cyclamenthread/state'
import { deadlineAfter } from '@cyclamenthread/transport'
import { EndpointClient, EndpointOrderKind, OrderStatus } from '../lib/endpoint-client.js'
import { createLeasedBody } from '../lib/leased-body.js'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Endpoint } from '@cyclamenthread/state'

/** Starts an endpoint that ignores fencing tokens and records the requests it receives. */
async function startEndpoint (): Promise<{ readonly server: Server, readonly seen: string[], readonly endpoint: Endpoint }> {
  const seen: string[] = []
  const server = createServer((request, response) => {
    seen.push(request.url ?? '')
    request.resume().on('end', () => response.end('{}'))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return { server, seen, endpoint: { id: 'e', url: `http://127.0.0.1:${port}`, region: 'r', failureDomain: 'd', slots: 1, cheap: false, fencing: FencingSupport.Ignored } }
}

const order = { kind: EndpointOrderKind.LoadWeights, pool: 'engines', version: 2, fence: 1 } as const

test('never sends an order whose lease expires while the process is paused during connecting', async (t) => {
  const { server, seen, endpoint } = await startEndpoint()
  const client = new EndpointClient()
  const sent = client.sendOrder(endpoint, order, deadlineAfter(50))
  // Blocks the event loop from before the connection is established until after the deadline.
  const until = performance.now() + 120
  while (performance.now() < until);
  t.is(await sent, OrderStatus.NotSent)
  t.deepEqual(seen, [])
  t.is(await client.sendOrder(endpoint, order, deadlineAfter(10_000)), OrderStatus.Accepted)
  t.is(seen.length, 1)
  await client.close()
  server.close()
})

test('writes nothing of a body after its lease has expired, even without an abort signal', async (t) => {
  const { server, seen, endpoint } = await startEndpoint()
  const late = createLeasedBody('{}', deadlineAfter(0))
  await t.throwsAsync(request(endpoint.url, { method: 'POST', body: late.stream() }), { name: 'LeaseEndedError' })
  t.false(late.started)
  t.deepEqual(seen, [])
  const live = createLeasedBody('{}', deadlineAfter(10_000))
  t.is((await request(endpoint.url, { method: 'POST', body: live.stream() })).statusCode, 200)
  t.true(live.started)
  t.is(seen.length, 1)
  server.close()
  server.closeAllConnections()
})

test('checks the lease when the connection is established, not when the call is made', async (t) => {
  const { server, seen, endpoint } = await startEndpoint()
  const connect = buildConnector({})
  const slow = new Agent({
    connect: (options, callback) => {
      setTimeout(() => connect(options, callback), 100)
    }
  })
  const body = createLeasedBody('{}', deadlineAfter(30))
  await t.throwsAsync(request(endpoint.url, { method: 'POST', body: body.stream(), dispatcher: slow }), { name: 'LeaseEndedError' })
  t.deepEqual(seen, [])
  await slow.destroy()
  server.close()
})
