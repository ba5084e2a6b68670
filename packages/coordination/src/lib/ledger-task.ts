import { EventEmitter } from 'node:events'
import { batchKey, findOwner, LedgerRecordKind } from '@cyclamenthread/state'
import { CommitStatus, PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { DEFAULT_SEALING_SETTINGS } from './head-builder.js'
import { PartitionOwner } from './partition-owner.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { BatchEvent, BatchState, Host, LedgerRecord } from '@cyclamenthread/state'
import type { ReadBatchResponse, ReadClaimResponse, ObjectStore, ReadBatch } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { PartitionSettings } from './partition-owner.js'

/** Part of the store's writes that heads of partitions may take; the rest is for leases, configuration, seals and snapshots. */
const HEAD_WRITE_SHARE = 0.6

/** Fewest head writes that a partition may make at once after a pause. */
const MIN_BURST = 2

/** How often this host looks whether partitions fall to it, in milliseconds. */
const PLACEMENT_PERIOD_MS = 250

/** Part of a usage window over which idle partitions spread the writes that move them on. */
const ADVANCE_SPREAD = 0.1

/** When a partition may be taken over again. */
interface TakeOverRetry {
  readonly backoff: Backoff
  /** Monotonic time in milliseconds. */
  readonly notBefore: number
}

/** Kinds of news that the ledger tells other tasks of this process. */
export enum LedgerEventKind {
  Owned = 'owned',
  Lost = 'lost',
  Committed = 'committed'
}

/** What the ledger tells other tasks of this process. */
export type LedgerEvent =
  | { readonly kind: LedgerEventKind.Owned, readonly partition: number }
  | { readonly kind: LedgerEventKind.Lost, readonly partition: number }
  | { readonly kind: LedgerEventKind.Committed, readonly partition: number, readonly record: LedgerRecord }

/**
 * The host that should own a partition: one in the store's region if there is one.
 *
 * @example
 * partitionOwner(3, members.workers(), 'lothian')
 */
export function findPartitionOwner (partition: number, workers: readonly Host[], storeRegion: string): Host | undefined {
  const near = workers.filter((host) => host.region === storeRegion)
  const candidates = near.length > 0 ? near : workers
  const owner = findOwner(`ledger/${partition}`, candidates.map((host) => host.id))
  return candidates.find((host) => host.id === owner)
}

/**
 * Owns the ledger partitions that fall to this host.
 *
 * Invariant: a partition is answered for only while its owner object is not deposed.
 */
export class LedgerTask {
  readonly #settings: HostSettings
  readonly #members: MemberView
  readonly #store: ObjectStore
  readonly #owners = new Map<number, PartitionOwner>()
  readonly #events = new EventEmitter()
  readonly #placement: Periodic
  readonly #acquiring = new Set<number>()
  readonly #retries = new Map<number, TakeOverRetry>()
  #stopped = false

  constructor (settings: HostSettings, members: MemberView, store: ObjectStore) {
    this.#settings = settings
    this.#members = members
    this.#store = store
    this.#events.setMaxListeners(0)
    this.#placement = new Periodic(PLACEMENT_PERIOD_MS, async () => await this.#updatePlacement())
  }

  /** The broker service that answers the ledger's messages. */
  service (): ServiceSchema {
    return taskService('ledger', {
      [PeerMessageKind.CommitRecord]: async (message, meta) => {
        const ownerOf = this.owner(message.partition)
        if (ownerOf === undefined) return { status: CommitStatus.NotOwner, results: [] }
        return await ownerOf.commit(message.records, meta.deadline)
      },
      [PeerMessageKind.ReadClaim]: async (message) => answerClaimRead(this.owner(message.partition), message.claimId),
      [PeerMessageKind.ReadBatch]: async (message) => await this.#readBatch(message)
    })
  }

  async start (): Promise<void> {
    await this.#placement.start()
  }

  async stop (): Promise<void> {
    this.#stopped = true
    await this.#placement.stop()
    const deadline = monotonicNow() + this.#settings.storeTimeoutMs
    await Promise.all([...this.#owners.values()].map(async (owner) => await owner.close(deadline)))
  }

  /** The owner object of a partition, if this host owns it. */
  owner (partition: number): PartitionOwner | undefined {
    const owner = this.#owners.get(partition)
    return owner === undefined || owner.deposed ? undefined : owner
  }

  /** Partitions this host owns. */
  ownedPartitions (): number[] {
    return [...this.#owners.keys()].filter((partition) => this.owner(partition) !== undefined)
  }

  onEvent (listener: (news: LedgerEvent) => void): void {
    this.#events.on('news', listener)
  }

  /**
   * Moves a partition's window on although its owner does not, for a host that
   * has to close the window: takes it over and gives it back.
   */
  async advanceWindow (partition: number): Promise<void> {
    if (this.owner(partition) !== undefined || this.#acquiring.has(partition)) return
    const owner = await this.#takeOverPartition(partition)
    await owner?.advanceWindow()
    await owner?.close(monotonicNow() + this.#settings.storeTimeoutMs)
  }

  /** Takes over what falls to this host, gives up what does not, and moves idle windows on. Nothing here waits for the store. */
  async #updatePlacement (): Promise<void> {
    const workers = this.#members.workers()
    for (let partition = 0; partition < this.#settings.ledgerPartitions; partition++) {
      const mine = findPartitionOwner(partition, workers, this.#settings.storeRegion)?.id === this.#settings.self.id
      const owner = this.#owners.get(partition)
      if (!mine) this.#retries.delete(partition)
      if (!mine || owner?.deposed === true) this.#releasePartition(partition)
      if (mine && !this.#owners.has(partition)) void this.#acquirePartition(partition)
      if (owner !== undefined && this.#isAdvanceDue(partition)) void owner.advanceWindow()
    }
  }

  /** Partitions move their idle windows on one after the other, not all at the turn of the window. */
  #isAdvanceDue (partition: number): boolean {
    const { usageWindowMs, ledgerPartitions } = this.#settings
    const spread = usageWindowMs * ADVANCE_SPREAD
    return Date.now() % usageWindowMs >= spread * partition / ledgerPartitions
  }

  async #acquirePartition (partition: number): Promise<void> {
    const retry = this.#retries.get(partition) ?? { backoff: new Backoff(Math.random), notBefore: 0 }
    if (this.#acquiring.has(partition) || monotonicNow() < retry.notBefore) return
    this.#acquiring.add(partition)
    // Two hosts with different views would otherwise take a partition from each other at every look.
    this.#retries.set(partition, { ...retry, notBefore: monotonicNow() + retry.backoff.nextDelayMs() })
    const owner = await this.#takeOverPartition(partition)
    this.#acquiring.delete(partition)
    if (owner === undefined) return
    if (this.#stopped) {
      await owner.close(monotonicNow())
      return
    }
    this.#owners.set(partition, owner)
    this.#emit({ kind: LedgerEventKind.Owned, partition })
  }

  async #takeOverPartition (partition: number): Promise<PartitionOwner | undefined> {
    return await PartitionOwner.takeOver(this.#partitionSettings(partition), this.#store, (record) => this.#emit({ kind: LedgerEventKind.Committed, partition, record }))
  }

  #partitionSettings (partition: number): PartitionSettings {
    const { self, incarnation, usageWindowMs, storeTimeoutMs, answerRetentionMs, claimRetentionMs, storeWritesPerSecond, ledgerPartitions } = this.#settings
    const ratePerSecond = storeWritesPerSecond * HEAD_WRITE_SHARE / ledgerPartitions
    return {
      partition,
      owner: `${self.id}/${incarnation}`,
      usageWindowMs,
      storeTimeoutMs,
      answerRetentionMs,
      claimRetentionMs,
      writeRate: { ratePerSecond, burst: Math.max(MIN_BURST, ratePerSecond) },
      sealing: DEFAULT_SEALING_SETTINGS,
      random: Math.random
    }
  }

  /** Gives a partition up; what waits in it is still answered. */
  #releasePartition (partition: number): void {
    const owner = this.#owners.get(partition)
    if (owner === undefined) return
    this.#owners.delete(partition)
    void owner.close(monotonicNow() + this.#settings.storeTimeoutMs)
    this.#emit({ kind: LedgerEventKind.Lost, partition })
  }

  #emit (news: LedgerEvent): void {
    this.#events.emit('news', news)
  }

  async #readBatch (message: ReadBatch): Promise<ReadBatchResponse> {
    const answer = this.#answerBatchRead(message)
    const nothingNew = answer.status === 'found' && answer.events.length === 0 && answer.settled < answer.total && !answer.cancelled
    if (!nothingNew || message.waitMs === 0) return answer
    await this.#waitForBatchEvent(message)
    return this.#answerBatchRead(message)
  }

  #answerBatchRead (message: ReadBatch): ReadBatchResponse {
    const owner = this.owner(message.partition)
    if (owner === undefined) return { status: 'not-owner' }
    const batch = owner.state.batch(batchKey(message.workspace, message.batchId))
    if (batch === undefined) return { status: 'none' }
    return {
      status: 'found',
      events: eventsAfter(batch, message.after, message.limit),
      total: batch.total,
      settled: batch.delivered,
      acknowledged: batch.acknowledged,
      cancelled: batch.cancelled
    }
  }

  /** Waits for the next thing that happens to a batch, or until the time is up. */
  async #waitForBatchEvent (message: ReadBatch): Promise<void> {
    const until = monotonicNow() + message.waitMs
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#events.off('news', listener)
        resolve()
      }
      const listener = (news: LedgerEvent): void => {
        if (news.partition === message.partition && affectsBatch(news, message)) finish()
      }
      const timer = setTimeout(finish, Math.max(0, until - monotonicNow()))
      this.#events.on('news', listener)
    })
  }
}

