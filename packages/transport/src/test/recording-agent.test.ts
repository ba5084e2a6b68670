import { createServer } from 'node:http'
import test from 'ava'
import { request } from 'undici'
import { createRecordingAgent, resettingConnect, runExchangeHooks } from '../index.js'
import type { AddressInfo } from 'node:net'
import type { ConnectionUse } from '../index.js'

// Guards against logs that can't tell whether two answers came on the same connection.
test('each request learns which connection carries it, and how many it carried before', async (t) => {
  const server = createServer((_request, response) => response.end('done'))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const agent = createRecordingAgent({ connections: 2, pipelining: 1, connect: resettingConnect(1_000) })
  t.teardown(async () => {
    await agent.destroy()
    server.close()
  })
  const uses: Array<ConnectionUse | undefined> = []
  const send = async (requestId: string): Promise<void> => {
    const { body } = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
      dispatcher: agent.compose(runExchangeHooks),
      opaque: { requestId, onWrite: (use: ConnectionUse | undefined) => uses.push(use) }
    })
    await body.text()
    // The connection is kept for the next request only once the client has seen the end of the answer.
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
  await send('a')
  await send('b')
  await send('a')
  // A kept connection is checked before it is used again, so the new one is written to first.
  await Promise.all([send('c'), send('d')])
  t.deepEqual(uses.map((use) => use?.earlierRequests), [0, 1, 2, 0, 3])
  t.deepEqual(uses.map((use) => use?.connection === uses[0]?.connection), [true, true, true, false, true])
})
