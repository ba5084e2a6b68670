import { randomBytes } from 'node:crypto'
import { existsSync, readFileSync } from 'node:fs'
import { isIPv4 } from 'node:net'
import * as z from 'zod'
import type { HostSettings } from '@cyclamenthread/coordination'
import type { PeerCertificates } from '@cyclamenthread/transport'

/** Prefix of the environment variables that carry settings. */
export const ENVIRONMENT_PREFIX = 'CYCLAMENTHREAD_'

/** Settings whose values are never printed and do not belong on a command line. */
export const SECRET_SETTINGS: readonly string[] = ['clusterSecret', 'operatorToken']

/** Shortest secret, in characters. */
const MIN_SECRET_LENGTH = 16

/** Largest port number. */
const MAX_PORT = 65_535

/** Bytes of the random part of an incarnation. */
const INCARNATION_BYTES = 6

const addressSchema = z.string().refine(isReachableAddress, 'expected the IPv4 number and port by which others reach this host, as 10.0.0.1:7000')
const httpUrlSchema = z.url({ protocol: /^https?$/, error: 'expected a URL, as http://10.0.0.9:9000' })
const secretSchema = z.string().min(MIN_SECRET_LENGTH, `expected at least ${MIN_SECRET_LENGTH} characters`)
const millisecondsSchema = z.coerce.number('expected a whole number of milliseconds').int('expected a whole number of milliseconds').positive('expected a number above 0')
const existingFileSchema = z.string().refine((path) => existsSync(path), 'expected a file that exists')
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'expected lower-case letters, digits, dots and dashes, at most 63')

/** Settings of the service, by flag name. Each is also read from the environment. */
export const serviceSettingsSchema = z.object({
  hostId: nameSchema.describe('Id of this host; unique in the deployment.'),
  region: nameSchema.describe('Region of this host.'),
  failureDomain: nameSchema.describe('Failure domain of this host.'),
  callerAddress: addressSchema.describe('IP number and port for callers.'),
  peerAddress: addressSchema.describe('IP number and port for other hosts of the service.'),
  storeUrl: httpUrlSchema.describe('Base URL of the platform\'s object service.'),
  storeRegion: nameSchema.describe('Region in which the object service runs.'),
  platformUrl: httpUrlSchema.describe('Base URL of the platform\'s host list, endpoint ordering and usage intake.'),
  clusterSecret: secretSchema.describe('Secret that all hosts of the deployment share; set it by the environment.'),
  operatorToken: secretSchema.optional().describe('Token that proves an operator; without it the host has no operators\' interface. Set it by the environment.'),
  peerCertificate: existingFileSchema.optional().describe('File of this host\'s certificate for other hosts (PEM, common name = host id); turns TLS between hosts on.'),
  peerKey: existingFileSchema.optional().describe('File of the private key of the certificate for other hosts (PEM).'),
  peerAuthority: existingFileSchema.optional().describe('File of the certificate of the authority that signs all hosts\' certificates (PEM).'),
  dataFolder: z.string().optional().describe('Folder for bulk data; hosts without one keep nothing.'),
  ledgerPartitions: z.coerce.number().int().min(1).max(1024).default(16).describe('Partitions of the ledger; the same on all hosts, fixed for the life of a deployment.'),
  usageWindowMs: millisecondsSchema.default(60_000).describe('Length of a usage window, in milliseconds; the same on all hosts.'),
  leaseMs: millisecondsSchema.default(10_000).describe('Length of the leaders\' leases, in milliseconds.'),
  storeTimeoutMs: millisecondsSchema.default(2_000).describe('Longest wait for one answer of the store, in milliseconds.'),
  storeWritesPerSecond: z.coerce.number().positive().default(300).describe('Writes a second that the object service bears from the whole deployment; the same on all hosts.'),
  storeReadsPerSecond: z.coerce.number().positive().default(2_000).describe('Reads a second that the object service bears from the whole deployment; the same on all hosts.'),
  answerRetentionMs: millisecondsSchema.default(3_600_000).describe('How long the recorded answer of a call that may not be repeated can be had again, in milliseconds.'),
  claimRetentionMs: millisecondsSchema.default(86_400_000).describe('How long idempotency keys and finished batches are remembered, in milliseconds.'),
  hostListPeriodMs: millisecondsSchema.default(2_000).describe('Period of reading the platform\'s host list, in milliseconds.'),
  summaryPeriodMs: millisecondsSchema.default(500).describe('Period of the cells\' summaries, in milliseconds.'),
  cellQueueLimit: z.coerce.number().int().positive().default(10_000).describe('Requests that may wait in one cell.'),
  weightStoreUrl: z.url().optional().describe('Base URL of the weight store; without it no weights are changed.'),
  weightFetchesPerSecond: z.coerce.number().positive().default(8).describe('Sets of weights that the weight store gives out in a second, over all endpoints; the same on all hosts.'),
  weightServingShare: z.coerce.number().min(0).max(1).default(0.5).describe('Share of a pool\'s endpoints in a failure domain that serve while weights change, from 0 to 1; the same on all hosts.'),
  weightSwapTimeoutMs: millisecondsSchema.default(5_000).describe('Time after which a change of weights that does not show has failed, in milliseconds.'),
  endpointStartMs: millisecondsSchema.default(60_000).describe('Time an endpoint takes from its order until it serves, in milliseconds.'),
  endpointHoldMs: millisecondsSchema.default(120_000).describe('Time for which too many endpoints must run before one is stopped, in milliseconds.'),
  endpointBackOffMs: millisecondsSchema.default(15_000).describe('Pause after no endpoint was to be had in a failure domain, in milliseconds; doubles each time.'),
  endpointSlots: z.coerce.number().int().positive().default(16).describe('Slots of an endpoint that is yet to be ordered.'),
  maxBodyBytes: z.coerce.number().int().positive().default(4 * 1024 * 1024).describe('Largest body of a caller\'s request, in bytes.'),
  maxConnections: z.coerce.number().int().positive().default(4_096).describe('Connections of callers that are held at once; further ones are closed.'),
  requestTimeoutMs: millisecondsSchema.default(30_000).describe('Longest a caller may take to send a whole request, in milliseconds.'),
  traceFile: z.string().optional().describe('File to which finished spans are appended, a JSON document a line; none are kept without it.'),
  traceRatio: z.coerce.number().min(0).max(1).default(0.01).describe('Share of requests that are traced when their caller does not decide, from 0 to 1.'),
  addressTtlMs: millisecondsSchema.default(10_000).describe('How long a caller may keep an answer of the address list, in milliseconds.'),
  drainTimeoutMs: millisecondsSchema.default(60_000).describe('Longest a planned stop waits for running requests, in milliseconds.')
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
 * The flag of a setting.
 *
 * @example
 * flagName('hostId') // '--host-id'
 */
export function flagName (setting: string): string {
  return `--${setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`
}

/** Whether an address is one that other processes can connect to. */
function isReachableAddress (text: string): boolean {
  const [ip = '', port = '', ...rest] = text.split(':')
  const inRange = /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT
  return rest.length === 0 && isIPv4(ip) && ip !== '0.0.0.0' && inRange
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
