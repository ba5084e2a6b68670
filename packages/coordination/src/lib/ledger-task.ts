import { EventEmitter } from 'node:events'
import { batchKey, findOwner, LedgerRecordKind } from '@cyclamenthread/state'
import { CommitStatus, PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { DEFAULT_SEALING } from './head-draft.js'
import { PartitionOwner } from './partition-owner.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { BatchEvent, BatchState, Host, LedgerRecord } from '@cyclamenthread/state'
import type { BatchAnswer, ClaimAnswer, ObjectStore, ReadBatch } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { PartitionSettings } from './partition-owner.js'

/** Part of the store's writes that heads of partitions may take; the rest is for leases, configuration, seals and snapshots. */
const LEDGER_SHARE = 0.6

/** Fewest head writes that a partition may make at once after a pause. */
const MIN_BURST = 2

/** How often this host looks whether partitions fall to it, in milliseconds. */
const PLACEMENT_MS = 250

/** Part of a usage window over which idle partitions spread the writes that move them on. */
const ADVANCE_SHARE = 0.1

/** When a partition may be taken over again. */
interface TakeOverRetry {
  readonly backoff: Backoff
  /** Monotonic time in milliseconds. */
  readonly notBefore: number
}

/** Kinds of news that the ledger tells other tasks of this process. */
export enum LedgerNewsKind {
  Owned = 'owned',
  Lost = 'lost',
  Committed = 'committed'
}

/** What the ledger tells other tasks of this process. */
export type LedgerNews =
  | { readonly kind: LedgerNewsKind.Owned, readonly partition: number }
  | { readonly kind: LedgerNewsKind.Lost, readonly partition: number }
  | { readonly kind: LedgerNewsKind.Committed, readonly partition: number, readonly record: LedgerRecord }

/**
 * The host that should own a partition: one in the store's region if there is one.
 *
 * @example
 * partitionOwner(3, members.workers(), 'lothian')
 */
export function partitionOwner (partition: number, workers: readonly Host[], storeRegion: string): Host | undefined {
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
  readonly #news = new EventEmitter()
  readonly #placement: Periodic
  readonly #taking = new Set<number>()
  readonly #retries = new Map<number, TakeOverRetry>()
  #stopped = false

  constructor (settings: HostSettings, members: MemberView, store: ObjectStore) {
    this.#settings = settings
    this.#members = members
    this.#store = store
    this.#news.setMaxListeners(0)
    this.#placement = new Periodic(PLACEMENT_MS, async () => await this.#place())
  }

  /** The broker service that answers the ledger's messages. */
  service (): ServiceSchema {
    return taskService('ledger', {
      [PeerMessageKind.CommitRecord]: async (message, meta) => {
        const owner = this.owner(message.partition)
        if (owner === undefined) return { status: CommitStatus.NotOwner, results: [] }
        return await owner.commit(message.records, meta.deadline)
      },
      [PeerMessageKind.ReadClaim]: async (message) => claimAnswer(this.owner(message.partition), message.claimId),
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
  owned (): number[] {
    return [...this.#owners.keys()].filter((partition) => this.owner(partition) !== undefined)
  }

  onNews (listener: (news: LedgerNews) => void): void {
    this.#news.on('news', listener)
  }

  /**
   * Moves a partition's window on although its owner does not, for a host that
   * has to close the window: takes it over and gives it back.
   */
  async advance (partition: number): Promise<void> {
    if (this.owner(partition) !== undefined || this.#taking.has(partition)) return
    const owner = await this.#takeOver(partition)
    await owner?.advanceWindow()
    await owner?.close(monotonicNow() + this.#settings.storeTimeoutMs)
  }

  /** Takes over what falls to this host, gives up what does not, and moves idle windows on. Nothing here waits for the store. */
  async #place (): Promise<void> {
    const workers = this.#members.workers()
    for (let partition = 0; partition < this.#settings.ledgerPartitions; partition++) {
      const mine = partitionOwner(partition, workers, this.#settings.storeRegion)?.id === this.#settings.self.id
      const owner = this.#owners.get(partition)
      if (!mine) this.#retries.delete(partition)
      if (!mine || owner?.deposed === true) this.#drop(partition)
      if (mine && !this.#owners.has(partition)) void this.#take(partition)
      if (owner !== undefined && this.#windowDue(partition)) void owner.advanceWindow()
    }
  }

  /** Partitions move their idle windows on one after the other, not all at the turn of the window. */
  #windowDue (partition: number): boolean {
    const { usageWindowMs, ledgerPartitions } = this.#settings
    const spread = usageWindowMs * ADVANCE_SHARE
    return Date.now() % usageWindowMs >= spread * partition / ledgerPartitions
  }

  async #take (partition: number): Promise<void> {
    const retry = this.#retries.get(partition) ?? { backoff: new Backoff(Math.random), notBefore: 0 }
    if (this.#taking.has(partition) || monotonicNow() < retry.notBefore) return
    this.#taking.add(partition)
    // Two hosts with different views would otherwise take a partition from each other at every look.
    this.#retries.set(partition, { ...retry, notBefore: monotonicNow() + retry.backoff.nextDelayMs() })
    const owner = await this.#takeOver(partition)
    this.#taking.delete(partition)
    if (owner === undefined) return
    if (this.#stopped) {
      await owner.close(monotonicNow())
      return
    }
    this.#owners.set(partition, owner)
    this.#tell({ kind: LedgerNewsKind.Owned, partition })
  }

  async #takeOver (partition: number): Promise<PartitionOwner | undefined> {
    return await PartitionOwner.takeOver(this.#partitionSettings(partition), this.#store, (record) => this.#tell({ kind: LedgerNewsKind.Committed, partition, record }))
  }

  #partitionSettings (partition: number): PartitionSettings {
    const { self, incarnation, usageWindowMs, storeTimeoutMs, answerRetentionMs, claimRetentionMs, storeWritesPerSecond, ledgerPartitions } = this.#settings
    const ratePerSecond = storeWritesPerSecond * LEDGER_SHARE / ledgerPartitions
    return {
      partition,
      owner: `${self.id}/${incarnation}`,
      usageWindowMs,
      storeTimeoutMs,
      answerRetentionMs,
      claimRetentionMs,
      pace: { ratePerSecond, burst: Math.max(MIN_BURST, ratePerSecond) },
      sealing: DEFAULT_SEALING,
      random: Math.random
    }
  }

  /** Gives a partition up; what waits in it is still answered. */
  #drop (partition: number): void {
    const owner = this.#owners.get(partition)
    if (owner === undefined) return
    this.#owners.delete(partition)
    void owner.close(monotonicNow() + this.#settings.storeTimeoutMs)
    this.#tell({ kind: LedgerNewsKind.Lost, partition })
  }

  #tell (news: LedgerNews): void {
    this.#news.emit('news', news)
  }

  async #readBatch (message: ReadBatch): Promise<BatchAnswer> {
    const answer = this.#batchAnswer(message)
    const nothingNew = answer.status === 'found' && answer.events.length === 0 && answer.settled < answer.total && !answer.cancelled
    if (!nothingNew || message.waitMs === 0) return answer
    await this.#nextEvent(message)
    return this.#batchAnswer(message)
  }

  #batchAnswer (message: ReadBatch): BatchAnswer {
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
  async #nextEvent (message: ReadBatch): Promise<void> {
    const until = monotonicNow() + message.waitMs
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#news.off('news', listener)
        resolve()
      }
      const listener = (news: LedgerNews): void => {
        if (news.partition === message.partition && concerns(news, message)) finish()
      }
      const timer = setTimeout(finish, Math.max(0, until - monotonicNow()))
      this.#news.on('news', listener)
    })
  }
}

/** What the owner of a partition knows of a claim. */
export function claimAnswer (owner: PartitionOwner | undefined, claimId: string): ClaimAnswer {
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

function concerns (news: LedgerNews, message: ReadBatch): boolean {
  if (news.kind !== LedgerNewsKind.Committed) return true
  const { record } = news
  switch (record.kind) {
    case LedgerRecordKind.Delivery:
    case LedgerRecordKind.SampleFailure:
    case LedgerRecordKind.BatchCancel: return record.workspace === message.workspace && record.batchId === message.batchId
    default: return false
  }
}
