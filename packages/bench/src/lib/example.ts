import { fileURLToPath } from 'node:url'
import { consola } from 'consola'
import { ExampleDeployment } from './example-deployment.js'

/** Settings that must be set in the environment, since the examples contain no secrets. */
const REQUIRED_SECRETS = ['CYCLAMENTHREAD_CLUSTER_SECRET', 'CYCLAMENTHREAD_OPERATOR_TOKEN'] as const

/**
 * Runs an example until SIGINT or SIGTERM.
 *
 * @param name folder in `examples/`
 */
export async function runExample (name: string | undefined): Promise<void> {
  const missing = REQUIRED_SECRETS.filter((variable) => (process.env[variable] ?? '') === '')
  if (name === undefined || missing.length > 0) {
    consola.error(name === undefined ? 'expected the name of a folder in examples/' : `set ${missing.join(' and ')} first, as the README of the example shows`)
    process.exitCode = 2
    return
  }
  const folder = fileURLToPath(new URL(`../../../../examples/${name}`, import.meta.url))
  const secrets = Object.fromEntries(REQUIRED_SECRETS.map((variable) => [variable, process.env[variable] ?? '']))
  const deployment = new ExampleDeployment(folder, secrets)
  await deployment.start()
  consola.success(`${deployment.hosts.length} hosts run; callers use ${deployment.urls.join(' ')}`)
  consola.info('no catalogue is in force until `cyclamenctl apply`; Ctrl-C drains and ends')
  let stopping = false
  const stop = (): void => {
    if (stopping) return
    stopping = true
    consola.info('draining')
    void deployment.stop().then(() => process.exit(0))
  }
  process.on('SIGINT', stop)
  process.on('SIGTERM', stop)
}
