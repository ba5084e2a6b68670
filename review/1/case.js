import { runCase, startHosts } from '../lib/case.js'
import { call, createAgent } from '../lib/client.js'
import { configuration } from '../lib/config.js'
import { Engine } from '../lib/engine.js'
import { sleep } from '../lib/network.js'

/** Bound of the deployment after which a configuration is in force everywhere, in milliseconds. */
const CONFIG_MS = 2_500

/** Pause between two keys that are taken away, in milliseconds. */
const GAP_MS = 400

const ROUNDS = 20

/** A key that no configuration ever held. */
const UNKNOWN_KEY = 'x000000000000000000x'

/** Two tenants that hold three keys between them. */
const KEYS = [['huka270', '2b9wu3fexd9dnn2ctnfz'], ['huka270', 's989anu6wsjnbanfqasn'], ['puhu251', 'k3n27wq0z5vd8ty4me1r']]

function configurationWith (version, keys) {
  const tenants = ['huka270', 'puhu251'].map((name) => ({ name, apiKeys: keys.filter(([tenant]) => tenant === name).map(([, key]) => key), priority: 1 }))
  return { ...configuration(version), tenants }
}

await runCase({ hosts: 3, config: configurationWith(7, KEYS) }, async ({ trouble, record, network, store, hosts, onClose }) => {
  const sent = new Map()
  const withdrawnAt = new Map()
  const broken = []
  for (const [index, zone] of ['leith-walk', 'castlegate', 'grassmarket'].entries()) {
    const engine = new Engine({ id: `i-desk-${index + 1}`, service: 'booking-desk', zone, store, record })
    engine.onRun = ({ id, engine: engineId, headers }) => {
      const { key, sentAt } = sent.get(id)
      const tenant = headers['x-cyclamenthread-tenant']
      record.write('ran', { id, engine: engineId, tenant })
      if (key === UNKNOWN_KEY) broken.push(`ROUTE: ${engineId} ran ${id}, whose key no configuration ever held (tenant: ${tenant ?? 'none'})`)
      if (key === null) broken.push(`CONFIG: ${engineId} ran ${id}, which came without a key on a route that isn't public (tenant: ${tenant ?? 'none'})`)
      const sinceMs = sentAt - withdrawnAt.get(key)
      if (sinceMs > CONFIG_MS) broken.push(`CONFIG: ${engineId} ran ${id}, sent ${sinceMs} ms after its key had been taken away (tenant: ${tenant ?? 'none'})`)
    }
    await engine.listen(`${network}.${10 + index}`)
    engine.register()
    onClose(() => engine.close())
  }
  await startHosts(hosts)
  const agent = createAgent()
  onClose(() => agent.destroy())
  const sendRound = async (round) => {
    const keys = [...KEYS.map(([, key]) => key), UNKNOWN_KEY, null]
    await Promise.all(hosts.flatMap((host) => keys.map(async (key, index) => {
      const id = `${host.name}.${round}.${index}`
      sent.set(id, { key, sentAt: record.now })
      record.write('sent', { id, to: host.name, key })
      const answer = await call(host.front, { path: '/payments/pay', id, body: id, agent, key })
      record.write('answered', { id, status: answer.status, failure: answer.failure })
    })))
    await sleep(50)
  }
  for (let round = 0; round < ROUNDS; round += 1) await sendRound(round)
  if (trouble) {
    for (const [index, [tenant, key]] of KEYS.entries()) {
      store.put('config', 'main', configurationWith(9 + 2 * index, KEYS.slice(index + 1)))
      withdrawnAt.set(key, record.now)
      record.write('key taken away', { tenant, key, version: 9 + 2 * index })
      await sleep(GAP_MS)
    }
  }
  await sleep(CONFIG_MS + 1_500)
  for (let round = ROUNDS; round < 2 * ROUNDS; round += 1) await sendRound(round)
  return broken
})
