import { randomBytes } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib-2/case.js'
import { send } from '../lib-2/client.js'
import { DESK, OTHER_KEY } from '../lib-2/deployment.js'
import { sleep } from '../lib-2/time.js'

/** Routes that are declared beside the two in use, so that the configuration is nearly as large as a value of the store may be. */
const IDLE_ROUTES = 5_800

/** Time for which one host is partitioned from the store, and versions that the operator writes meanwhile. */
const CUT_MS = 5_500
const VERSIONS = 5

/** Bounds of the deployment, in milliseconds. */
const CONTACT_MS = 4_000
const CONFIG_MS = 2_500

/** Requests to each host once the last version is in force, and the pause between two, in milliseconds. */
const REQUESTS = 40
const PAUSE_MS = 50

function withIdleRoutes (declared) {
  const idle = Array.from({ length: IDLE_ROUTES }, (_, index) => ({ name: `r-${index.toString(36)}`, host: DESK.host, pathPrefix: `/idle${index.toString(36)}/`, type: 'idempotent', timeoutMs: 2_000, goalMs: 236, priority: 2, service: 'desk', maxAttempts: 2, public: false }))
  return { ...declared, routes: [...declared.routes, ...idle] }
}

/** The declaration with another time-out of an idle route. */
function nextVersion (declared) {
  return { ...declared, version: declared.version + 3, routes: declared.routes.map((route) => route.name === 'r-0' ? { ...route, timeoutMs: route.timeoutMs + 10 } : route) }
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async ({ deployment, record, isTroubled }) => {
  const { store, hosts, links } = deployment
  await deployment.start({ hosts: 3, desks: 3, others: 3, models: 0, config: withIdleRoutes })
  const write = (declared, text) => {
    store.put('config', 'main', declared)
    record.add(`the operator writes version ${declared.version} of ${JSON.stringify(declared).length} bytes: ${text}`)
  }
  await sleep(6_000)

  if (isTroubled) {
    links[0].cut()
    record.add(`${hosts[0].id} is partitioned from the store`)
  }
  for (let count = 0; count < VERSIONS; count += 1) {
    await sleep(CUT_MS / (VERSIONS + 1))
    write(nextVersion(store.find('config', 'main')), 'another time-out of an idle route')
  }
  await sleep(CUT_MS / (VERSIONS + 1))
  if (isTroubled) {
    links[0].heal()
    record.add(`${hosts[0].id} reaches the store again`)
  }
  await sleep(CONTACT_MS + 500)

  const before = store.find('config', 'main')
  write({ ...before, version: before.version + 3, routes: before.routes.map((route) => route.name === 'desk' ? { ...route, service: 'other' } : route) }, 'route desk moves from service desk to service other')
  await sleep(CONFIG_MS + 200)

  const sentTo = new Map()
  for (let count = 0; count < REQUESTS; count += 1) {
    for (const host of hosts) {
      const id = randomBytes(8).toString('hex')
      sentTo.set(id, host)
      const answer = await send({ address: host.front, path: `${DESK.prefix}pitch/4`, host: DESK.host, headers: { 'X-Cyclamenthread-Credential': OTHER_KEY, 'X-Cyclamenthread-Attempt-Id': id, 'X-Cyclamenthread-Deadline-Ms': '2000' }, timeoutMs: 2_000 })
      if (answer.status !== 200) record.add(`${host.id} answered ${id} with ${answer.status ?? answer.failure}`)
    }
    await sleep(PAUSE_MS)
  }
  const faults = []
  for (const host of hosts) {
    const ranAt = (service) => deployment.runs(service).filter(({ id }) => sentTo.get(id) === host).length
    record.add(`${host.id}: of ${REQUESTS} requests, engines of service desk ran ${ranAt('desk')}, those of service other ${ranAt('other')}`)
    if (ranAt('desk') > 0) faults.push(`${host.id} had ${ranAt('desk')} of ${REQUESTS} requests run by the service of an older version`)
  }
  return faults.length === 0 ? undefined : faults.join('; ')
})
