import { connect, createServer } from 'node:net'
import test from 'ava'
import { deadlineAfter } from '../lib/deadline.js'
import { PeerClient, PeerFailure } from '../lib/peer-client.js'
import { PeerServer } from '../lib/peer-server.js'
import type { AddressInfo, Socket } from 'node:net'
import type { ExecutionContext } from 'ava'

const SECRET = 'secret-of-all-hosts'

/** Length of a body, in bytes, and of the part of it that gets through in either direction. */
const BODY_BYTES = 3 * 1_024 * 1_024
const PASSED_BYTES = 1_024 * 1_024

/** Starts a proxy that passes a part of a reply on and then ends the connection to the client. */
async function startCuttingProxy (t: ExecutionContext, port: number, end: (socket: Socket) => void): Promise<number> {
  const proxy = createServer((near) => {
    const far = connect(port, '127.0.0.1')
    let passed = 0
    near.on('error', () => {})
    far.on('error', () => {})
    near.pipe(far, { end: false })
    far.on('data', (bytes) => {
      if (near.destroyed || passed >= PASSED_BYTES) return
      passed += bytes.length
      near.write(bytes)
      if (passed >= PASSED_BYTES) end(near)
    })
    near.on('close', () => far.destroy())
  })
  await new Promise<void>((resolve) => proxy.listen(0, '127.0.0.1', resolve))
  t.teardown(() => proxy.close())
  return (proxy.address() as AddressInfo).port
}

// Guards against a part of an answer between hosts that passes for the whole one, also while the call is still being written.
for (const [how, end] of [['reset', (socket) => socket.resetAndDestroy()], ['closed in order', (socket) => socket.end()]] as const satisfies ReadonlyArray<readonly [string, (socket: Socket) => void]>) {
  test(`a call to another host has no reply if its connection is ${how} before the end of the reply`, async (t) => {
    const server = new PeerServer({ host: '127.0.0.1', port: 0, id: 'host-a', secret: SECRET, handler: async () => Buffer.alloc(BODY_BYTES) })
    const port = await server.listen()
    t.teardown(async () => await server.close())
    const client = new PeerClient({ host: 'host-b', secret: SECRET, connectTimeoutMs: 5_000 })
    t.teardown(() => client.close())
    const address = `127.0.0.1:${await startCuttingProxy(t, port, end)}`
    const calls = Array.from({ length: 3 }, async () => await client.call({ address, body: Buffer.alloc(BODY_BYTES), deadline: deadlineAfter(5_000), traceparent: '' }))
    for (const reply of await Promise.all(calls)) t.like(reply, { ok: false, failure: PeerFailure.NoReply })
  })
}
