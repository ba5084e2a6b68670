import type { Host } from '@cyclamenthread/state'
import type { PeerCertificates } from '@cyclamenthread/transport'

/** What the tasks of one process need to know of it. All periods are in milliseconds. */
export interface HostSettings {
  readonly self: Host
  /** Distinguishes this life of the process from earlier ones under the same id. */
  readonly incarnation: string
  readonly clusterSecret: string
  /** Turns TLS between hosts on. */
  readonly certificates?: PeerCertificates
  /** Region in which the platform's object service runs. */
  readonly storeRegion: string
  /** Folder for bulk data; hosts without one keep nothing. */
  readonly dataFolder?: string | undefined
  readonly ledgerPartitions: number
  readonly usageWindowMs: number
  readonly leaseMs: number
  readonly storeTimeoutMs: number
  /** Writes that the store bears from the whole deployment, a second. */
  readonly storeWritesPerSecond: number
  /** Reads that the store bears from the whole deployment, a second. */
  readonly storeReadsPerSecond: number
  /** How long the answer of a non-idempotent call can be had again, in milliseconds. */
  readonly answerRetentionMs: number
  /** How long idempotency keys and finished batches are remembered, in milliseconds. */
  readonly claimRetentionMs: number
  readonly hostListPeriodMs: number
  readonly summaryPeriodMs: number
  readonly cellQueueLimit: number
}
