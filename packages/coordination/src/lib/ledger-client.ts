import { partitionOf } from '@cyclamenthread/state'
import { CommitStatus, PeerMessageKind } from '@cyclamenthread/protocol'
import { PeerFailure } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { findPartitionOwner } from './ledger-task.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Clock, LedgerRecord } from '@cyclamenthread/state'
import type { ReadBatchResponse, ReadClaimResponse, CommitResponse } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { MessageBus, SendOptions } from './message-bus.js'

/** Minimum time to the deadline for another attempt, in milliseconds. */
const MIN_RETRY_TIME_MS = 50

/** Settings that a {@link LedgerClient} needs. */
export type LedgerClientSettings = Pick<HostSettings, 'ledgerPartitions' | 'storeRegion'>

/** Sends requests to the owners of ledger partitions, on whichever host they run. */
export class LedgerClient {
  readonly #settings: LedgerClientSettings
  readonly #members: Pick<MemberView, 'workers'>
  readonly #bus: Pick<MessageBus, 'send'>
  readonly #clock: Clock
  readonly #random: () => number

  constructor (settings: LedgerClientSettings, members: Pick<MemberView, 'workers'>, bus: Pick<MessageBus, 'send'>, clock: Clock = SYSTEM_CLOCK, random: () => number = Math.random) {
    this.#settings = settings
    this.#members = members
    this.#bus = bus
    this.#clock = clock
    this.#random = random
  }

  /** Returns the partition that stores the records of a key. */
  partitionOf (key: string): number {
    return partitionOf(key, this.#settings.ledgerPartitions)
  }

  /**
   * Commits records to one partition and follows it when its owner changes.
   *
   * @returns `Unavailable` if nothing was written; `Unknown` if the records may have been written
   */
  async commit (partition: number, records: readonly LedgerRecord[], options: SendOptions): Promise<CommitResponse> {
    let mayBeCommitted = false
    const backoff = new Backoff(this.#random)
    do {
      const answer = await this.#commitOnce(partition, records, options)
      if (answer === undefined) mayBeCommitted = true
      else if (answer.status === CommitStatus.Unknown) mayBeCommitted = true
      // A retry is safe: records that have already taken effect are answered as duplicates.
      else if (answer.status !== CommitStatus.NotOwner && answer.status !== CommitStatus.Unavailable) return answer
      await this.#clock.sleep(backoff.nextDelayMs())
    } while (this.#clock.now() + MIN_RETRY_TIME_MS < options.deadline)
    return { status: mayBeCommitted ? CommitStatus.Unknown : CommitStatus.Unavailable, results: [] }
  }

  /** Reads a claim; undefined if no owner answers before the deadline. */
  async readClaim (claimId: string, options: SendOptions): Promise<ReadClaimResponse | undefined> {
    const partition = this.partitionOf(claimId)
    return await this.#retryUntilOwned(options, async () => {
      const owner = this.#findOwner(partition)
      if (owner === undefined) return undefined
      const answer = await this.#bus.send(owner, { kind: PeerMessageKind.ReadClaim, partition, claimId }, options)
      return answer.ok ? answer.value : undefined
    })
  }

  /** Reads events of a batch; undefined if no owner answers before the deadline. */
  async readBatch (workspace: string, batchId: string, page: { readonly after: number, readonly limit: number, readonly waitMs: number }, options: SendOptions): Promise<ReadBatchResponse | undefined> {
    const partition = this.partitionOf(`batch/${workspace}/${batchId}`)
    return await this.#retryUntilOwned(options, async () => {
      const owner = this.#findOwner(partition)
      if (owner === undefined) return undefined
      const answer = await this.#bus.send(owner, { kind: PeerMessageKind.ReadBatch, partition, workspace, batchId, ...page }, options)
      return answer.ok ? answer.value : undefined
    })
  }

  async #retryUntilOwned<Answer extends { readonly status: string }> (options: SendOptions, ask: () => Promise<Answer | undefined>): Promise<Answer | undefined> {
    const backoff = new Backoff(this.#random)
    do {
      const answer = await ask()
      if (answer !== undefined && answer.status !== 'not-owner') return answer
      await this.#clock.sleep(backoff.nextDelayMs())
    } while (this.#clock.now() + MIN_RETRY_TIME_MS < options.deadline)
    return undefined
  }

  /** Makes one attempt; undefined if the commit may have taken effect. */
  async #commitOnce (partition: number, records: readonly LedgerRecord[], options: SendOptions): Promise<CommitResponse | undefined> {
    const owner = this.#findOwner(partition)
    if (owner === undefined) return { status: CommitStatus.NotOwner, results: [] }
    const answer = await this.#bus.send(owner, { kind: PeerMessageKind.CommitRecord, partition, records: [...records] }, options)
    if (answer.ok) return answer.value
    return answer.failure === PeerFailure.NotSent ? { status: CommitStatus.NotOwner, results: [] } : undefined
  }

  #findOwner (partition: number): ReturnType<typeof findPartitionOwner> {
    return findPartitionOwner(partition, this.#members.workers(), this.#settings.storeRegion)
  }
}
