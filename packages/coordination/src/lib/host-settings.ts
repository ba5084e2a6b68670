import type { Host } from '@cyclamenthread/state'
import type { PeerCertificates } from '@cyclamenthread/transport'

/** Settings of one host process for its tasks. All periods are in milliseconds. */
export interface HostSettings {
  readonly self: Host
  /** Distinguishes this process from earlier ones with the same host id. */
  readonly incarnation: string
  readonly clusterSecret: string
  /** Certificates for TLS between hosts; without them, connections are not encrypted. */
  readonly certificates?: PeerCertificates
  /** Region in which the platform's object store runs. */
  readonly storeRegion: string
  /** Folder for bulk data; hosts without one store no bulk data. */
  readonly dataFolder?: string | undefined
  readonly ledgerPartitions: number
  readonly usageWindowMs: number
  readonly leaseMs: number
  readonly storeTimeoutMs: number
  /** Writes per second that the store accepts from the whole deployment. */
  readonly storeWritesPerSecond: number
  /** Reads per second that the store accepts from the whole deployment. */
  readonly storeReadsPerSecond: number
  /** How long the answer of a non-idempotent call is kept for repeated requests, in milliseconds. */
  readonly answerRetentionMs: number
  /** How long idempotency keys and finished batches are kept, in milliseconds. */
  readonly claimRetentionMs: number
  readonly hostListPeriodMs: number
  readonly summaryPeriodMs: number
  readonly cellQueueLimit: number
}
