import { readFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { deadlineAfter } from '../lib/deadline.js'
import { encodeFrame, FrameReader, MAX_FRAME_BYTES } from '../lib/frame.js'
import { PeerClient, PeerFailure } from '../lib/peer-client.js'
import { PeerServer } from '../lib/peer-server.js'
import { PeerSide, computeProof, FrameKind } from '../lib/peer-frame.js'
import type { AddressInfo, Socket } from 'node:net'
import type { ExecutionContext } from 'ava'
import type { PeerCertificates } from '../lib/peer-tls.js'
import type { PeerFrame } from '../lib/peer-frame.js'

const SEED = Number(process.env['PROPERTY_SEED'] ?? 20_261_204)
const RUNS = Number(process.env['PROPERTY_RUNS'] ?? 1_000)
const SECRET = 'secret-of-all-hosts'

/** Longer than any test runs, so that no test passes because of a timeout. */
const LONG_MS = 30_000

interface TestServer {
  readonly address: string
  readonly port: number
  /** Bodies that reached the handler, with the id of the calling host. */
  readonly calls: Array<{ readonly from: string, readonly body: unknown }>
}

async function startServer (t: ExecutionContext, certificates?: PeerCertificates): Promise<TestServer> {
  const calls: TestServer['calls'] = []
  const server = new PeerServer({
    host: '127.0.0.1',
    port: 0,
    id: 'host-a',
    secret: SECRET,
    handler: async (body, { from }) => {
      calls.push({ from, body })
      return body === 'large' ? Buffer.alloc(MAX_FRAME_BYTES) : body
    },
    ...(certificates === undefined ? {} : { certificates })
  })
  const port = await server.listen()
  t.teardown(async () => await server.close())
  return { address: `127.0.0.1:${port}`, port, calls }
}

function createClient (t: ExecutionContext, changes: Partial<ConstructorParameters<typeof PeerClient>[0]> = {}): PeerClient {
  const client = new PeerClient({ host: 'host-b', secret: SECRET, connectTimeoutMs: LONG_MS, ...changes })
  t.teardown(() => client.close())
  return client
}

async function call (from: PeerClient, address: string, body: unknown): ReturnType<PeerClient['call']> {
  return await from.call({ address, body, deadline: deadlineAfter(LONG_MS), traceparent: '' })
}

/** Connects, answers the challenge with the given callback, and returns all frames received until the connection closed. */
async function exchangeFrames (port: number, answer: (challenge: PeerFrame, socket: Socket) => void): Promise<PeerFrame[]> {
  return await new Promise((resolve) => {
    const frames: PeerFrame[] = []
    const reader = new FrameReader()
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => {})
    socket.on('close', () => resolve(frames))
    socket.on('data', (chunk: Buffer) => {
      for (const frame of reader.push(chunk) as PeerFrame[]) {
        frames.push(frame)
        if (frame.kind === FrameKind.Challenge) answer(frame, socket)
      }
    })
  })
}

function proofFrame (challenge: PeerFrame, host = 'host-b'): Buffer {
  const serverNonce = challenge.kind === FrameKind.Challenge ? challenge.nonce : ''
  return encodeFrame({ kind: FrameKind.Proof, host, nonce: 'n', proof: computeProof(SECRET, { side: PeerSide.Client, host, clientNonce: 'n', serverNonce }) })
}

test('handles calls of a host that knows the secret, under its proved id', async (t) => {
  const { address, calls } = await startServer(t)
  t.deepEqual(await call(createClient(t), address, { a: 1 }), { ok: true, body: { a: 1 } })
  t.deepEqual(calls, [{ from: 'host-b', body: { a: 1 } }])
})

test('rejects a client with a wrong secret before it reaches a handler', async (t) => {
  const { address, calls } = await startServer(t)
  const reply = await call(createClient(t, { secret: 'another-secret-of-hosts' }), address, 1)
  t.false(reply.ok)
  t.deepEqual(calls, [])
})

test('rejects a proof that was made for another host id or for another connection', async (t) => {
  const { port, calls } = await startServer(t)
  let recorded: Buffer = Buffer.alloc(0)
  const other = await exchangeFrames(port, (challenge, socket) => {
    recorded = proofFrame(challenge)
    const { kind, proof, nonce } = new FrameReader().push(recorded)[0] as Record<string, unknown>
    socket.write(encodeFrame({ kind, proof, nonce, host: 'host-c' }))
  })
  const replayed = await exchangeFrames(port, (_, socket) => socket.write(recorded))
  t.deepEqual([...other, ...replayed].map((frame) => frame.kind), [FrameKind.Challenge, FrameKind.Challenge])
  t.deepEqual(calls, [])
})

