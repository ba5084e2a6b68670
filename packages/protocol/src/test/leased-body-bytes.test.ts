import { createServer } from 'node:net'
import test from 'ava'
import { request } from 'undici'
import { monotonicNow } from '@cyclamenthread/transport'
import { createLeasedBody } from '../lib/leased-body.js'
import type { AddressInfo } from 'node:net'

const ORDER = '{"kind":"stop"}'

/** Bytes that reach the platform when an order is sent under a lease with that much left; the abort signal is left out on purpose. */
async function bytesSent (leaseLeftMs: number): Promise<number> {
  let bytes = 0
  const server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.on('data', (chunk) => {
      bytes += chunk.length
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n')
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const headers = { 'content-length': String(ORDER.length) }
  const body = createLeasedBody(ORDER, monotonicNow() + leaseLeftMs).stream()
  await request(`http://127.0.0.1:${port}/fleet/orders`, { method: 'POST', headers, body, reset: true }).then(async (response) => await response.body.dump(), () => undefined)
  await new Promise((resolve) => server.close(resolve))
  return bytes
}

test('no byte of an order leaves once the lease has run out when its connection is ready', async (t) => {
  t.is(await bytesSent(-1), 0)
})

test('an order under a lease that holds is sent whole', async (t) => {
  t.true(await bytesSent(60_000) > ORDER.length)
})
