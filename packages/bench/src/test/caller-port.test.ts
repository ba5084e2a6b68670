import { connect } from 'node:net'
import test from 'ava'
import { Caller } from '../lib/caller.js'
import { Deployment, bearerTokenFor } from '../lib/deployment.js'
import { SINGLE_HOST } from '../lib/deployment-plan.js'
import { EmbeddedHost } from '../lib/service-host.js'

/** A complete booking request that is hidden behind another one and must not run. */
const SMUGGLED_REQUEST = `POST /v1/services/pitches/hidden HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${bearerTokenFor('desk')}\r\nidempotency-key: hidden\r\ncontent-length: 0\r\n\r\n`
const OUTER_REQUEST_HEAD = `POST /v1/services/pitches/outer HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${bearerTokenFor('desk')}\r\nidempotency-key: outer\r\n`

/** Requests whose end two HTTP parsers could place differently, which allows request smuggling. */
const AMBIGUOUS: ReadonlyArray<readonly [string, string]> = [
  ['a length with chunked encoding', `${OUTER_REQUEST_HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n${SMUGGLED_REQUEST}`],
  ['two lengths', `${OUTER_REQUEST_HEAD}content-length: 0\r\ncontent-length: ${SMUGGLED_REQUEST.length}\r\n\r\n${SMUGGLED_REQUEST}`],
  ['a length that is not decimal', `${OUTER_REQUEST_HEAD}content-length: 0x0\r\n\r\n${SMUGGLED_REQUEST}`],
  ['a signed length', `${OUTER_REQUEST_HEAD}content-length: +0\r\n\r\n${SMUGGLED_REQUEST}`],
  ['an unknown transfer coding', `${OUTER_REQUEST_HEAD}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n${SMUGGLED_REQUEST}`],
  ['a space before the colon', `${OUTER_REQUEST_HEAD}transfer-encoding : chunked\r\n\r\n0\r\n\r\n${SMUGGLED_REQUEST}`],
  ['a folded header', `${OUTER_REQUEST_HEAD}x: a\r\n transfer-encoding: chunked\r\ncontent-length : 0\r\n\r\n${SMUGGLED_REQUEST}`],
  ['an invalid chunk size', `${OUTER_REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n0x0\r\n\r\n${SMUGGLED_REQUEST}`],
  ['bytes that are not HTTP', `\u0000\u0001\u0002${SMUGGLED_REQUEST}`],
  ['an oversized header', `${OUTER_REQUEST_HEAD}x: ${'a'.repeat(1024 * 1024)}\r\n\r\n${SMUGGLED_REQUEST}`]
]

/** Sends raw bytes and returns everything received until the connection closes. */
async function sendRaw (port: number, bytes: string): Promise<string> {
  return await new Promise((resolve) => {
    let answer = ''
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes))
    socket.on('data', (chunk: Buffer) => {
      answer += chunk.toString('latin1')
    })
    socket.on('error', () => {})
    socket.on('close', () => resolve(answer))
  })
}

test.serial('requests with an ambiguous end are refused, and no request smuggled in them runs', async (t) => {
  const deployment = new Deployment(SINGLE_HOST, EmbeddedHost.start)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  const [url] = deployment.urls
  const port = Number(new URL(url ?? '').port)
  for (const [name, bytes] of AMBIGUOUS) {
    const answer = await sendRaw(port, bytes)
    t.false(/^HTTP\/1.1 2/m.test(answer), `${name}: ${answer.slice(0, 200)}`)
  }
  t.deepEqual(deployment.bookings.flatMap((endpoint) => endpoint.bookings), [])
  const plain = await sendRaw(port, SMUGGLED_REQUEST.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'))
  t.true(/^HTTP\/1.1 201/.test(plain), 'the smuggled request runs when it is sent by itself')
  t.is((await new Caller(url ?? '', bearerTokenFor('desk')).book({ pitch: 1 })).status, 201)
})

test.serial('a path that traverses out of the service prefix is refused', async (t) => {
  const deployment = new Deployment(SINGLE_HOST, EmbeddedHost.start)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  const port = Number(new URL(deployment.urls[0] ?? '').port)
  for (const path of ['/../admin', '/a/../../admin', '/%2e%2e/admin', '/a/.%2E/admin', '/./admin', '/..']) {
    const request = `GET /v1/services/pitches${path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\nauthorization: Bearer ${bearerTokenFor('desk')}\r\n\r\n`
    t.regex(await sendRaw(port, request), /^HTTP\/1.1 4/, path)
  }
  // Only forwarded requests carry a request id; the service's own reads of the load report do not.
  t.deepEqual(deployment.bookings.flatMap((endpoint) => endpoint.receivedHeaders).filter((headers) => headers['x-request-id'] !== undefined), [])
})
