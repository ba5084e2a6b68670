import { TokenBucket } from './token-bucket.js'
import { unreachable } from './invariant.js'

/** Purpose of a store call, in order of priority. */
export enum StorePurpose {
  Lease = 'lease',
  Configuration = 'configuration',
  Claim = 'claim',
  Other = 'other'
}

/** Kinds of store calls that have separate limits. */
export enum StoreCallKind {
  Read = 'read',
  Write = 'write'
}

/** Rates that the platform's store allows for the whole deployment. */
export interface StoreAllowance {
  readonly writesPerSecond: number
  readonly readsPerSecond: number
}

/** Share of the deployment that one process represents. */
export interface StoreShare {
  /** Number of live hosts. */
  readonly hosts: number
  readonly ownedPartitions: number
  readonly partitions: number
}

/** Share of the allowance that is divided by owned ledger partitions; the rest is split evenly over hosts. */
const LEDGER_SHARE = 0.8

/** Burst capacity, in seconds of a process's share. */
const BURST_SECONDS = 2

/** Minimum burst, in calls, so that a process with a small share can start. */
const MIN_BURST = 8

/**
 * Divides the store's rates among the processes: each computes its share from the
 * hosts and ledger partitions it knows. Within the share, leases never wait,
 * configuration waits only while the debt exceeds a full burst, claims wait while
 * no tokens are left, and all other calls while less than half of the burst is left.
 *
 * Processes with different views may together exceed the allowance while their
 * views differ; no guarantee depends on it.
 *
 * @example
 * const budget = new StoreBudget(allowance, share, performance.now())
 * const waitMs = budget.delay(StoreCallKind.Write, StorePurpose.Claim, performance.now())
 */
export class StoreBudget {
  readonly #allowance: StoreAllowance
  readonly #buckets: Record<StoreCallKind, TokenBucket>
  #bursts: Record<StoreCallKind, number>

  constructor (allowance: StoreAllowance, share: StoreShare, now: number) {
    this.#allowance = allowance
    const read = bucketSettings(allowance.readsPerSecond, share)
    const write = bucketSettings(allowance.writesPerSecond, share)
    this.#buckets = { read: new TokenBucket(read, now), write: new TokenBucket(write, now) }
    this.#bursts = { read: read.burst, write: write.burst }
  }

  /** Adapts the budget to a change of hosts or partitions. */
  resize (share: StoreShare, now: number): void {
    const read = bucketSettings(this.#allowance.readsPerSecond, share)
    const write = bucketSettings(this.#allowance.writesPerSecond, share)
    this.#buckets.read.resize(read, now)
    this.#buckets.write.resize(write, now)
    this.#bursts = { read: read.burst, write: write.burst }
  }

  /** How long a call has to wait, in milliseconds. */
  delay (kind: StoreCallKind, purpose: StorePurpose, now: number): number {
    const bucket = this.#buckets[kind]
    switch (purpose) {
      case StorePurpose.Lease: return 0
      case StorePurpose.Configuration: return bucket.delay(now, -this.#bursts[kind])
      case StorePurpose.Claim: return bucket.delay(now)
      case StorePurpose.Other: return bucket.delay(now, this.#bursts[kind] / 2)
      default: return unreachable(purpose)
    }
  }

  /** Counts a call that is made now. */
  spend (kind: StoreCallKind, now: number): void {
    this.#buckets[kind].spend(now)
  }
}

function bucketSettings (perSecond: number, share: StoreShare): { readonly ratePerSecond: number, readonly burst: number } {
  const ledger = LEDGER_SHARE * share.ownedPartitions / Math.max(1, share.partitions)
  const rest = (1 - LEDGER_SHARE) / Math.max(1, share.hosts)
  const ratePerSecond = perSecond * (ledger + rest)
  return { ratePerSecond, burst: Math.max(MIN_BURST, ratePerSecond * BURST_SECONDS) }
}
