import { runCase, startHosts } from '../lib/case.js'
import { call, createAgent } from '../lib/client.js'
import { Engine } from '../lib/engine.js'
import { sleep } from '../lib/network.js'

/** Share of its answers that the faulty engine sends a second time. */
const COPY_SHARE = 0.02

const ROUNDS = 60
const BURST = 30

await runCase({ hosts: 2 }, async ({ trouble, record, network, store, hosts, onClose }) => {
  const runs = new Map()
  const broken = []
  const engines = []
  for (const [index, zone] of ['leith-walk', 'castlegate', 'grassmarket'].entries()) {
    const engine = new Engine({ id: `i-desk-${index + 1}`, service: 'booking-desk', zone, slots: 6, queue: 2, workMs: 36, store, record })
    engine.onRun = ({ id, engine: engineId }) => {
      record.write('ran', { id, engine: engineId })
      runs.set(id, [...runs.get(id) ?? [], engineId])
    }
    await engine.listen(`${network}.${10 + index}`)
    engine.register()
    engines.push(engine)
    onClose(() => engine.close())
  }
  const [faulty] = engines
  const late = new Map()
  let copies = 0
  faulty.onReject = ({ id, socket }) => {
    if (!trouble || copies + 1 > faulty.answers * COPY_SHARE) return
    copies += 1
    late.set(socket, id)
  }
  // The second copy comes where the answer to the next request on the connection is expected. It bears the id of its own request.
  faulty.onRequest = (request, id) => {
    const earlier = late.get(request.socket)
    if (earlier === undefined) return
    late.delete(request.socket)
    record.write('second copy of an answer sent', { engine: faulty.id, copyOf: earlier, before: id })
    request.socket.write(`HTTP/1.1 503 Service Unavailable\r\nX-Cyclamenthread-Not-Executed: 1\r\nX-Cyclamenthread-Attempt-Id: ${earlier}\r\nContent-Length: 0\r\n\r\n`)
  }
  await startHosts(hosts)
  const agent = createAgent(BURST)
  onClose(() => agent.destroy())
  for (let round = 0; round < ROUNDS; round += 1) {
    await Promise.all(Array.from({ length: BURST }, async (_, index) => {
      const id = `${round.toString(16).padStart(8, '0')}${index.toString(16).padStart(8, '0')}`
      const host = hosts[index % hosts.length]
      record.write('sent', { id, to: host.name })
      const answer = await call(host.front, { path: '/payments/pay', id, body: `amount ${id}`, agent })
      record.write('answered', { id, status: answer.status, failure: answer.failure })
      if ([408, 421, 429, 503].includes(answer.status)) {
        await sleep(200)
        if ((runs.get(id)?.length ?? 0) > 0) broken.push(`REFUSED: ${id} was answered ${answer.status} and ran at ${runs.get(id).join(', ')}`)
      }
    }))
    await sleep(100)
  }
  record.write('totals', { requests: ROUNDS * BURST, answersOfFaulty: faulty.answers, copies })
  for (const [id, where] of runs) {
    if (where.length > 1) broken.push(`TWICE: ${id} isn't idempotent and ran at ${where.join(', ')}`)
  }
  return broken
})
