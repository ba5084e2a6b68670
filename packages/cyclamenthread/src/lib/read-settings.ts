import { failure, nearestName, success } from '@cyclamenthread/state'
import { ENVIRONMENT_PREFIX, environmentName, flagName, SECRET_SETTINGS, serviceSettingsSchema } from './settings.js'
import type { Outcome } from '@cyclamenthread/state'
import type { ServiceSettings } from './settings.js'

/** Fewest store timeouts that a lease has to outlast: a renewal that times out and the read that settles it. */
const MIN_STORE_TIMEOUTS_PER_LEASE = 2

/** Settings that turn TLS between hosts on, together. */
const CERTIFICATE_SETTINGS = ['peerCertificate', 'peerKey', 'peerAuthority'] as const

const SETTING_NAMES = Object.keys(serviceSettingsSchema.shape)

/**
 * Checks the settings of a process; flags go before the environment, and an
 * empty variable counts as not set. No value is ever part of an error, since
 * it may be a secret that was put in the wrong place.
 *
 * @param flags values by setting name, as the command line gave them
 * @param environment the process environment
 * @returns the settings, or every error found, a line each
 * @example
 * readSettings({ hostId: 'h1' }, process.env)
 */
export function readSettings (flags: Readonly<Record<string, unknown>>, environment: NodeJS.ProcessEnv): Outcome<ServiceSettings, readonly string[]> {
  const given: Record<string, unknown> = {}
  for (const setting of SETTING_NAMES) {
    const variable = environment[environmentName(setting)]
    const value = flags[setting] ?? (variable === '' ? undefined : variable)
    if (value !== undefined) given[setting] = value
  }
  const parsed = serviceSettingsSchema.safeParse(given)
  const errors = [
    ...unknownFlags(flags),
    ...unknownVariables(environment),
    ...(parsed.success ? [] : parsed.error.issues.map((issue) => formatIssue(String(issue.path[0]), given, issue.message))),
    ...findConflicts(given)
  ]
  return parsed.success && errors.length === 0 ? success(parsed.data) : failure(errors)
}

/**
 * Warnings on secrets that were given as flags, where every user of the machine
 * can read them in the list of processes.
 *
 * @example
 * secretWarnings({ clusterSecret: '…' }) // one line
 */
export function secretFlagWarnings (flags: Readonly<Record<string, unknown>>): string[] {
  return SECRET_SETTINGS
    .filter((setting) => flags[setting] !== undefined)
    .map((setting) => `${flagName(setting)} can be read in the list of processes; set ${environmentName(setting)} instead`)
}

function settingLabel (setting: string): string {
  return `${flagName(setting)} (${environmentName(setting)})`
}

function formatIssue (setting: string, given: Readonly<Record<string, unknown>>, message: string): string {
  return `${settingLabel(setting)}: ${given[setting] === undefined ? 'is missing' : message}`
}

function unknownFlags (flags: Readonly<Record<string, unknown>>): string[] {
  return Object.keys(flags).filter((flag) => !SETTING_NAMES.includes(flag)).map((flag) => {
    return `${flagName(flag)}: unknown flag${suggestion(nearestName(flag, SETTING_NAMES), flagName)}`
  })
}

function unknownVariables (environment: NodeJS.ProcessEnv): string[] {
  const known = SETTING_NAMES.map(environmentName)
  return Object.keys(environment)
    .filter((name) => name.startsWith(ENVIRONMENT_PREFIX) && !known.includes(name))
    .sort()
    .map((name) => `${name}: unknown setting${suggestion(nearestName(name, known), String)}`)
}

function suggestion (nearest: string | undefined, format: (name: string) => string): string {
  return nearest === undefined ? '' : `; did you mean ${format(nearest)}?`
}

/** Settings that are valid alone and wrong together. Checked on whatever of them is valid, so that these errors come with the others. */
function findConflicts (given: Readonly<Record<string, unknown>>): string[] {
  const errors: string[] = []
  const { leaseMs, storeTimeoutMs } = serviceSettingsSchema.shape
  const lease = leaseMs.safeParse(given['leaseMs']).data
  const timeout = storeTimeoutMs.safeParse(given['storeTimeoutMs']).data
  if (lease !== undefined && timeout !== undefined && lease <= MIN_STORE_TIMEOUTS_PER_LEASE * timeout) {
    errors.push(`${settingLabel('leaseMs')}: expected more than ${MIN_STORE_TIMEOUTS_PER_LEASE} times ${settingLabel('storeTimeoutMs')}, so that one lost answer does not cost the lease`)
  }
  if (given['callerAddress'] !== undefined && given['callerAddress'] === given['peerAddress']) {
    errors.push(`${settingLabel('peerAddress')}: expected another address than ${settingLabel('callerAddress')}`)
  }
  const certificateFiles = CERTIFICATE_SETTINGS.filter((setting) => given[setting] !== undefined)
  // Falling back to no TLS because one file is missing would be silent.
  if (certificateFiles.length > 0 && certificateFiles.length < CERTIFICATE_SETTINGS.length) {
    errors.push(`${CERTIFICATE_SETTINGS.map(settingLabel).join(', ')}: expected all three or none`)
  }
  if (given['operatorToken'] !== undefined && given['operatorToken'] === given['clusterSecret']) {
    errors.push(`${settingLabel('operatorToken')}: expected another secret than ${settingLabel('clusterSecret')}`)
  }
  return errors
}
