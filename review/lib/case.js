import { createFolder, Host, ZONES } from './host.js'
import { configuration } from './config.js'
import { pickNetwork, sleep } from './network.js'
import { Record } from './record.js'
import { Store } from './store.js'

/** Exit codes of a case. */
const HELD = 0
const BROKEN = 1
const COULD_NOT_RUN = 2

/** Longest run of a case, in milliseconds. */
const MAX_RUN_MS = 115_000

/**
 * Runs a case: a store, hosts and what the case adds. The case returns the ways in
 * which the rule was broken. The record goes to the file that the command line names.
 */
export async function runCase ({ hosts: hostCount, config = configuration() }, play) {
  const trouble = process.env.TROUBLE !== '0'
  const path = process.argv[2]
  if (path === undefined) {
    console.log('usage: node case.js RECORD')
    process.exit(COULD_NOT_RUN)
  }
  const record = new Record(path)
  const folder = createFolder()
  const network = await pickNetwork()
  const duties = []
  const store = new Store((duty) => duties.push({ atMs: record.now, ...duty }))
  const hosts = []
  const views = new Map()
  const closers = []
  let code = COULD_NOT_RUN
  const watchdog = setTimeout(() => {
    record.write('timed out')
    for (const host of hosts) if (host.pid !== undefined) process.kill(host.pid, 'SIGKILL')
    process.exit(COULD_NOT_RUN)
  }, MAX_RUN_MS)
  try {
    store.put('config', 'main', config)
    const zones = Object.keys(ZONES)
    for (let index = 0; index < hostCount; index += 1) {
      const name = `edge-${index + 1}`
      const platform = await store.listen(`${network}.1`, (id, spec) => views.get(name)?.(id, spec) ?? spec)
      hosts.push(new Host({ name, ip: `${network}.${100 + index}`, zone: zones[index % zones.length], platform, folder: folder.path, record }))
    }
    record.write('case started', { trouble, network })
    const broken = await play({ trouble, record, network, store, hosts, duties, views, onClose: (close) => closers.push(close) })
    for (const line of broken) record.write('rule broken', { detail: line })
    record.write('case ended', { broken: broken.length })
    code = broken.length > 0 ? BROKEN : HELD
    console.log(broken.length > 0 ? broken.slice(0, 10).join('\n') : 'the rule held')
  } catch (error) {
    record.write('could not run', { detail: String(error.stack ?? error) })
    console.log(String(error.stack ?? error))
  } finally {
    clearTimeout(watchdog)
    await Promise.all(hosts.map(async (host) => await host.stop()))
    for (const close of closers) await close()
    store.close()
    if (process.env.KEEP_LOGS === undefined) folder.remove()
    else console.log(folder.path)
  }
  process.exit(code)
}

/** Time after the start of a host from which it is in touch (`contactMs`), in milliseconds. */
const CONTACT_MS = 4_000

/** Starts all hosts and waits until they are ready and in touch. */
export async function startHosts (hosts) {
  for (const host of hosts) host.start()
  for (const host of hosts) await host.waitUntilReady()
  await sleep(CONTACT_MS)
}