/** What the owner of a partition knows of a claim. */
export function answerClaimRead (owner: PartitionOwner | undefined, claimId: string): ReadClaimResponse {
  if (owner === undefined) return { status: 'not-owner' }
  const claim = owner.state.claim(claimId)
  if (claim === undefined) return { status: 'none' }
  const { requestId, requestDigest, answer } = claim
  const uncertain = claim.uncertain ?? false
  if (answer === undefined) return { status: 'held', requestId, requestDigest, uncertain }
  return { status: 'held', requestId, requestDigest, uncertain, answer: { ...answer, headers: answer.headers.map(([name, value]) => [name, value]) } }
}

/** Events after a cursor; those up to the acknowledged one are no longer kept. */
function eventsAfter (batch: BatchState, after: number, limit: number): BatchEvent[] {
  const from = Math.max(0, after - batch.acknowledged)
  return batch.events.slice(from, from + limit)
}

function affectsBatch (news: LedgerEvent, message: ReadBatch): boolean {
  if (news.kind !== LedgerEventKind.Committed) return true
  const { record } = news
  switch (record.kind) {
    case LedgerRecordKind.Delivery:
    case LedgerRecordKind.SampleFailure:
    case LedgerRecordKind.BatchCancel: return record.workspace === message.workspace && record.batchId === message.batchId
    default: return false
  }
}
