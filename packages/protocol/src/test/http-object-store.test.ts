import { createServer } from 'node:net'
import test from 'ava'
import { HttpObjectStore, StorePurpose, WeightStoreClient } from '@cyclamenthread/protocol'
import type { AddressInfo, Socket } from 'node:net'
import type { ExecutionContext } from 'ava'

const HEAD = 'HTTP/1.1 200 OK\r\nETag: 1\r\n\r\n'

/** Starts a store that answers each request with a text and then ends the connection. */
async function startStore (t: ExecutionContext, body: string, end: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write(HEAD + body)
      end(socket)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

// Guards against a part of a stored value that passes for the whole one, because the connection was reset (a number is complete after each digit).
test('a value whose connection is reset is not read, and one whose connection is closed in order is', async (t) => {
  const read = async (end: (socket: Socket) => void): Promise<unknown> => {
    const store = new HttpObjectStore(await startStore(t, '12', end))
    t.teardown(async () => await store.close())
    const found = await store.read('a', { purpose: StorePurpose.Other, deadline: performance.now() + 2_000 })
    return found.ok ? found.value?.value : found.failure
  }
  t.is(await read((socket) => socket.resetAndDestroy()), 'unavailable')
  t.is(await read((socket) => setTimeout(() => socket.resetAndDestroy(), 20)), 'unavailable')
  t.is(await read((socket) => socket.end()), 12)
})

// Guards against a list of weight versions that counts although its connection was reset.
test('releases whose connection is reset are not read, and those whose connection is closed in order are', async (t) => {
  const read = async (end: (socket: Socket) => void): Promise<unknown> => {
    const client = new WeightStoreClient(await startStore(t, '{"releases":[]}', end))
    t.teardown(async () => await client.close())
    return await client.readReleases(performance.now() + 2_000)
  }
  t.is(await read((socket) => socket.resetAndDestroy()), undefined)
  t.deepEqual(await read((socket) => socket.end()), [])
})
