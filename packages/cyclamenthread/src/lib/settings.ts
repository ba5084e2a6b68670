import { randomBytes } from 'node:crypto'
import { existsSync, readFileSync } from 'node:fs'
import { z } from 'zod'
import { failure, success } from '@cyclamenthread/state'
import type { HostSettings } from '@cyclamenthread/coordination'
import type { Outcome } from '@cyclamenthread/state'
import type { PeerCertificates } from '@cyclamenthread/transport'

/** Prefix of the environment variables that carry settings. */
export const ENVIRONMENT_PREFIX = 'CYCLAMENTHREAD_'

/** Bytes of the random part of an incarnation. */
const INCARNATION_BYTES = 6

const address = z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'an IP number and a port, as 127.0.0.1:7000')
const milliseconds = z.coerce.number().int().positive()
const file = z.string().refine((path) => existsSync(path), 'a file that exists')
const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'lower-case letters, digits, dots and dashes')

/** Settings of the service, by flag name. Each is also read from the environment. */
export const serviceSettingsSchema = z.object({
  hostId: name.describe('Id of this host; unique in the deployment.'),
  region: name.describe('Region of this host.'),
  failureDomain: name.describe('Failure domain of this host.'),
  callerAddress: address.describe('IP number and port for callers.'),
  peerAddress: address.describe('IP number and port for other hosts of the service.'),
  storeUrl: z.url().describe('Base URL of the platform\'s object service.'),
  storeRegion: name.describe('Region in which the object service runs.'),
  platformUrl: z.url().describe('Base URL of the platform\'s host list, endpoint ordering and usage intake.'),
  clusterSecret: z.string().min(16, 'at least 16 characters').describe('Secret that all hosts of the deployment share; set it by the environment.'),
  peerCertificate: file.optional().describe('File of this host\'s certificate for other hosts (PEM, common name = host id); turns TLS between hosts on.'),
  peerKey: file.optional().describe('File of the private key of the certificate for other hosts (PEM).'),
  peerAuthority: file.optional().describe('File of the certificate of the authority that signs all hosts\' certificates (PEM).'),
  dataFolder: z.string().optional().describe('Folder for bulk data; hosts without one keep nothing.'),
  ledgerPartitions: z.coerce.number().int().min(1).max(1024).default(16).describe('Partitions of the ledger; the same on all hosts, fixed for the life of a deployment.'),
  usageWindowMs: milliseconds.default(60_000).describe('Length of a usage window, in milliseconds; the same on all hosts.'),
  leaseMs: milliseconds.default(10_000).describe('Length of the leaders\' leases, in milliseconds.'),
  storeTimeoutMs: milliseconds.default(2_000).describe('Longest wait for one answer of the store, in milliseconds.'),
  storeWritesPerSecond: z.coerce.number().positive().default(300).describe('Writes a second that the object service bears from the whole deployment; the same on all hosts.'),
  storeReadsPerSecond: z.coerce.number().positive().default(2_000).describe('Reads a second that the object service bears from the whole deployment; the same on all hosts.'),
  answerRetentionMs: milliseconds.default(3_600_000).describe('How long the recorded answer of a call that may not be repeated can be had again, in milliseconds.'),
  claimRetentionMs: milliseconds.default(86_400_000).describe('How long idempotency keys and finished batches are remembered, in milliseconds.'),
  hostListPeriodMs: milliseconds.default(2_000).describe('Period of reading the platform\'s host list, in milliseconds.'),
  summaryPeriodMs: milliseconds.default(500).describe('Period of the cells\' summaries, in milliseconds.'),
  cellQueueLimit: z.coerce.number().int().positive().default(10_000).describe('Requests that may wait in one cell.'),
  maxBodyBytes: z.coerce.number().int().positive().default(4 * 1024 * 1024).describe('Largest body of a caller\'s request, in bytes.'),
  maxConnections: z.coerce.number().int().positive().default(4_096).describe('Connections of callers that are held at once; further ones are closed.'),
  requestTimeoutMs: milliseconds.default(30_000).describe('Longest a caller may take to send a whole request, in milliseconds.'),
  traceFile: z.string().optional().describe('File to which finished spans are appended, a JSON document a line; none are kept without it.'),
  traceRatio: z.coerce.number().min(0).max(1).default(0.01).describe('Share of requests that are traced when their caller does not decide, from 0 to 1.'),
  addressTtlMs: milliseconds.default(10_000).describe('How long a caller may keep an answer of the address list, in milliseconds.'),
  drainTimeoutMs: milliseconds.default(60_000).describe('Longest a planned stop waits for running requests, in milliseconds.')
})

/** The checked settings of one process. */
export type ServiceSettings = z.infer<typeof serviceSettingsSchema>

/**
 * The environment variable that carries a setting.
 *
 * @example
 * environmentName('hostId') // 'CYCLAMENTHREAD_HOST_ID'
 */
export function environmentName (setting: string): string {
  return ENVIRONMENT_PREFIX + setting.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()
}

/**
 * Checks the settings of a process; flags go before the environment.
 *
 * @param flags values by setting name, as the command line gave them
 * @param environment the process environment
 * @returns the settings, or every error found, a line each
 * @example
 * readSettings({ hostId: 'h1' }, process.env)
 */
export function readSettings (flags: Readonly<Record<string, unknown>>, environment: NodeJS.ProcessEnv): Outcome<ServiceSettings, readonly string[]> {
  const given: Record<string, unknown> = {}
  for (const setting of Object.keys(serviceSettingsSchema.shape)) {
    const value = flags[setting] ?? environment[environmentName(setting)]
    if (value !== undefined) given[setting] = value
  }
  const parsed = serviceSettingsSchema.safeParse(given)
  if (parsed.success) {
    const { peerCertificate, peerKey, peerAuthority } = parsed.data
    const files = [peerCertificate, peerKey, peerAuthority].filter((path) => path !== undefined)
    // Falling back to no TLS because one file is missing would be silent.
    if (files.length > 0 && files.length < 3) return failure(['--peer-certificate, --peer-key, --peer-authority: all three or none'])
    return success(parsed.data)
  }
  return failure(parsed.error.issues.map((issue) => {
    const setting = String(issue.path[0])
    const problem = given[setting] === undefined ? 'is missing' : issue.message
    return `--${setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)} (${environmentName(setting)}): ${problem}`
  }))
}

/** The certificates of this host; undefined unless all three files are given. */
function readCertificates (settings: ServiceSettings): PeerCertificates | undefined {
  const { peerCertificate, peerKey, peerAuthority } = settings
  if (peerCertificate === undefined || peerKey === undefined || peerAuthority === undefined) return undefined
  return {
    certificate: readFileSync(peerCertificate, 'utf8'),
    key: readFileSync(peerKey, 'utf8'),
    authority: readFileSync(peerAuthority, 'utf8')
  }
}

/** What the tasks need of the settings, for one life of the process. */
export function hostSettings (settings: ServiceSettings): HostSettings {
  const certificates = readCertificates(settings)
  return {
    ...settings,
    ...(certificates === undefined ? {} : { certificates }),
    self: {
      id: settings.hostId,
      region: settings.region,
      failureDomain: settings.failureDomain,
      peerAddress: settings.peerAddress,
      callerUrl: `http://${settings.callerAddress}`,
      hasDataFolder: settings.dataFolder !== undefined
    },
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex')
  }
}
