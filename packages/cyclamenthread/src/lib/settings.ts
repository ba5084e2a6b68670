import { randomBytes } from 'node:crypto'
import { existsSync, readFileSync } from 'node:fs'
import { isIPv4 } from 'node:net'
import * as z from 'zod'
import type { HostSettings } from '@cyclamenthread/coordination'
import type { PeerCertificates } from '@cyclamenthread/transport'

/** Prefix of the environment variables that carry settings. */
export const ENVIRONMENT_PREFIX = 'CYCLAMENTHREAD_'

/** Settings whose values are never printed and shouldn't be given as flags. */
export const SECRET_SETTINGS: readonly string[] = ['clusterSecret', 'operatorToken']

/** Minimum length of a secret, in characters. */
const MIN_SECRET_LENGTH = 16

/** Largest port number. */
const MAX_PORT = 65_535

/** Size of a random incarnation id, in bytes. */
const INCARNATION_BYTES = 6

const addressSchema = z.string().refine(isReachableAddress, 'expected an IPv4 address and port that others can reach, such as 10.0.0.1:7000')
const httpUrlSchema = z.url({ protocol: /^https?$/, error: 'expected a URL, such as http://10.0.0.9:9000' })
const secretSchema = z.string().min(MIN_SECRET_LENGTH, `expected at least ${MIN_SECRET_LENGTH} characters`)
const millisecondsSchema = z.coerce.number('expected a whole number of milliseconds').int('expected a whole number of milliseconds').positive('expected a number above 0')
const existingFileSchema = z.string().refine((path) => existsSync(path), 'expected the path of an existing file')
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'expected at most 63 lower-case letters, digits, dots and dashes, beginning with a letter or digit')

