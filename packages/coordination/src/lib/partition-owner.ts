import { randomUUID } from 'node:crypto'
import { ApplyResult, TokenBucket, unreachable } from '@cyclamenthread/state'
import { CommitStatus, INITIAL_LEDGER_HEAD, ExpectationKind, ledgerHeadKey, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { Backoff } from './backoff.js'
import { takeCommitGroup } from './commit-group.js'
import { HeadWriteResult, HeadWriter } from './head-writer.js'
import { HeadBuilder } from './head-builder.js'
import { PartitionStorage } from './partition-storage.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { BucketSettings, Clock, LedgerPartition, LedgerRecord } from '@cyclamenthread/state'
import type { CommitResponse, Expectation, LedgerHead, ObjectStore } from '@cyclamenthread/protocol'
import type { PendingCommit } from './commit-group.js'
import type { PartitionContent, SealingSettings } from './head-builder.js'

/** Interval at which a closing owner checks whether its last commits are answered, in milliseconds. */
const CLOSE_POLL_MS = 20

/** Settings of the owner of one partition. */
export interface PartitionSettings {
  readonly partition: number
  /** Host id and incarnation, as written into the head. */
  readonly owner: string
  readonly usageWindowMs: number
  readonly storeTimeoutMs: number
  /** How long the answer of a non-idempotent call can be replayed, in milliseconds. */
  readonly answerRetentionMs: number
  /** How long claims and closed batches are remembered, in milliseconds. */
  readonly claimRetentionMs: number
  /** Rate limit for head writes of this partition; under load, each write contains more commits. */
  readonly writeRate: BucketSettings
  /** Limits at which open records are sealed and snapshots are taken. */
  readonly sealing: SealingSettings
  /** Source of jitter: random numbers from 0 to 1. */
  readonly random: () => number
}

/** Called with each committed record. */
export type CommitListener = (record: LedgerRecord) => void

/**
 * Owns one partition of the ledger. Each group of commits is one conditional
 * update of the partition's head; commits that arrive while an update is in
 * flight form the next group.
 *
 * Invariants: at most one write of the head is in flight; `state` contains
 * exactly what the head refers to; once the head is lost, no commit is answered
 * as committed; `Rejected` is answered only after a read has shown that the head
 * still belongs to this owner.
 */
export class PartitionOwner {
  readonly #settings: PartitionSettings
  readonly #clock: Clock
  readonly #storage: PartitionStorage
  readonly #headWriter: HeadWriter
  readonly #headBuilder: HeadBuilder
  readonly #writeBucket: TokenBucket
  readonly #backoff: Backoff
  readonly #onCommit: CommitListener
  #pending: PendingCommit[] = []
  #flushing = false
  #deposed = false
  #closing = false
  #advancing = false
  /** Monotonic time in milliseconds until which the store is assumed to be down. */
  #suspendedUntil = 0
  readonly counters = { writes: 0, records: 0, snapshots: 0 }

  private constructor (settings: PartitionSettings, store: ObjectStore, clock: Clock, onCommit: CommitListener, content: PartitionContent, version: string) {
    this.#settings = settings
    this.#clock = clock
    this.#onCommit = onCommit
    this.#storage = new PartitionStorage(settings, store, clock)
    this.#headWriter = new HeadWriter(settings, store, clock, version)
    this.#headBuilder = new HeadBuilder(settings, this.#storage, content)
    this.#writeBucket = new TokenBucket(settings.writeRate, clock.now())
    this.#backoff = new Backoff(settings.random)
  }

  /**
   * Takes over a partition: increments the epoch by a conditional update, which
   * deposes any earlier owner, then loads the committed state.
   *
   * @returns undefined if the store can't be reached or another host was faster
   * @example
   * const owner = await PartitionOwner.takeOver(settings, store, onCommit)
   */
  static async takeOver (settings: PartitionSettings, store: ObjectStore, onCommit: CommitListener, clock: Clock = SYSTEM_CLOCK): Promise<PartitionOwner | undefined> {
    const storage = new PartitionStorage(settings, store, clock)
    const found = await storage.readHead()
    if (!found.ok) return undefined
    const before = found.value?.head ?? { ...INITIAL_LEDGER_HEAD, epoch: 0, window: currentWindow(clock, settings) }
    const head: LedgerHead = { ...before, epoch: before.epoch + 1, owner: settings.owner, writeId: randomUUID() }
    const expectation: Expectation = found.value === undefined
      ? { kind: ExpectationKind.Absent }
      : { kind: ExpectationKind.Version, version: found.value.version }
    const call = { purpose: StorePurpose.Claim, deadline: clock.now() + settings.storeTimeoutMs }
    const written = await store.write(ledgerHeadKey(settings.partition), head, expectation, call)
    if (written.status !== WriteStatus.Applied) return undefined
    const loaded = await storage.load(head)
    return loaded === undefined ? undefined : new PartitionOwner(settings, store, clock, onCommit, { ...loaded, head }, written.version)
  }

  /** The committed state. */
  get state (): LedgerPartition {
    return this.#headBuilder.state
  }

  /** Usage window of the current head. */
  get window (): number {
    return this.#headBuilder.head.window
  }

  /** Whether this object no longer owns the partition. */
  get deposed (): boolean {
    return this.#deposed
  }

  /**
   * Commits records atomically.
   *
   * @param records the records; duplicates of committed records are answered as such and not written
   * @param deadline monotonic time in milliseconds after which the answer is no longer awaited
   * @param isStillValid checked right before the commit is written; if it returns false, nothing is written and the answer is Unavailable
   * @example
   * (await owner.commit([record], deadline)).status // CommitStatus.Committed
   */
  async commit (records: readonly LedgerRecord[], deadline: number, isStillValid?: () => boolean): Promise<CommitResponse> {
    if (this.#deposed || this.#closing) return { status: CommitStatus.NotOwner, results: [] }
    if (this.#clock.now() < this.#suspendedUntil) return { status: CommitStatus.Unavailable, results: [] }
    return await new Promise((resolve) => {
      this.#pending.push({ records, deadline, resolve, ...(isStillValid === undefined ? {} : { isStillValid }) })
      void this.#flushPending()
    })
  }

  /** Moves the head to the current usage window even without records to commit. */
  async advanceWindow (): Promise<void> {
    if (this.#advancing || currentWindow(this.#clock, this.#settings) <= this.window) return
    this.#advancing = true
    await this.commit([], this.#clock.now() + this.#settings.storeTimeoutMs)
    this.#advancing = false
  }

  /** Accepts no new commits, answers the pending ones, and releases ownership; for a planned stop. */
  async close (deadline: number): Promise<void> {
    this.#closing = true
    while ((this.#flushing || this.#pending.length > 0) && this.#clock.now() < deadline) await this.#clock.sleep(CLOSE_POLL_MS)
    this.#deposed = true
    this.#refusePending()
  }

  async #flushPending (): Promise<void> {
    if (this.#flushing) return
    this.#flushing = true
    while (this.#pending.length > 0 && !this.#deposed) {
      await this.#awaitWriteRate()
      this.#expirePending()
      const { group, rest } = takeCommitGroup(this.#pending)
      this.#pending = rest
      if (group.length > 0) await this.#commitGroup(group)
    }
    this.#flushing = false
    if (this.#deposed) this.#refusePending()
  }

  /** Waits until the write rate allows another head write; meanwhile more commits can join the group. */
  async #awaitWriteRate (): Promise<void> {
    const now = this.#clock.now()
    const delay = Math.max(this.#writeBucket.delay(now), this.#suspendedUntil - now)
    if (delay > 0) await this.#clock.sleep(delay)
  }

  async #commitGroup (group: readonly PendingCommit[]): Promise<void> {
    const accepted: PendingCommit[] = []
    const rejected: PendingCommit[] = []
    for (const commit of group) {
      if (commit.isStillValid?.() === false) {
        answerUnapplied([commit], CommitStatus.Unavailable)
        continue
      }
      const isAccepted = commit.records.every((record) => this.state.check(record) !== ApplyResult.Rejected)
      const list = isAccepted ? accepted : rejected
      list.push(commit)
    }
    await this.#rejectCommits(rejected)
    if (this.#deposed) answerUnapplied(accepted, CommitStatus.NotOwner)
    else await this.#commitAccepted(accepted)
  }

  /** Rejects commits only after confirming ownership: the state of a deposed owner may be stale, so a contradiction to it proves nothing. */
  async #rejectCommits (commits: readonly PendingCommit[]): Promise<void> {
    if (commits.length === 0) return
    const isOwner = await this.#headWriter.confirmOwnership()
    if (isOwner === false) this.#deposed = true
    for (const commit of commits) {
      if (isOwner === true) commit.resolve({ status: CommitStatus.Rejected, results: commit.records.map((record) => this.state.check(record)) })
      else answerUnapplied([commit], isOwner === false ? CommitStatus.NotOwner : CommitStatus.Unavailable)
    }
  }

  async #commitAccepted (commits: readonly PendingCommit[]): Promise<void> {
    const records = commits.flatMap((commit) => commit.records).filter((record) => this.state.check(record) === ApplyResult.Applied)
    const window = Math.max(this.window, currentWindow(this.#clock, this.#settings))
    if (records.length === 0 && window === this.window) {
      this.#applyCommitted(commits, window)
      return
    }
    const head = await this.#headBuilder.buildNext(records, window)
    if (head === undefined) {
      this.#suspend(commits)
      return
    }
    this.#writeBucket.spend(this.#clock.now())
    const outcome = await this.#headWriter.replaceHead(head, () => this.#expireCommits(commits))
    switch (outcome) {
      case HeadWriteResult.Applied:
        this.counters.writes += 1
        this.counters.records += records.length
        this.#backoff.reset()
        this.#headBuilder.markWritten(head)
        this.#applyCommitted(commits, window)
        void this.#maintain()
        return
      case HeadWriteResult.NotWritten:
        this.#suspend(commits)
        return
      case HeadWriteResult.Deposed:
        this.#deposed = true
        answerUnapplied(commits, CommitStatus.NotOwner)
        return
      case HeadWriteResult.DeposedUncertain:
        this.#deposed = true
        answerUnapplied(commits, CommitStatus.Unknown)
        return
      default: unreachable(outcome)
    }
  }

  #applyCommitted (commits: readonly PendingCommit[], window: number): void {
    for (const commit of commits) {
      const results = commit.records.map((record) => {
        const result = this.state.apply(record, window)
        if (result === ApplyResult.Applied) this.#onCommit(record)
        return result
      })
      commit.resolve({ status: CommitStatus.Committed, results })
    }
  }

  /** Answers commits as not written and pauses writes, so that a recovering store doesn't receive all of them at once. */
  #suspend (commits: readonly PendingCommit[]): void {
    this.#suspendedUntil = this.#clock.now() + this.#backoff.nextDelayMs()
    answerUnapplied([...commits, ...this.#pending.splice(0)], CommitStatus.Unavailable)
  }

  /** Answers commits whose deadline has passed: those of the write in flight, whose outcome is unknown, and pending ones. */
  #expireCommits (inFlight: readonly PendingCommit[]): void {
    const now = this.#clock.now()
    answerUnapplied(inFlight.filter((commit) => commit.deadline <= now), CommitStatus.Unknown)
    this.#expirePending()
  }

  #expirePending (): void {
    const now = this.#clock.now()
    answerUnapplied(this.#pending.filter((commit) => commit.deadline <= now), CommitStatus.Unavailable)
    this.#pending = this.#pending.filter((commit) => commit.deadline > now)
  }

  /** Writes snapshots and removes the objects they replace, without delaying commits. */
  async #maintain (): Promise<void> {
    if (await this.#headBuilder.maintain()) this.counters.snapshots += 1
  }

  #refusePending (): void {
    answerUnapplied(this.#pending.splice(0), CommitStatus.NotOwner)
  }
}

/** Answers commits of which no record was applied. A commit that is already answered keeps its first answer. */
function answerUnapplied (commits: readonly PendingCommit[], status: CommitStatus): void {
  for (const commit of commits) commit.resolve({ status, results: [] })
}

/** Returns the usage window at the current wall-clock time. */
function currentWindow (clock: Clock, settings: PartitionSettings): number {
  return Math.floor(clock.wall() / settings.usageWindowMs)
}
