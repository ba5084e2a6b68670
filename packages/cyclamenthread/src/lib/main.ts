import { consola } from 'consola'
import meow from 'meow'
import { exportSpansToFile } from '@cyclamenthread/transport'
import { readSettings, secretFlagWarnings } from './read-settings.js'
import { Service } from './service.js'
import { environmentName, flagName, serviceSettingsSchema } from './settings.js'

/** Exit code for invalid settings. */
const EXIT_USAGE = 2

/** Generates the help text from the settings schema, so that the two can't differ. */
function helpText (): string {
  const lines = Object.entries(serviceSettingsSchema.shape).map(([setting, schema]) =>
    `    ${flagName(setting)}\n      ${schema.description ?? ''} [${environmentName(setting)}]`)
  return `\n  Usage\n    $ cyclamenthread [flags]\n\n  Settings (flag or environment variable)\n${lines.join('\n')}\n`
}

/**
 * Runs the service until a signal or an operator stops it.
 *
 * @internal
 */
export async function main (): Promise<void> {
  const flags = Object.fromEntries(Object.keys(serviceSettingsSchema.shape).map((setting) => [setting, { type: 'string' as const }]))
  const cli = meow(helpText(), { importMeta: import.meta, flags })
  const settings = readSettings(cli.flags, process.env)
  if (!settings.ok) {
    for (const error of settings.failure) consola.error(error)
    process.exitCode = EXIT_USAGE
    return
  }
  for (const warning of secretFlagWarnings(cli.flags)) consola.warn(warning)
  const { traceFile, traceRatio, hostId, callerAddress } = settings.value
  const closeTraces = traceFile === undefined ? async () => {} : exportSpansToFile({ path: traceFile, ratio: traceRatio, hostId })
  const service = new Service(settings.value)
  drainOnSignals(service)
  // An operator can begin a graceful shutdown as well, so its end is awaited here and not in the signal handler.
  void service.whenDrained.then(closeTraces).then(() => {
    consola.info('shutdown complete')
    process.exit(0)
  })
  await service.start()
  consola.info(`host ${hostId} is listening for callers on ${callerAddress}`)
}

function drainOnSignals (service: Service): void {
  const leave = (signal: string): void => {
    consola.info(`received ${signal}, shutting down`)
    void service.drain()
  }
  // `drain` is idempotent, so a second signal has no effect.
  process.on('SIGTERM', () => leave('SIGTERM'))
  process.on('SIGINT', () => leave('SIGINT'))
}
