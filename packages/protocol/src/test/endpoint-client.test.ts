import { createServer } from 'node:net'
import test from 'ava'
import { EndpointClient } from '@cyclamenthread/protocol'
import type { AddressInfo } from 'node:net'

// Guards against half a body that is passed on as a service's whole answer, because its connection was reset.
test('the answer of a plain service without a length whose connection is reset is not complete', async (t) => {
  const client = new EndpointClient()
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => setTimeout(() => socket.resetAndDestroy(), 20))
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(async () => {
    server.close()
    await client.close()
  })
  const endpoint = { id: 'e', url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, slots: 1, failureDomain: 'd' }
  const reply = await client.callService(endpoint as Parameters<EndpointClient['callService']>[0], { method: 'GET', path: '/', headers: [], body: new Uint8Array(), deadline: performance.now() + 2_000 })
  t.deepEqual([reply.ok, reply.ok ? undefined : reply.sent], [false, true])
})

// Guards against a call that runs with another path than its caller's.
test('the path of a call reaches a plain service unchanged, below the path of its endpoint', async (t) => {
  const client = new EndpointClient()
  const targets: Array<string | undefined> = []
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', (bytes) => {
      targets.push(/^\S+ (\S+) HTTP/.exec(bytes.toString())?.[1])
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(async () => {
    server.close()
    await client.close()
  })
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  for (const base of ['', '/', '/desk/']) {
    const endpoint = { id: 'e', url: address + base, slots: 1, failureDomain: 'd' }
    const reply = await client.callService(endpoint as Parameters<EndpointClient['callService']>[0], { method: 'GET', path: '/a/../b/./%2e?q=/../', headers: [], body: new Uint8Array(), deadline: performance.now() + 2_000 })
    t.true(reply.ok)
  }
  t.deepEqual(targets, ['/a/../b/./%2e?q=/../', '/a/../b/./%2e?q=/../', '/desk/a/../b/./%2e?q=/../'])
})
