import { createServer } from 'node:net'
import test from 'ava'
import { FencingSupport } from '@cyclamenthread/state'
import { deadlineAfter } from '@cyclamenthread/transport'
import { EndpointClient, EndpointOrderKind, OrderStatus } from '../lib/endpoint-client.js'
import { FleetOrderKind, PlatformClient } from '../lib/platform-client.js'
import type { AddressInfo, Socket } from 'node:net'
import type { Endpoint } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

/** Time that is left of the lease when a call begins, in milliseconds. */
const LEASE_LEFT_MS = 150

/** Returns how a connection ends, as seen by a far end that stalls until the end of the lease under which a call is made. */
async function endAfterLease (t: ExecutionContext, call: (url: string) => Promise<unknown>): Promise<'closed' | 'reset'> {
  const sockets: Socket[] = []
  const server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, (socket) => sockets.push(socket))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  await call(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  await new Promise((resolve) => setTimeout(resolve, 50))
  const [socket] = sockets
  if (socket === undefined) throw new Error('no connection was opened')
  return await new Promise((resolve) => {
    socket.on('error', () => resolve('reset'))
    // Node.js reports a reset that is seen only once it reads on as a proper end; then not even an empty write succeeds.
    socket.on('end', () => {
      socket.write('')
      resolve(socket.errored === null ? 'closed' : 'reset')
    })
    socket.resume()
  })
}

// Guards against an order that a cut held back and that reaches an endpoint after those of the next leader, because its connection ended without a reset (ONE).
test('an order of the leader of a failure domain that is given up at the end of its lease resets its connection', async (t) => {
  const client = new EndpointClient()
  t.teardown(async () => await client.close())
  t.is(await endAfterLease(t, async (url) => {
    const endpoint: Endpoint = { id: 'e', url, region: 'r', failureDomain: 'd', slots: 1, cheap: false, fencing: FencingSupport.Ignored }
    return await client.sendOrder(endpoint, { kind: EndpointOrderKind.LoadWeights, pool: 'engines', version: 2, fence: 1 }, deadlineAfter(LEASE_LEFT_MS))
  }), 'reset')
})

// Guards against an order of endpoints that reaches the platform after the lease of its leader, because its connection ended without a reset (ONE).
test('an order of endpoints that is given up at the end of its lease resets its connection', async (t) => {
  let client: PlatformClient | undefined
  t.teardown(async () => await client?.close())
  t.is(await endAfterLease(t, async (url) => {
    client = new PlatformClient(url)
    return await client.sendFleetOrder({ kind: FleetOrderKind.Stop, orderId: 'o', endpointId: 'e' }, { deadline: deadlineAfter(LEASE_LEFT_MS) })
  }), 'reset')
})

// Guards against an order that is written after its leader has lost the lease, because it waited for its connection (ONE).
test('an order that waits for its connection while the lease is lost is not sent', async (t) => {
  let isHeld = true
  let bytes = 0
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      bytes += chunk.length
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const client = new EndpointClient()
  const endpoint: Endpoint = { id: 'e', url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, region: 'r', failureDomain: 'd', slots: 1, cheap: false, fencing: FencingSupport.Ignored }
  const sent = client.sendOrder(endpoint, { kind: EndpointOrderKind.LoadWeights, pool: 'engines', version: 2, fence: 1 }, deadlineAfter(LEASE_LEFT_MS), () => isHeld)
  isHeld = false
  t.is(await sent, OrderStatus.NotSent)
  await client.close()
  server.close()
  t.is(bytes, 0)
})
