import { runCase, startHosts } from '../lib/case.js'
import { call, createAgent } from '../lib/client.js'
import { MODEL } from '../lib/config.js'
import { Engine } from '../lib/engine.js'
import { sleep } from '../lib/network.js'

const RUN_MS = 24_000

/** When one engine gets into trouble, after the start of the traffic, in milliseconds. */
const TROUBLE_AT_MS = 6_000

/** A step of the trainer: one each 4 s. */
const STEP_PERIOD_MS = 4_000
const ITEMS = 36

/** Connections that clients keep open to each host. */
const CONNECTIONS = 6

/** The platform starts a process again this long after its end, in milliseconds. */
const RESTART_MS = 1_000

/** A host is in touch this long after its start (`contactMs`), in milliseconds. */
const CONTACT_MS = 4_000

/** Number of lost requests that the rule allows. */
const ALLOWED = 3

await runCase({ hosts: 3 }, async ({ trouble, record, network, store, hosts, onClose }) => {
  const ran = new Map()
  const models = []
  const addEngine = async (index, settings) => {
    const engine = new Engine({ ...settings, zone: hosts[index % hosts.length].zone, store, record })
    engine.onRun = ({ id, engine: engineId }) => {
      ran.set(id, engineId)
      record.write('ran', { id, engine: engineId })
    }
    engine.onEnd = ({ id, engine: engineId, finished }) => record.write(finished ? 'finished' : 'run broken off', { id, engine: engineId })
    await engine.listen(`${network}.${10 + index}`)
    engine.register()
    onClose(() => engine.close())
    return engine
  }
  for (let index = 0; index < 3; index += 1) await addEngine(index, { id: `i-desk-${index + 1}`, service: 'booking-desk', slots: 6, queue: 6, workMs: 200 })
  for (let index = 3; index < 9; index += 1) {
    models.push(await addEngine(index, { id: `i-model-${index - 2}`, service: 'tutor-models', slots: 12, queue: 36, events: 26, eventMs: 40, models: [{ name: MODEL, version: 1, adapters: [] }] }))
  }
  await startHosts(hosts)
  const startedAt = new Map(hosts.map((host) => [host.name, -Infinity]))
  const ends = []
  const state = { running: true }
  // The platform starts a process that has ended again.
  const supervisors = hosts.map(async (host) => {
    while (state.running) {
      const end = await Promise.race([host.ended, sleep(200)])
      if (!state.running || end === undefined) continue
      ends.push({ host: host.name, at: record.now, ...end })
      await sleep(RESTART_MS)
      if (!state.running) return
      startedAt.set(host.name, record.now)
      host.start()
    }
  })
  const began = record.now
  const lost = []
  const clients = hosts.flatMap((host) => {
    const agent = createAgent(CONNECTIONS)
    onClose(() => agent.destroy())
    return Array.from({ length: CONNECTIONS }, async (_, client) => {
      for (let index = 0; state.running; index += 1) {
        const id = `${host.name}.${client}.${index}`
        record.write('sent', { id, to: host.name })
        const answer = await call(host.front, { path: '/bookings/pitch', id, body: id, agent })
        record.write('answered', { id, status: answer.status, failure: answer.failure })
        const inTouch = record.now - startedAt.get(host.name) > CONTACT_MS
        if (answer.failure !== undefined && answer.reused && ran.has(id) && inTouch) lost.push({ id, host: host.name, engine: ran.get(id), failure: answer.failure })
        if (answer.failure !== undefined) await sleep(200)
      }
    })
  })
  if (trouble) {
    setTimeout(() => {
      models[0].isEndless = true
      record.write('bodies without end from now on', { engine: models[0].id })
    }, TROUBLE_AT_MS).unref()
  }
  for (let step = 0; record.now - began < RUN_MS; step += 1) {
    const items = Array.from({ length: ITEMS }, (_, index) => {
      const id = `e5b2${step.toString(16).padStart(4, '0')}${index.toString(16).padStart(8, '0')}`
      return { id, path: `/drafts/${step}/${index}`, headers: { 'X-Cyclamenthread-Model': MODEL, 'X-Cyclamenthread-Token-Usage': '1016,400', 'X-Cyclamenthread-Prompt-Prefix': `9c2e41:1000,${id}:16` }, body: 'q83vEjRWeJA=', tokenCount: 1416, groupId: `g${step}-${Math.floor(index / 4)}` }
    })
    const lot = `7c41e09b${step.toString(16).padStart(8, '0')}`
    const body = JSON.stringify({ step, model: MODEL, minVersion: 1, targetGroups: 8, items })
    const answer = await call(hosts[step % hosts.length].front, { path: '/drafts/7c41e0', id: lot, body, headers: { 'content-type': 'application/json' } })
    record.write('lot answered', { lot, status: answer.status, failure: answer.failure })
    await sleep(STEP_PERIOD_MS)
  }
  state.running = false
  await Promise.all([...clients, ...supervisors])
  const outOfMemory = hosts.flatMap((host) => host.log().match(/FATAL ERROR: .*/g) ?? [])
  record.write('processes that ended by themselves', { ends, outOfMemory })
  if (lost.length <= ALLOWED) return []
  return [
    `LOST: ${lost.length} requests from kept connections were passed on to sound engines and their connections closed without an answer; ${ends.length} processes ended by themselves`,
    ...ends.map((end) => `${end.host} ended by itself (${end.signal ?? end.code}); its log says: ${outOfMemory[0] ?? 'nothing'}`),
    ...lost.map(({ id, host, engine, failure }) => `LOST: ${id}, sent to ${host}, ran at ${engine}; its connection ended without an answer (${failure})`)
  ]
})
