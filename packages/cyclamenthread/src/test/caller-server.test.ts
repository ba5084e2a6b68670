import { Socket } from 'node:net'
import { EventEmitter, once } from 'node:events'
import test from 'ava'
import { CallerServer } from '../lib/caller-server.js'
import type { CallerResponse, CallerHandler, CallerRequest } from '../lib/caller-server.js'
import type { ExecutionContext } from 'ava'

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 64, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

let nextPort = 21_400 + process.pid % 1_000 * 8

async function openServer (t: ExecutionContext, handler: CallerHandler): Promise<{ readonly server: CallerServer, readonly url: string, readonly port: number }> {
  for (;;) {
    nextPort += 1
    const port = nextPort
    const server = new CallerServer({ host: '127.0.0.1', port, handler, limits: () => LIMITS })
    try {
      await server.listen()
    } catch (error) {
      if (error instanceof Error && 'code' in error && error.code === 'EADDRINUSE') continue
      throw error
    }
    t.teardown(async () => await server.close(AbortSignal.timeout(10)))
    return { server, url: `http://127.0.0.1:${port}`, port }
  }
}

function answer (status: number, body = ''): CallerResponse {
  return { status, headers: [['X-Own', 'Kept']], body: Buffer.from(body) }
}

test('passes a request to its handler unchanged and returns the complete response', async (t) => {
  let seen: CallerRequest | undefined
  const { url } = await openServer(t, async (request) => {
    seen = request
    return answer(201, 'done')
  })
  const response = await fetch(`${url}/a/b%2Fc?x=1`, { method: 'POST', body: 'hello', headers: { 'X-Some': 'Thing' } })
  t.is(response.status, 201)
  t.is(response.headers.get('x-own'), 'Kept')
  t.is(await response.text(), 'done')
  t.deepEqual([seen?.target, seen?.method, seen?.host, Buffer.from(seen?.body ?? []).toString()], ['/a/b%2Fc?x=1', 'POST', '127.0.0.1', 'hello'])
})

test('refuses a body that exceeds the declared limit with 413', async (t) => {
  const { url } = await openServer(t, async () => answer(200))
  const response = await fetch(url, { method: 'POST', body: 'x'.repeat(65) })
  t.is(response.status, 413)
})

test('responds with 502 if the handler throws, since the request may have run', async (t) => {
  const { url } = await openServer(t, async () => await Promise.reject(new Error('broken')))
  t.is((await fetch(url)).status, 502)
})

test('aborts the request when its caller disconnects', async (t) => {
  const aborted = new Promise<void>((resolve) => {
    void openServer(t, async (request) => {
      socket.destroy()
      await once(request.signal, 'abort')
      resolve()
      return answer(200)
    }).then(({ port }) => {
      socket.connect(port, '127.0.0.1')
      socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    })
  })
  const socket = new Socket()
  await aborted
  t.pass()
})

test('a graceful shutdown completes open requests and asks callers to close their connections', async (t) => {
  const arrived = new EventEmitter()
  const { server, url } = await openServer(t, async () => {
    arrived.emit('request')
    await new Promise((resolve) => setTimeout(resolve, 100))
    return answer(200, 'late')
  })
  const request = once(arrived, 'request')
  const open = fetch(url)
  await request
  server.disableKeepAlive()
  const closed = server.close(AbortSignal.timeout(5_000))
  const response = await open
  t.is(await response.text(), 'late')
  t.is(response.headers.get('connection'), 'close')
  await closed
  await t.throwsAsync(fetch(url))
})

// Guards against requests that a planned stop ends without an answer (LOST).
test('a graceful shutdown whose time is over answers the open requests before it closes their connections', async (t) => {
  const arrived = new EventEmitter()
  const { server, url } = await openServer(t, async ({ target, signal }) => {
    arrived.emit(target)
    if (target === '/deaf') return await new Promise(() => {})
    await once(signal, 'abort')
    return answer(503, 'not run')
  })
  const arrivals = Promise.all([once(arrived, '/deaf'), once(arrived, '/attentive')])
  const responses = Promise.all([fetch(`${url}/deaf`), fetch(`${url}/attentive`)])
  await arrivals
  await server.close(AbortSignal.timeout(50))
  const [deaf, attentive] = await responses
  t.is(deaf.status, 504)
  t.is(attentive.status, 503)
  t.is(await attentive.text(), 'not run')
})

// Guards against requests that are lost or answered out of order when a connection is held and resumed.
test('each of many pipelined requests gets its response in order, with few open at once', async (t) => {
  let open = 0
  let mostOpen = 0
  const { port } = await openServer(t, async ({ target, body }) => {
    open += 1
    mostOpen = Math.max(mostOpen, open)
    await new Promise((resolve) => setTimeout(resolve, Number(target.slice(1)) % 3))
    open -= 1
    return { status: 200, headers: [], body: Buffer.from(`<${target.slice(1)}:${Buffer.from(body).toString()}>`) }
  })
  const forms = [
    (index: number) => `GET /${index} HTTP/1.1\r\nHost: h\r\n\r\n`,
    (index: number) => `POST /${index} HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\n\n\n\n`,
    (index: number) => `POST /${index} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\n\n\n\r\n0\r\n\r\n`
  ]
  const bodies = ['', '\n\n\n\n', 'a\n\n']
  const count = 60
  const socket = new Socket()
  t.teardown(() => socket.destroy())
  let received = ''
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString()
  })
  socket.connect(port, '127.0.0.1')
  socket.write(Array.from({ length: count }, (_, index) => forms[index % 3]?.(index) ?? '').join(''))
  while (!received.includes(`<${count - 1}:`)) await once(socket, 'data')
  const expected = Array.from({ length: count }, (_, index) => `<${index}:${bodies[index % 3]}>`)
  t.deepEqual(received.match(/<\d+:[^>]*>/g), expected)
  t.true(mostOpen <= 4, String(mostOpen))
})

// Guards against a request that runs although its client has gone before its body was whole.
test('a request whose connection closes before its body is whole does not run', async (t) => {
  let runs = 0
  const { server, port } = await openServer(t, async () => {
    runs += 1
    return answer(200)
  })
  const socket = new Socket()
  socket.connect(port, '127.0.0.1')
  socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf')
  while (server.openRequests === 0) await new Promise((resolve) => setTimeout(resolve, 5))
  socket.destroy()
  while (server.openRequests > 0) await new Promise((resolve) => setTimeout(resolve, 5))
  t.is(runs, 0)
})
