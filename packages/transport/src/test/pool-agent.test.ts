import { createServer } from 'node:http'
import test from 'ava'
import { request } from 'undici'
import { createConnector, PoolAgent } from '../index.js'
import type { AddressInfo } from 'node:net'
import type { ExecutionContext } from 'ava'

const REQUESTS = 60

interface FarEnd {
  readonly url: string
  connections: () => number
}

/** Starts a server that closes the connections of some requests, which it numbers from 1. */
async function startFarEnd (t: ExecutionContext, closes: (count: number) => boolean): Promise<FarEnd> {
  let connections = 0
  let count = 0
  const server = createServer((_request, response) => {
    count += 1
    response.writeHead(200, closes(count) ? { Connection: 'close' } : {}).end('done')
  })
  server.on('connection', () => {
    connections += 1
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, connections: () => connections }
}

function openAgent (t: ExecutionContext): PoolAgent {
  const agent = new PoolAgent({ connections: 4, pipelining: 1, connect: createConnector(1_000) })
  t.teardown(async () => await agent.destroy())
  return agent
}

async function send (url: string, dispatcher: PoolAgent): Promise<string> {
  const { body } = await request(url, { dispatcher })
  return await body.text()
}

// Guards against a new connection for each request once all connections to an endpoint were closed while requests came.
test('connections are kept again after the far end has closed all of them', async (t) => {
  const { url, connections } = await startFarEnd(t, (count) => count === 20 || count === 21)
  const agent = openAgent(t)
  for (let count = 0; count < REQUESTS; count += 1) t.is(await send(url, agent), 'done')
  // Two connections take turns, because one is checked for bytes before it is used again.
  t.true(connections() <= 4, `${connections()} connections for ${REQUESTS} requests`)
})

// Guards against pools of endpoints that are gone, which would add up.
test('a pool without connections and requests is dropped, and the next request opens another', async (t) => {
  const { url, connections } = await startFarEnd(t, () => true)
  const agent = openAgent(t)
  for (let count = 0; count < 3; count += 1) {
    t.is(await send(url, agent), 'done')
    await new Promise((resolve) => setTimeout(resolve, 50))
    t.is(agent.openPools, 0)
  }
  t.is(connections(), 3)
})

test('an agent that is destroyed ends its requests and fails later ones', async (t) => {
  const { url } = await startFarEnd(t, () => false)
  const agent = openAgent(t)
  t.is(await send(url, agent), 'done')
  await agent.destroy()
  await t.throwsAsync(send(url, agent), { message: 'The client is destroyed' })
})
