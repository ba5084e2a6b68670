import { createServer } from 'node:net'
import test from 'ava'
import { request } from 'undici'
import { monotonicNow } from '@cyclamenthread/transport'
import { createLeasedBody } from '../lib/leased-body.js'
import type { AddressInfo } from 'node:net'

const ORDER = '{"kind":"stop"}'

/**
 * Number of bytes that reach the server when an order is sent under a lease with the given remaining time. No abort
 * signal is passed, so that only the body itself can stop the request.
 */
async function countBytesSent (leaseLeftMs: number): Promise<number> {
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

test('sends no byte of an order if the lease has expired when the connection is ready', async (t) => {
  t.is(await countBytesSent(-1), 0)
})

test('sends an order completely under a valid lease', async (t) => {
  t.true(await countBytesSent(60_000) > ORDER.length)
})
