import { once } from 'node:events'
import { Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import test from 'ava'
import { CallerServer } from '../lib/caller-server.js'
import type { ExecutionContext } from 'ava'

/** Number of connections that send one request each. */
const CONNECTIONS = 5

/** Time for which the event loop is blocked, in milliseconds. */
const BLOCKED_MS = 400

/** Opens connections in another thread and counts the requests that were sent. */
const SENDER = `
  const { workerData: { port, sent, connections } } = require('node:worker_threads')
  for (let index = 0; index < connections; index += 1) {
    const socket = require('node:net').connect(port, '127.0.0.1', () => {
      socket.write('GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n', () => Atomics.add(sent, 0, 1))
    })
    socket.on('error', () => {})
  }`

/** Starts a server that collects when requests count as received. */
async function openServer (t: ExecutionContext): Promise<{ readonly port: number, readonly received: number[] }> {
  const port = 29_400 + process.pid % 2_000
  const received: number[] = []
  const handler = async ({ receivedAt }: { readonly receivedAt: number }) => {
    received.push(receivedAt)
    return { status: 200, headers: [], body: new Uint8Array() }
  }
  const server = new CallerServer({ host: '127.0.0.1', port, handler, limits: () => undefined })
  await server.listen()
  t.teardown(async () => await server.close(AbortSignal.timeout(10)))
  return { port, received }
}

async function waitForRequests (received: readonly number[], count: number): Promise<void> {
  while (received.length < count) await new Promise((resolve) => setTimeout(resolve, 5))
}

function blockEventLoop (milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until);
}

async function connectTo (t: ExecutionContext, port: number): Promise<Socket> {
  const socket = new Socket().on('error', () => {}).connect(port, '127.0.0.1')
  t.teardown(() => socket.destroy())
  await once(socket, 'connect')
  return socket
}

// Guards against endpoints that are given more time than is left, because the body came slowly (BUDGET).
test.serial('a request counts as received when its head comes, not its body', async (t) => {
  const { port, received } = await openServer(t)
  const socket = await connectTo(t, port)
  const sentAt = performance.now()
  socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{')
  await new Promise((resolve) => setTimeout(resolve, BLOCKED_MS))
  socket.write('}')
  await waitForRequests(received, 1)
  t.true((received[0] ?? Infinity) < sentAt + BLOCKED_MS / 2)
})

// Guards against endpoints that are given more time than is left, because the host was busy or got no processor when requests came (BUDGET).
test.serial('requests that wait for the event loop, each on a new connection, count as received before that', async (t) => {
  const { port, received } = await openServer(t)
  const sent = new Int32Array(new SharedArrayBuffer(4))
  const worker = new Worker(SENDER, { eval: true, workerData: { port, sent, connections: CONNECTIONS } })
  t.teardown(async () => await worker.terminate())
  while (Atomics.load(sent, 0) < CONNECTIONS);
  const sentAt = performance.now()
  blockEventLoop(BLOCKED_MS)
  await waitForRequests(received, CONNECTIONS)
  t.true(received.every((at) => at < sentAt + BLOCKED_MS / 2), received.map((at) => Math.round(at - sentAt)).join(' '))
})

// Guards against a delay of the event loop that shortens the time of requests that came after it.
test.serial('a request that comes after a delay of the event loop counts as received when it comes', async (t) => {
  const { port, received } = await openServer(t)
  const socket = await connectTo(t, port)
  blockEventLoop(BLOCKED_MS)
  await new Promise((resolve) => setTimeout(resolve, 50))
  const sentAt = performance.now()
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  await waitForRequests(received, 1)
  t.true((received[0] ?? -Infinity) > sentAt - BLOCKED_MS / 4)
})
