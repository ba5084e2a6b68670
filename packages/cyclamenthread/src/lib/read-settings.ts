import { failure, nearestName, success } from '@cyclamenthread/state'
import { ENVIRONMENT_PREFIX, environmentName, flagName, SECRET_SETTINGS, serviceSettingsSchema } from './settings.js'
import type { Outcome } from '@cyclamenthread/state'
import type { ServiceSettings } from './settings.js'

/** Number of store timeouts that must fit into a lease: a renewal that times out and the read that determines its outcome. */
const MIN_STORE_TIMEOUTS_PER_LEASE = 2

/** Settings that together enable TLS between hosts. */
const CERTIFICATE_SETTINGS = ['peerCertificate', 'peerKey', 'peerAuthority'] as const

const SETTING_NAMES = Object.keys(serviceSettingsSchema.shape)

/**
 * Reads and validates the settings of a process. Flags take precedence over
 * environment variables, and an empty variable counts as not set. Errors never
 * contain a value, because it may be a secret that was given in the wrong place.
 *
 * @param flags values from the command line, by setting name
 * @param environment the process environment
 * @returns the settings, or all errors found, one line each
 * @example
 * readSettings({ hostId: 'h1' }, process.env)
 */
export function readSettings (flags: Readonly<Record<string, unknown>>, environment: NodeJS.ProcessEnv): Outcome<ServiceSettings, readonly string[]> {
  const values: Record<string, unknown> = {}
  for (const setting of SETTING_NAMES) {
    const variable = environment[environmentName(setting)]
    const value = flags[setting] ?? (variable === '' ? undefined : variable)
    if (value !== undefined) values[setting] = value
  }
  const parsed = serviceSettingsSchema.safeParse(values)
  const errors = [
    ...unknownFlags(flags),
    ...unknownVariables(environment),
    ...(parsed.success ? [] : parsed.error.issues.map((issue) => formatIssue(String(issue.path[0]), values, issue.message))),
    ...findConflicts(values)
  ]
  return parsed.success && errors.length === 0 ? success(parsed.data) : failure(errors)
}

/**
 * Warnings about secrets that were given as flags: every user of the machine
 * can read them in the process list.
 *
 * @example
 * secretFlagWarnings({ clusterSecret: '…' }) // one line
 */
export function secretFlagWarnings (flags: Readonly<Record<string, unknown>>): string[] {
  return SECRET_SETTINGS
    .filter((setting) => flags[setting] !== undefined)
    .map((setting) => `${flagName(setting)} is visible in the process list; set ${environmentName(setting)} instead`)
}

function settingLabel (setting: string): string {
  return `${flagName(setting)} (${environmentName(setting)})`
}

function formatIssue (setting: string, values: Readonly<Record<string, unknown>>, message: string): string {
  return `${settingLabel(setting)}: ${values[setting] === undefined ? 'is missing' : message}`
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

/** Finds settings that are valid individually but conflict with each other. Uses the values that are valid, so that these errors are reported together with the others. */
function findConflicts (values: Readonly<Record<string, unknown>>): string[] {
  const errors: string[] = []
  const { leaseMs, storeTimeoutMs } = serviceSettingsSchema.shape
  const lease = leaseMs.safeParse(values['leaseMs']).data
  const timeout = storeTimeoutMs.safeParse(values['storeTimeoutMs']).data
  if (lease !== undefined && timeout !== undefined && lease <= MIN_STORE_TIMEOUTS_PER_LEASE * timeout) {
    errors.push(`${settingLabel('leaseMs')}: expected more than ${MIN_STORE_TIMEOUTS_PER_LEASE} times ${settingLabel('storeTimeoutMs')}, so that the lease survives one lost response`)
  }
  if (values['callerAddress'] !== undefined && values['callerAddress'] === values['peerAddress']) {
    errors.push(`${settingLabel('peerAddress')}: must differ from the address in ${settingLabel('callerAddress')}`)
  }
  const certificateFiles = CERTIFICATE_SETTINGS.filter((setting) => values[setting] !== undefined)
  // Without this check, one missing file would silently disable TLS.
  if (certificateFiles.length > 0 && certificateFiles.length < CERTIFICATE_SETTINGS.length) {
    errors.push(`${CERTIFICATE_SETTINGS.map(settingLabel).join(', ')}: expected all three or none`)
  }
  if (values['operatorToken'] !== undefined && values['operatorToken'] === values['clusterSecret']) {
    errors.push(`${settingLabel('operatorToken')}: must differ from the secret in ${settingLabel('clusterSecret')}`)
  }
  return errors
}
