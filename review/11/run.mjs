// A trainer sends batch jobs that are large, but within the limit of bodies. Each arrives again at another host if it got no answer.
import { answer, configuration, Exit, isTroubled, ROUTE_HOST, runCase, send, sleep } from '../lib-3/harness.mjs'

/** Limit of bodies in the configuration, as in the deployments of the pages. */
const MAX_BODY_BYTES = 33_554_432

/** Items of a batch job, and size of the body of each in Base64: 30 MB together, or 0.5 MB without the disruption. */
const ITEMS = 2_048
const ITEM_BODY_BYTES = isTroubled ? 14_400 : 96

const STEPS = 8
const STEP_PERIOD_MS = 4_000
const STEP_DEADLINE_MS = 12_000
const RETRY_MS = 250

/** Time after which a process that has ended starts again. */
const RESTART_MS = 500

/** Ends of the processes of a machine, and machines with as many, that break the rule. */
const MAX_ENDS = 3
const MAX_MACHINES = 2

await runCase(import.meta.dirname, async (deployment, record) => {
  const { hosts, store } = deployment
  store.put('config', 'main', configuration({ limits: { maxBodyBytes: MAX_BODY_BYTES } }))
  await deployment.addEngine({ id: 'i-desk', service: 'desk', zone: 'leith-walk', onRun: (run) => setTimeout(() => answer(run), 25) })
  await deployment.addEngine({
    id: 'i-model',
    service: 'models',
    zone: 'leith-walk',
    models: ['m0'],
    onRun: async ({ id, response, own }) => {
      response.writeHead(200, { ...own, 'content-type': 'text/event-stream', 'X-Cyclamenthread-Weight-Versions': '1' })
      response.end(`id: 1\ndata: ${id}\n\n`)
    }
  })
  await deployment.start(3)
  if (!await deployment.ready()) return Exit.NotRun
  await sleep(2_000)

  let isOver = false
  const ends = new Map(hosts.map(({ id }) => [id, 0]))
  for (const host of hosts) {
    const supervise = async () => {
      const { code, signal } = await host.ended
      if (isOver) return
      ends.set(host.id, ends.get(host.id) + 1)
      const reason = host.errors.split('\n').find((line) => line.includes('FATAL ERROR')) ?? ''
      record.add(`${host.id} ended by itself (${code ?? signal}): ${reason}`)
      await sleep(RESTART_MS)
      if (isOver) return
      deployment.startHost(host)
      supervise()
    }
    supervise()
  }

  const headers = { host: ROUTE_HOST, 'X-Cyclamenthread-Credential': 'key-alpha' }
  const submit = async (step) => {
    const id = `job${step}`
    const items = Array.from({ length: ITEMS }, (_, index) => ({
      id: `${id}-${index}`,
      path: `/drafts/x/${index}`,
      headers: { 'X-Cyclamenthread-Model': 'm0', 'X-Cyclamenthread-Token-Usage': '540,400' },
      body: 'q83vEjRWeJAA'.repeat(ITEM_BODY_BYTES / 12),
      tokenCount: 940,
      groupId: `g${Math.floor(index / 16)}`
    }))
    const body = JSON.stringify({ step, model: 'm0', minVersion: 1, targetGroups: 115, items })
    const until = performance.now() + STEP_DEADLINE_MS
    for (let attempt = step; performance.now() < until; attempt += 1) {
      const host = hosts[attempt % hosts.length]
      const response = await send(host.front, 'POST', `/drafts/${id}`, { ...headers, 'X-Cyclamenthread-Attempt-Id': id, 'content-type': 'application/json' }, body, 3_000)
      record.add(`batch job ${id} of ${body.length} bytes at ${host.id}: ${response?.status ?? 'no answer'}`)
      if (response?.status === 202) return
      await sleep(RETRY_MS)
    }
  }

  const bookings = { served: 0, unserved: 0 }
  const booking = setInterval(() => {
    const host = hosts[(bookings.served + bookings.unserved) % hosts.length]
    const id = `booking${bookings.served + bookings.unserved}`
    send(host.front, 'POST', '/bookings/1', { ...headers, 'X-Cyclamenthread-Attempt-Id': id, 'X-Cyclamenthread-Deadline-Ms': '2000' }, '{}', 2_500).then((response) => {
      if (response?.status === 200) bookings.served += 1
      else bookings.unserved += 1
    })
  }, 250)

  const steps = []
  for (let step = 0; step < STEPS; step += 1) {
    steps.push(submit(step))
    await sleep(STEP_PERIOD_MS)
  }
  await Promise.all(steps)
  clearInterval(booking)
  await sleep(500)
  isOver = true
  for (const [id, count] of ends) record.add(`${id}: ${count} ends of its process`)
  record.add(`bookings: ${bookings.served} served, ${bookings.unserved} not served`)
  return [...ends.values()].filter((count) => count >= MAX_ENDS).length >= MAX_MACHINES ? Exit.Broken : Exit.Held
})