test('sends no call to a server without the secret, even if it reflects the client\'s proof', async (t) => {
  let received = ''
  const impostor = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1')
      const proof = new FrameReader().push(chunk)[0] as { proof: string, host: string }
      socket.write(encodeFrame({ kind: FrameKind.Welcome, host: proof.host, proof: proof.proof }))
    })
    socket.write(encodeFrame({ kind: FrameKind.Challenge, nonce: 'n' }))
  })
  await new Promise<void>((resolve) => impostor.listen(0, '127.0.0.1', resolve))
  t.teardown(() => impostor.close())
  const reply = await call(createClient(t), `127.0.0.1:${(impostor.address() as AddressInfo).port}`, 'private')
  t.like(reply, { ok: false, failure: PeerFailure.NotSent })
  t.false(received.includes('private'))
  t.false(received.includes(SECRET))
})

test(`closes the connection on invalid frames without calling a handler (seed ${SEED})`, async (t) => {
  const { port, address, calls } = await startServer(t)
  const garbage = fc.oneof(
    fc.uint8Array({ minLength: 4, maxLength: 200 }).map((bytes) => Buffer.concat([Buffer.from([255]), bytes])),
    fc.record({ kind: fc.constant(FrameKind.Call), id: fc.oneof(fc.string(), fc.constant(-1)), left: fc.constant(1), traceparent: fc.constant('') }).map(encodeFrame),
    fc.anything().filter((value) => typeof value !== 'symbol' && typeof value !== 'bigint').map((value) => {
      try {
        return encodeFrame(value)
      } catch {
        return encodeFrame(null)
      }
    })
  )
  await fc.assert(fc.asyncProperty(garbage, fc.boolean(), async (bytes, proved) => {
    const frames = await exchangeFrames(port, (challenge, socket) => {
      if (proved) socket.write(proofFrame(challenge))
      socket.write(bytes)
    })
    if (frames.some((frame) => frame.kind === FrameKind.Reply)) throw new Error('garbage was answered')
  }), { seed: SEED, numRuns: RUNS })
  t.deepEqual(calls, [])
  t.true((await call(createClient(t), address, 'still served')).ok)
})

test('closes the connection on an oversized length prefix before reading the frame', async (t) => {
  const { port, calls } = await startServer(t)
  const length = Buffer.alloc(4)
  length.writeUInt32BE(MAX_FRAME_BYTES + 1)
  t.is((await exchangeFrames(port, (_, socket) => socket.write(length))).length, 1)
  await exchangeFrames(port, (challenge, socket) => {
    socket.write(proofFrame(challenge))
    socket.write(length)
  })
  t.deepEqual(calls, [])
})

test('a call or reply that exceeds the frame size fails without affecting other calls', async (t) => {
  const { address } = await startServer(t)
  const from = createClient(t)
  t.like(await call(from, address, Buffer.alloc(MAX_FRAME_BYTES)), { ok: false, failure: PeerFailure.NotSent })
  t.like(await call(from, address, 'large'), { ok: false, failure: PeerFailure.Rejected })
  t.true((await call(from, address, 'small')).ok)
})

test('closes an idle connection and reopens it for the next call', async (t) => {
  const { address, calls } = await startServer(t)
  const from = createClient(t, { idleMs: 20 })
  t.true((await call(from, address, 1)).ok)
  while (from.connections > 0) await new Promise((resolve) => setTimeout(resolve, 10))
  t.true((await call(from, address, 2)).ok)
  t.is(calls.length, 2)
})

function readCertificates (host: string): PeerCertificates {
  const read = (name: string): string => readFileSync(new URL(`certificates/${name}.pem`, import.meta.url), 'utf8')
  return { certificate: read(host), key: read(`${host}.key`), authority: read('authority') }
}

test('with TLS, handles calls only of clients whose certificate names their host id', async (t) => {
  const { address, calls } = await startServer(t, readCertificates('host-a'))
  t.true((await call(createClient(t, { certificates: readCertificates('host-b') }), address, 1)).ok)
  t.false((await call(createClient(t, { host: 'host-c', certificates: readCertificates('host-b') }), address, 2)).ok)
  t.false((await call(createClient(t, { connectTimeoutMs: 500 }), address, 3)).ok)
  t.deepEqual(calls, [{ from: 'host-b', body: 1 }])
})

test('with TLS, sends no call to a server whose certificate names another host', async (t) => {
  const { address, calls } = await startServer(t, readCertificates('host-b'))
  t.false((await call(createClient(t, { certificates: readCertificates('host-b') }), address, 1)).ok)
  t.deepEqual(calls, [])
})
