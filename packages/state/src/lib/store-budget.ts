import { TokenBucket } from './token-bucket.js'
import { unreachable } from './invariant.js'

/** For what a store call is made; the budget is shared by kind, in this order. */
export enum StorePurpose {
  Lease = 'lease',
  Configuration = 'configuration',
  Claim = 'claim',
  Other = 'other'
}

/** What the store counts apart. */
export enum StoreCallKind {
  Read = 'read',
  Write = 'write'
}

/** What the platform's store bears from the whole deployment. */
export interface StoreAllowance {
  readonly writesPerSecond: number
  readonly readsPerSecond: number
}

/** The part of the deployment that one process stands for. */
export interface StoreShare {
  /** Live hosts. */
  readonly hosts: number
  readonly ownedPartitions: number
  readonly partitions: number
}

/** Part of the allowance that goes with ledger partitions; the rest is split evenly over hosts. */
const LEDGER_SHARE = 0.8

/** Seconds of a share that may be saved up for a burst. */
const BURST_SECONDS = 2

/** Smallest burst, in calls, so that a process with a small share can start. */
const MIN_BURST = 8

/**
 * Shares the store's rates out: each process takes its part by the hosts and
 * the ledger partitions it knows of, and within it leases never wait,
 * configuration waits only behind a debt, claims while nothing is left, and
 * everything else while less than half of the burst is left.
 *
 * Two processes with different views may together exceed the allowance for as
 * long as the views differ; no promise hangs on it.
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

  /** Follows a change of hosts or partitions. */
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
