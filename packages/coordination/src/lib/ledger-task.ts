import { EventEmitter } from 'node:events'
import { batchKey, findOwner, LedgerRecordKind } from '@cyclamenthread/state'
import { CommitStatus, PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { PartitionOwner } from './partition-owner.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host, LedgerRecord } from '@cyclamenthread/state'
import type { BatchAnswer, ClaimAnswer, ObjectStore, ReadBatch, ReadClaim } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'

/** How often this host looks whether partitions fall to it, in milliseconds. */
const PLACEMENT_MS = 250

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
      [PeerMessageKind.ReadClaim]: async (message) => this.#readClaim(message),
      [PeerMessageKind.ReadBatch]: async (message) => await this.#readBatch(message)
    })
  }

  async start (): Promise<void> {
    await this.#placement.start()
  }

  async stop (): Promise<void> {
    await this.#placement.stop()
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

  /** Takes over what falls to this host, gives up what does not, and moves idle windows on. */
  async #place (): Promise<void> {
    const workers = this.#members.workers()
    const all = Array.from({ length: this.#settings.ledgerPartitions }, (_, partition) => partition)
    await Promise.all(all.map(async (partition) => {
      const mine = partitionOwner(partition, workers, this.#settings.storeRegion)?.id === this.#settings.self.id
      if (!mine || this.#owners.get(partition)?.deposed === true) this.#drop(partition)
      if (mine && !this.#owners.has(partition)) await this.#take(partition)
      await this.#owners.get(partition)?.advanceWindow()
    }))
  }

  async #take (partition: number): Promise<void> {
    if (this.#taking.has(partition)) return
    this.#taking.add(partition)
    const { self, incarnation, usageWindowMs, storeTimeoutMs } = this.#settings
    const settings = { partition, owner: `${self.id}/${incarnation}`, usageWindowMs, storeTimeoutMs }
    const owner = await PartitionOwner.takeOver(settings, this.#store, (record) => this.#tell({ kind: LedgerNewsKind.Committed, partition, record }))
    this.#taking.delete(partition)
    if (owner === undefined) return
    this.#owners.set(partition, owner)
    this.#tell({ kind: LedgerNewsKind.Owned, partition })
  }

  #drop (partition: number): void {
    if (this.#owners.delete(partition)) this.#tell({ kind: LedgerNewsKind.Lost, partition })
  }

  #tell (news: LedgerNews): void {
    this.#news.emit('news', news)
  }

  #readClaim (message: ReadClaim): ClaimAnswer {
    const owner = this.owner(message.partition)
    if (owner === undefined) return { status: 'not-owner' }
    const claim = owner.state.claim(message.claimId)
    if (claim === undefined) return { status: 'none' }
    const { requestId, requestDigest, answer } = claim
    if (answer === undefined) return { status: 'held', requestId, requestDigest }
    return { status: 'held', requestId, requestDigest, answer: { ...answer, headers: answer.headers.map(([name, value]) => [name, value]) } }
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
      events: batch.events.slice(message.after, message.after + message.limit),
      total: batch.order.samples.length,
      settled: batch.settled.size,
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
