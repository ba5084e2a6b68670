import { join } from 'node:path'
import { LedgerRecordKind } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { AppendLog } from './append-log.js'
import { selectReplicaHosts } from './replica-hosts.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { ChainedDecision, Host } from '@cyclamenthread/state'
import type { DecisionLog } from './decision-log.js'
import type { HostSettings } from './host-settings.js'
import type { LedgerClient } from './ledger-client.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { WriteBehind } from './write-behind.js'

/** Interval at which new decisions are sent to their replica hosts, in milliseconds. */
const SHIP_PERIOD_MS = 1_000

/** Maximum number of decisions in one message. */
const MAX_SHIPPED_RECORDS = 500

/** Interval at which the head of this process's chain is committed to the ledger, in milliseconds. */
const HEAD_COMMIT_PERIOD_MS = 10_000

/** Maximum size of an archive file, in bytes. */
const MAX_FILE_BYTES = 16 * 1024 * 1024

/** Maximum number of archive files; older ones are removed. */
const MAX_FILES = 32

/** Dependencies of a {@link DecisionArchive}. */
export interface ArchiveContext {
  readonly log: DecisionLog
  readonly members: Pick<MemberView, 'members'>
  readonly bus: Pick<MessageBus, 'send'>
  readonly ledger: Pick<LedgerClient, 'partitionOf'>
  readonly writeBehind: Pick<WriteBehind, 'add'>
}

/**
 * Stores decisions beyond the lifetime of the process that made them: sends them
 * to hosts with a data folder, stores decisions of other hosts if this host has
 * one, and commits the hash of the chain to the ledger every few seconds.
 *
 * Decisions are sent asynchronously: a process that crashes loses at most those
 * of its last second, which is visible as a chain that ends before the hash in
 * the ledger.
 */
export class DecisionArchive {
  readonly #settings: HostSettings
  readonly #context: ArchiveContext
  readonly #log: AppendLog | undefined
  readonly #shipping: Periodic
  readonly #headCommits: Periodic
  #committedSequence = 0
  /** Decisions stored for other hosts, decisions sent, decisions dropped because no host stored them, and damaged lines found. */
  readonly counters = { kept: 0, shipped: 0, unkept: 0, damaged: 0 }

  constructor (settings: HostSettings, context: ArchiveContext) {
    this.#settings = settings
    this.#context = context
    const { dataFolder } = settings
    this.#log = dataFolder === undefined ? undefined : new AppendLog({ folder: join(dataFolder, 'decisions'), fileBytes: MAX_FILE_BYTES, files: MAX_FILES })
    this.#shipping = new Periodic(SHIP_PERIOD_MS, async () => await this.ship())
    this.#headCommits = new Periodic(HEAD_COMMIT_PERIOD_MS, async () => this.#commitChainHead())
    context.log.setArchiveSearch(async (requestId) => await this.#search(requestId))
  }

  /** Creates the broker service that stores decisions of other hosts. */
  service (): ServiceSchema {
    return taskService('archive', {
      [PeerMessageKind.ArchiveDecisions]: async (message) => ({ accepted: await this.#store(message.records) })
    })
  }

  /** Checks the stored decisions for damage and starts the background tasks. */
  async start (): Promise<void> {
    this.counters.damaged = (await this.#log?.read())?.damaged ?? 0
    void this.#shipping.start()
    void this.#headCommits.start()
  }

  /** Sends the remaining decisions and stops. */
  async stop (): Promise<void> {
    await this.#shipping.stop()
    await this.#headCommits.stop()
    await this.ship()
    await this.#log?.close()
  }

  /**
   * Sends the decisions made since the last call; those that no host accepted are sent again next time.
   *
   * @internal
   */
  async ship (): Promise<void> {
    for (let records = this.#context.log.oldestUnshipped(MAX_SHIPPED_RECORDS); records.length > 0; records = this.#context.log.oldestUnshipped(MAX_SHIPPED_RECORDS)) {
      const replicaHosts = selectReplicaHosts(`decisions/${this.#settings.self.id}`, this.#context.members)
      const answers = await Promise.all(replicaHosts.map(async (host) => await this.#send(host, records)))
      if (!answers.includes(true)) break
      this.#context.log.markShipped(records.at(-1)?.sequence ?? 0)
      this.counters.shipped += records.length
    }
    this.counters.unkept = this.#context.log.dropped
  }

  async #send (host: Host, records: readonly ChainedDecision[]): Promise<boolean> {
    const message = { kind: PeerMessageKind.ArchiveDecisions as const, records: [...records] }
    const answer = await this.#context.bus.send(host, message, { deadline: deadlineAfter(this.#settings.storeTimeoutMs) })
    return answer.ok && answer.value.accepted
  }

  async #store (records: readonly ChainedDecision[]): Promise<boolean> {
    if (this.#log === undefined) return false
    await this.#log.append(records.map((record) => JSON.stringify(record)))
    this.counters.kept += records.length
    return true
  }

  async #search (requestId: string): Promise<ChainedDecision[]> {
    if (this.#log === undefined) return []
    const { lines } = await this.#log.read()
    // Filtering the raw text first is far cheaper than parsing every line.
    return lines.filter((line) => line.includes(requestId)).map((line) => JSON.parse(line) as ChainedDecision)
  }

  #commitChainHead (): void {
    const { chain, sequence, hash } = this.#context.log.head
    if (sequence === this.#committedSequence) return
    this.#committedSequence = sequence
    void this.#context.writeBehind.add(this.#context.ledger.partitionOf(`chain/${chain}`), { kind: LedgerRecordKind.ChainHead, chain, sequence, hash })
  }
}