/** Settings of the service. Each can be given as a flag or as an environment variable. */
export const serviceSettingsSchema = z.object({
  hostId: nameSchema.describe('Id of this host; unique in the deployment.'),
  region: nameSchema.describe('Region of this host.'),
  failureDomain: nameSchema.describe('Failure domain of this host.'),
  callerAddress: addressSchema.describe('IP address and port for callers.'),
  peerAddress: addressSchema.describe('IP address and port for other hosts of the service.'),
  storeUrl: httpUrlSchema.describe('Base URL of the platform\'s object store.'),
  storeRegion: nameSchema.describe('Region of the object store.'),
  platformUrl: httpUrlSchema.describe('Base URL of the platform\'s API for the host list, endpoint orders and usage reports.'),
  clusterSecret: secretSchema.describe('Secret shared by all hosts of the deployment; set it by the environment variable.'),
  operatorToken: secretSchema.optional().describe('Token that authenticates operators; without it the operator API is disabled. Set it by the environment variable.'),
  peerCertificate: existingFileSchema.optional().describe('File with this host\'s certificate for connections between hosts (PEM, common name = host id); enables TLS between hosts.'),
  peerKey: existingFileSchema.optional().describe('File with the private key of this host\'s certificate (PEM).'),
  peerAuthority: existingFileSchema.optional().describe('File with the certificate of the authority that signs the certificates of all hosts (PEM).'),
  dataFolder: z.string().optional().describe('Folder for bulk data; a host without one stores nothing locally.'),
  ledgerPartitions: z.coerce.number().int().min(1).max(1024).default(16).describe('Number of ledger partitions; must be the same on all hosts and can\'t be changed during the life of a deployment.'),
  usageWindowMs: millisecondsSchema.default(60_000).describe('Length of a usage window, in milliseconds; must be the same on all hosts.'),
  leaseMs: millisecondsSchema.default(10_000).describe('Duration of leader leases, in milliseconds.'),
  storeTimeoutMs: millisecondsSchema.default(2_000).describe('Timeout of a store call, in milliseconds.'),
  storeWritesPerSecond: z.coerce.number().positive().default(300).describe('Maximum rate of writes of the whole deployment to the object store, per second; must be the same on all hosts.'),
  storeReadsPerSecond: z.coerce.number().positive().default(2_000).describe('Maximum rate of reads of the whole deployment from the object store, per second; must be the same on all hosts.'),
  answerRetentionMs: millisecondsSchema.default(3_600_000).describe('Time for which the recorded answer of a non-idempotent call is kept for replay, in milliseconds.'),
  claimRetentionMs: millisecondsSchema.default(86_400_000).describe('Time for which idempotency keys and finished batches are kept, in milliseconds.'),
  hostListPeriodMs: millisecondsSchema.default(2_000).describe('Interval between reads of the platform\'s host list, in milliseconds.'),
  summaryPeriodMs: millisecondsSchema.default(500).describe('Interval between cell summaries, in milliseconds.'),
  cellQueueLimit: z.coerce.number().int().positive().default(10_000).describe('Maximum number of requests queued in one cell.'),
  weightStoreUrl: z.url().optional().describe('Base URL of the weight store; without it weights are never changed.'),
  weightFetchesPerSecond: z.coerce.number().positive().default(8).describe('Maximum rate of weight downloads from the weight store by all endpoints, per second; must be the same on all hosts.'),
  weightServingShare: z.coerce.number().min(0).max(1).default(0.5).describe('Fraction of a pool\'s endpoints in a failure domain that keep serving while weights change, from 0 to 1; must be the same on all hosts.'),
  weightSwapTimeoutMs: millisecondsSchema.default(5_000).describe('Time after which a weight change that the endpoint doesn\'t report counts as failed, in milliseconds.'),
  endpointStartMs: millisecondsSchema.default(60_000).describe('Time from ordering an endpoint until it serves, in milliseconds.'),
  endpointHoldMs: millisecondsSchema.default(120_000).describe('Time for which there must be excess endpoints before one is stopped, in milliseconds.'),
  endpointBackOffMs: millisecondsSchema.default(15_000).describe('Initial back-off after a failure domain had no endpoint available, in milliseconds; doubles each time.'),
  endpointSlots: z.coerce.number().int().positive().default(16).describe('Number of slots assumed for an endpoint that hasn\'t been ordered yet.'),
  maxBodyBytes: z.coerce.number().int().positive().default(4 * 1024 * 1024).describe('Maximum size of the body of a caller\'s request, in bytes.'),
  maxConnections: z.coerce.number().int().positive().default(4_096).describe('Maximum number of concurrent connections of callers; further ones are closed.'),
  requestTimeoutMs: millisecondsSchema.default(30_000).describe('Time within which a caller has to send a complete request, in milliseconds.'),
  traceFile: z.string().optional().describe('File to which finished spans are appended, one JSON document per line; without it spans are not recorded.'),
  traceRatio: z.coerce.number().min(0).max(1).default(0.01).describe('Sampling ratio of requests without a sampling decision from the caller, from 0 to 1.'),
  addressTtlMs: millisecondsSchema.default(10_000).describe('Time for which a caller may cache the address list, in milliseconds.'),
  drainTimeoutMs: millisecondsSchema.default(60_000).describe('Maximum time that a graceful shutdown waits for running requests, in milliseconds.')
})

/** The checked settings of one process. */
export type ServiceSettings = z.infer<typeof serviceSettingsSchema>

/**
 * The name of the environment variable for a setting.
 *
 * @example
 * environmentName('hostId') // 'CYCLAMENTHREAD_HOST_ID'
 */
export function environmentName (setting: string): string {
  return ENVIRONMENT_PREFIX + setting.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()
}

/**
 * The command line flag for a setting.
 *
 * @example
 * flagName('hostId') // '--host-id'
 */
export function flagName (setting: string): string {
  return `--${setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`
}

/** Whether a text is an IPv4 address and port that other processes can connect to. */
function isReachableAddress (text: string): boolean {
  const [ip = '', port = '', ...rest] = text.split(':')
  const inRange = /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT
  return rest.length === 0 && isIPv4(ip) && ip !== '0.0.0.0' && inRange
}

/** Reads the certificates of this host; undefined unless all three files are set. */
function readCertificates (settings: ServiceSettings): PeerCertificates | undefined {
  const { peerCertificate, peerKey, peerAuthority } = settings
  if (peerCertificate === undefined || peerKey === undefined || peerAuthority === undefined) return undefined
  return {
    certificate: readFileSync(peerCertificate, 'utf8'),
    key: readFileSync(peerKey, 'utf8'),
    authority: readFileSync(peerAuthority, 'utf8')
  }
}

/** Derives the settings of the tasks, with a new incarnation id for this process. */
export function toHostSettings (settings: ServiceSettings): HostSettings {
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
