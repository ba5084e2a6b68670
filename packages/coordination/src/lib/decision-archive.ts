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

/** How often new decisions are sent to the hosts that keep them, in milliseconds. */
const SHIP_PERIOD_MS = 1_000

/** Decisions in one message. */
const MAX_SHIPPED_RECORDS = 500

/** How often the head of this process's chain goes into the ledger, in milliseconds. */
const HEAD_COMMIT_PERIOD_MS = 10_000

/** Size of one file of kept decisions, in bytes. */
const MAX_FILE_BYTES = 16 * 1024 * 1024

/** Files of kept decisions; older ones are removed. */
const MAX_FILES = 32

/** What the archive works with. */
export interface ArchiveContext {
  readonly log: DecisionLog
  readonly members: Pick<MemberView, 'members'>
  readonly bus: Pick<MessageBus, 'send'>
  readonly ledger: Pick<LedgerClient, 'partitionOf'>
  readonly writeBehind: Pick<WriteBehind, 'add'>
}

/**
 * Keeps decisions beyond the life of the process that made them: sends them to
 * hosts with a data folder, keeps what other hosts send if it has one itself,
 * and lets the ledger hold the hash of the chain every few seconds.
 *
 * Decisions are sent after the fact: a process that dies takes at most its
 * last second of them with it, which shows as a chain that ends before the
 * hash in the ledger.
 */
export class DecisionArchive {
  readonly #settings: HostSettings
  readonly #context: ArchiveContext
  readonly #log: AppendLog | undefined
  readonly #shipping: Periodic
  readonly #headCommits: Periodic
  #committedSequence = 0
  /** Decisions kept for others, sent to keepers, given up for want of a keeper, and damaged lines met. */
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

  /** The broker service that keeps decisions. */
  service (): ServiceSchema {
    return taskService('archive', {
      [PeerMessageKind.ArchiveDecisions]: async (message) => ({ accepted: await this.#store(message.records) })
    })
  }

  /** Checks what is kept, and goes on in the background. */
  async start (): Promise<void> {
    this.counters.damaged = (await this.#log?.read())?.damaged ?? 0
    void this.#shipping.start()
    void this.#headCommits.start()
  }

  /** Sends what is left and stops. */
  async stop (): Promise<void> {
    await this.#shipping.stop()
    await this.#headCommits.stop()
    await this.ship()
    await this.#log?.close()
  }

  /**
   * Sends the decisions made since the last time; those that no host took are sent again.
   *
   * @internal
   */
  async ship (): Promise<void> {
    for (let records = this.#context.log.oldestUnshipped(MAX_SHIPPED_RECORDS); records.length > 0; records = this.#context.log.oldestUnshipped(MAX_SHIPPED_RECORDS)) {
      const keepers = selectReplicaHosts(`decisions/${this.#settings.self.id}`, this.#context.members)
      const answers = await Promise.all(keepers.map(async (host) => await this.#send(host, records)))
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
    // The id is looked for in the text first: parsing every line would cost far more.
    return lines.filter((line) => line.includes(requestId)).map((line) => JSON.parse(line) as ChainedDecision)
  }

  #commitChainHead (): void {
    const { chain, sequence, hash } = this.#context.log.head
    if (sequence === this.#committedSequence) return
    this.#committedSequence = sequence
    void this.#context.writeBehind.add(this.#context.ledger.partitionOf(`chain/${chain}`), { kind: LedgerRecordKind.ChainHead, chain, sequence, hash })
  }
}
