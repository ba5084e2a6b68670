import { connect, createServer } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import { deadlineAfter } from '../lib/deadline.js'
import { PeerClient, PeerFailure } from '../lib/peer-client.js'
import { PeerServer } from '../lib/peer-server.js'
import type { AddressInfo } from 'node:net'
import type { ExecutionContext } from 'ava'
import type { PeerReply } from '../lib/peer-client.js'

const SECRET = 'secret-of-all-hosts'

/** Time that a call waits for its reply, in milliseconds. */
const PATIENCE_MS = 300

interface Link {
  readonly address: string
  /** Passes nothing more on, on the connections that are open now. */
  readonly silence: () => void
  connections: () => number
}

/** Starts a host that replies after a time, behind a link whose connections may go silent. */
async function startHost (t: ExecutionContext, replyAfterMs: () => number): Promise<Link> {
  const server = new PeerServer({ host: '127.0.0.1', port: 0, id: 'host-a', secret: SECRET, handler: async () => await sleep(replyAfterMs(), 'reply') })
  const port = await server.listen()
  let connections = 0
  const silences = new Set<() => void>()
  const link = createServer((near) => {
    connections += 1
    const far = connect(port, '127.0.0.1')
    for (const socket of [near, far]) socket.on('error', () => {})
    near.pipe(far)
    far.pipe(near)
    silences.add(() => {
      near.unpipe(far)
      far.unpipe(near)
      near.resume()
    })
    t.teardown(() => {
      near.destroy()
      far.destroy()
    })
  })
  await new Promise<void>((resolve) => link.listen(0, '127.0.0.1', resolve))
  t.teardown(async () => {
    link.close()
    await server.close()
  })
  const silence = (): void => {
    for (const each of silences) each()
  }
  return { address: `127.0.0.1:${(link.address() as AddressInfo).port}`, silence, connections: () => connections }
}

function openClient (t: ExecutionContext): PeerClient {
  const client = new PeerClient({ host: 'host-b', secret: SECRET, connectTimeoutMs: 1_000 })
  t.teardown(() => client.close())
  return client
}

async function callOnce (client: PeerClient, address: string, patienceMs = PATIENCE_MS): Promise<PeerReply> {
  return await client.call({ address, body: 'call', deadline: deadlineAfter(patienceMs), traceparent: '' })
}

// Guards against hosts that take each other for gone until the end of the day, because the connections between them went silent for good.
test('a connection to another host that has gone silent is replaced within seconds', async (t) => {
  const { address, silence, connections } = await startHost(t, () => 1)
  const client = openClient(t)
  t.true((await callOnce(client, address)).ok)
  silence()
  const silentAt = performance.now()
  let reply = await callOnce(client, address)
  t.like(reply, { ok: false, failure: PeerFailure.NoReply })
  while (!reply.ok && performance.now() - silentAt < 5_000) reply = await callOnce(client, address)
  t.true(reply.ok)
  t.true(performance.now() - silentAt < 3_000, `${Math.round(performance.now() - silentAt)} ms`)
  t.is(connections(), 2)
})

// Guards against new connections to a host that is only slow, which would slow it down further.
test('a connection to a slow host is kept, also if calls on it time out', async (t) => {
  let calls = 0
  const { address, connections } = await startHost(t, () => {
    calls += 1
    return calls % 4 === 0 ? 10 : PATIENCE_MS * 3
  })
  const client = openClient(t)
  for (let count = 0; count < 16; count += 1) await callOnce(client, address)
  t.is(connections(), 1)
})

// Guards against a long wait for a reply that ends with its connection, since the host had nothing else to say.
test('a call that waits long for its reply gets it', async (t) => {
  const { address, connections } = await startHost(t, () => 2_500)
  const client = openClient(t)
  const replies = await Promise.all([callOnce(client, address, 5_000), callOnce(client, address, 5_000)])
  t.true(replies.every(({ ok }) => ok))
  t.is(connections(), 1)
})
