import { createServer } from 'node:net'
import test from 'ava'
import { LocalBroker, MessageBus, taskService } from '@cyclamenthread/coordination'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import type { AddressInfo } from 'node:net'
import type { Host } from '@cyclamenthread/state'

function createHost (id: string, port: number): Host {
  return { id, region: 'r', failureDomain: 'd', peerAddress: `127.0.0.1:${port}`, callerUrl: '', hasDataFolder: false }
}

async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

// Guards against silence that each task finds out by itself, as the membership doesn't hear of it.
test('a host that accepts connections and gives no answer in time is reported, one that answers is not', async (t) => {
  const silent = createServer(() => {})
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve))
  const answering = createHost('answering', await findFreePort())
  const broker = new LocalBroker()
  broker.createService(taskService('tally', { [PeerMessageKind.ReadRequestCounts]: async () => ({ counts: {} }) }))
  const other = new MessageBus({ self: answering, clusterSecret: 's', storeTimeoutMs: 500 }, broker)
  await other.start()
  const bus = new MessageBus({ self: createHost('own', 1), clusterSecret: 's', storeTimeoutMs: 500 }, new LocalBroker())
  t.teardown(async () => {
    await bus.stop()
    await other.stop()
    silent.close()
  })
  const reported: string[] = []
  bus.onSilence((hostId) => reported.push(hostId))
  const message = { kind: PeerMessageKind.ReadRequestCounts as const, window: 1 }
  t.true((await bus.send(answering, message, { deadline: performance.now() + 3_000 })).ok)
  t.deepEqual(reported, [])
  t.false((await bus.send(createHost('silent', (silent.address() as AddressInfo).port), message, { deadline: performance.now() + 200 })).ok)
  t.deepEqual(reported, ['silent'])
})
