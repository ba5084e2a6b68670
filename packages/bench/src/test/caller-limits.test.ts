import { connect } from 'node:net'
import test from 'ava'
import { Caller } from '../lib/caller.js'
import { Deployment, bearerTokenFor } from '../lib/deployment.js'
import { SINGLE_HOST } from '../lib/deployment-plan.js'
import { EmbeddedHost } from '../lib/service-host.js'
import type { CallerResponse } from '../lib/caller.js'

const deployment = new Deployment({ ...SINGLE_HOST, tokenMs: 5 }, EmbeddedHost.start)

test.before(async () => await deployment.start())
test.after.always(async () => await deployment.stop())

function deskCaller (): Caller {
  return new Caller(deployment.urls[0] ?? '', bearerTokenFor('desk'))
}

interface Problem {
  readonly type: string
  readonly ran: string
}

function parseProblem (answer: CallerResponse): Problem {
  return JSON.parse(answer.body) as Problem
}

/** Sends raw bytes to the caller port and returns everything received until the connection closes. */
async function sendRaw (bytes: string): Promise<string> {
  const port = Number(new URL(deployment.urls[0] ?? '').port)
  return await new Promise((resolve) => {
    let received = ''
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes))
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1')
    })
    socket.on('error', () => {})
    socket.on('close', () => resolve(received))
  })
}

test.serial('unknown paths, methods, keys and models are refused with a problem document whose ran is "no"', async (t) => {
  const answers = [
    await deskCaller().send('GET', '/v1/nothing'),
    await deskCaller().send('GET', '/v1/completions'),
    await new Caller(deployment.urls[0] ?? '', 'desk-key_wrong').book({ pitch: 1 }),
    await deskCaller().send('POST', '/v1/completions', { model: 'absent', prompt: 'x' })
  ]
  t.deepEqual(answers.map((answer) => answer.status), [404, 404, 401, 404])
  for (const answer of answers) t.is(parseProblem(answer).ran, 'no')
})

test.serial('a body that is too large or has invalid fields is refused, and the refusal names the fields', async (t) => {
  const large = await deskCaller().send('POST', '/v1/completions', { model: 'answers', prompt: 'x'.repeat(5 * 1024 * 1024) })
  const wrong = await deskCaller().send('POST', '/v1/completions', { model: 'answers', prompt: 7, max_tokens: -1 })
  t.is(large.status, 413)
  t.is(wrong.status, 400)
  t.regex(wrong.body, /prompt/)
  t.regex(wrong.body, /max_tokens/)
})

test.serial('two content lengths, a length with chunked encoding, and an oversized header are refused and reach no endpoint', async (t) => {
  const before = deployment.bookings.reduce((sum, endpoint) => sum + endpoint.bookings.length, 0)
  const head = `POST /v1/services/pitches/book HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${bearerTokenFor('desk')}\r\nidempotency-key: smuggled\r\n`
  const twoLengths = await sendRaw(`${head}content-length: 2\r\ncontent-length: 40\r\n\r\n{}`)
  const both = await sendRaw(`${head}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n`)
  const header = await sendRaw(`${head}x-long: ${'y'.repeat(64 * 1024)}\r\n\r\n`)
  t.regex(twoLengths, /^HTTP\/1\.1 400/)
  t.regex(both, /^HTTP\/1\.1 400/)
  t.regex(header, /^HTTP\/1\.1 431/)
  t.is(deployment.bookings.reduce((sum, endpoint) => sum + endpoint.bookings.length, 0), before)
})

test.serial('a caller that disconnects frees its slot, and the endpoint cancels the request', async (t) => {
  const abort = new AbortController()
  const asked = fetch(`${deployment.urls[0] ?? ''}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${bearerTokenFor('desk')}` },
    body: JSON.stringify({ model: 'answers', prompt: 'long', max_tokens: 4_000, stream: true }),
    signal: abort.signal
  })
  await asked
  abort.abort()
  const cancelled = async (): Promise<boolean> => deployment.engines.some((engine) => engine.counts.cancelled > 0)
  for (let tries = 0; tries < 200 && !await cancelled(); tries++) await new Promise((resolve) => setTimeout(resolve, 50))
  t.true(await cancelled())
  t.is(deployment.engines.reduce((sum, engine) => sum + engine.running, 0), 0)
})

test.serial('a chat completion has the same text whole and streamed, and names its weight versions', async (t) => {
  const whole = await deskCaller().send('POST', '/v1/chat/completions', { model: 'answers', messages: [{ role: 'user', content: 'hue' }], max_tokens: 16 })
  const streamed = await deskCaller().send('POST', '/v1/chat/completions', { model: 'answers', messages: [{ role: 'user', content: 'hue' }], max_tokens: 16, stream: true })
  const document = JSON.parse(whole.body) as { choices: Array<{ message: { content: string } }>, weight_versions: unknown }
  const events = streamed.body.split('\n\n').filter((line) => line.startsWith('data: {')).map((line) => JSON.parse(line.slice('data: '.length)) as { choices: Array<{ delta: { content?: string } }> })
  t.is(events.map((event) => event.choices[0]?.delta.content ?? '').join(''), document.choices[0]?.message.content ?? '')
  t.deepEqual(document.weight_versions, [{ version: 1, tokens: 16 }])
  t.true(streamed.body.endsWith('data: [DONE]\n\n'))
})

test.serial('an open entry needs no key, and path and query are forwarded unchanged', async (t) => {
  const answer = await fetch(`${deployment.urls[0] ?? ''}/v1/services/squares/free%20pitches?day=4&x=%2F`)
  t.is(answer.status, 200)
  t.is((await answer.json() as { path: string }).path, '/free%20pitches?day=4&x=%2F')
})

test.serial('a non-idempotent call needs an idempotency key, and a key belongs to one request of one workspace', async (t) => {
  const without = await deskCaller().send('POST', '/v1/services/pitches/book', { pitch: 1 })
  t.is(without.status, 400)
  t.is(parseProblem(without).ran, 'no')
  const first = await deskCaller().book({ pitch: 1 }, 'k1')
  const again = await deskCaller().book({ pitch: 1 }, 'k1')
  const other = await deskCaller().book({ pitch: 2 }, 'k1')
  t.is(again.body, first.body)
  t.is(other.status, 422)
  const elsewhere = await new Caller(deployment.urls[0] ?? '', bearerTokenFor('festival')).book({ pitch: 1 }, 'k1')
  t.not(elsewhere.body, first.body)
})
