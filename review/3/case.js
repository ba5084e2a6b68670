import { runCase, startHosts } from '../lib/case.js'
import { call, createAgent } from '../lib/client.js'
import { Engine } from '../lib/engine.js'
import { sleep } from '../lib/network.js'

/** Bounds of the deployment, in milliseconds. */
const GRACE_MS = 8_000
const LOSS_SLACK_MS = 200

/** Time between the two signals, in milliseconds. */
const SECOND_SIGNAL_MS = 1_000

const CLIENTS = 8
const WORK_MS = 700

await runCase(import.meta.url, { hosts: 3 }, async ({ trouble, record, network, store, hosts, onClose }) => {
  const ran = new Map()
  for (const [index, zone] of ['leith-walk', 'castlegate', 'grassmarket'].entries()) {
    const engine = new Engine({ id: `i-desk-${index + 1}`, service: 'booking-desk', zone, slots: 6, queue: 4, workMs: WORK_MS, store, record })
    engine.onRun = ({ id, engine: engineId }) => {
      ran.set(id, engineId)
      record.write('ran', { id, engine: engineId })
    }
    await engine.listen(`${network}.${10 + index}`)
    engine.register()
    onClose(() => engine.close())
  }
  await startHosts(hosts)
  const [stopped] = hosts
  const agent = createAgent(CLIENTS)
  onClose(() => agent.destroy())
  const requests = []
  const state = { running: true }
  // Clients keep using their connections to the host until it is gone.
  const clients = Array.from({ length: CLIENTS }, async (_, client) => {
    for (let index = 0; state.running; index += 1) {
      const id = `${client.toString(16).padStart(8, '0')}${index.toString(16).padStart(8, '0')}`
      const sentAt = record.now
      record.write('sent', { id, to: stopped.name })
      const answer = await call(stopped.front, { path: '/payments/pay', id, body: `amount ${id}`, agent })
      record.write('answered', { id, status: answer.status, failure: answer.failure, complete: answer.complete })
      requests.push({ id, sentAt, endedAt: record.now, answer })
      if (answer.failure !== undefined) await sleep(100)
    }
  })
  await sleep(2_000)
  const stoppedAt = record.now
  stopped.signal('SIGTERM')
  if (trouble) {
    await sleep(SECOND_SIGNAL_MS)
    stopped.signal('SIGTERM')
  }
  await stopped.ended
  const endedAt = record.now
  record.write('stopped', { tookMs: endedAt - stoppedAt })
  state.running = false
  await Promise.all(clients)
  const atWorkUntil = stoppedAt + GRACE_MS * 5 / 6
  return requests.filter(({ id, sentAt, endedAt, answer }) => {
    const isLost = answer.failure !== undefined && (ran.has(id) || (answer.sentAll && endedAt - sentAt > LOSS_SLACK_MS))
    const isExcused = endedAt >= atWorkUntil && sentAt <= stoppedAt + 3_000
    return isLost && !isExcused && endedAt <= stoppedAt + GRACE_MS + 1_000
  }).map(({ id, sentAt, endedAt, answer }) => `LOST: ${id}, sent ${sentAt - stoppedAt} ms after the first SIGTERM, ran at ${ran.get(id)} and its connection ended ${endedAt - sentAt} ms later without an answer (${answer.failure})`)
})
