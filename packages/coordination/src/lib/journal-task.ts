import { join } from 'node:path'
import { LedgerRecordKind } from '@cyclamenthread/state'
import { CommitStatus, decodeJson, encodeJson, PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { AppendLog } from './append-log.js'
import { selectReplicaHosts } from './replica-hosts.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { ServiceSchema } from 'moleculer'
import type { Clock, Host } from '@cyclamenthread/state'
import type { JournalEntry } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'
import type { LedgerClient } from './ledger-client.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Age at which an entry is committed by the host that keeps it, whatever became of its origin, in milliseconds. */
const REPLAY_AGE_MS = 30_000

/** How often kept entries are looked at, in milliseconds. */
const REPLAY_PERIOD_MS = 5_000

/** Longest one commit of a kept entry is tried, in milliseconds. */
const COMMIT_TIMEOUT_MS = 5_000

/** Most entries kept; more are refused, and their origin goes on holding them. */
const MAX_ENTRIES = 100_000

/** Size of one file of the journal, in bytes. */
const MAX_FILE_BYTES = 16 * 1024 * 1024

/** Files of the journal. Entries are at most {@link MAX_ENTRIES}, so that a file that goes holds none that is open. */
const MAX_FILES = 256

/** An entry that is kept here. */
interface StoredEntry {
  readonly entry: JournalEntry
  /** Monotonic time from which on it is committed from here, in milliseconds. */
  readonly replayAt: number
}

/** A line of the journal's file. */
type JournalLine = { readonly add: JournalEntry } | { readonly done: readonly string[] }

/** What the journal works with. */
export interface JournalContext {
  readonly members: Pick<MemberView, 'members'>
  readonly bus: Pick<MessageBus, 'send'>
  readonly ledger: Pick<LedgerClient, 'partitionOf' | 'commit'>
  readonly clock?: Clock
}

/**
 * Keeps records that the store could not take, on two hosts with a data
 * folder in different failure domains, until they are committed.
 *
 * Whoever keeps an entry commits it himself once it is old, also while its
 * origin lives: a record that was committed before is a duplicate and has no
 * second effect, so nobody has to find out first whether the origin died.
 *
 * Invariant: an entry leaves the journal only when it is committed or
 * contradicts what is committed.
 */
export class JournalTask {
  readonly #settings: HostSettings
  readonly #context: JournalContext
  readonly #clock: Clock
  readonly #log: AppendLog | undefined
  readonly #entries = new Map<string, StoredEntry>()
  readonly #replayLoop: Periodic
  readonly counters = { kept: 0, replayed: 0, damaged: 0 }

  constructor (settings: HostSettings, context: JournalContext) {
    this.#settings = settings
    this.#context = context
    this.#clock = context.clock ?? SYSTEM_CLOCK
    const { dataFolder } = settings
    this.#log = dataFolder === undefined ? undefined : new AppendLog({ folder: join(dataFolder, 'journal'), fileBytes: MAX_FILE_BYTES, files: MAX_FILES })
    this.#replayLoop = new Periodic(REPLAY_PERIOD_MS, async () => await this.replayOldEntries())
  }

  /** The broker service that keeps entries. */
  service (): ServiceSchema {
    return taskService('journal', {
      [PeerMessageKind.AppendJournal]: async (message) => ({ accepted: await this.#storeEntries(message.entries) }),
      [PeerMessageKind.TrimJournal]: async (message) => ({ accepted: await this.#removeEntries(message.ids) })
    })
  }

  /** Reads what an earlier life kept, and goes on in the background. */
  async start (): Promise<void> {
    await this.#load()
    void this.#replayLoop.start()
  }

  async stop (): Promise<void> {
    await this.#replayLoop.stop()
    await this.#log?.close()
  }

  /** Gives entries to two hosts that keep them; whether at least one has them on its disk. */
  async append (entries: readonly JournalEntry[]): Promise<boolean> {
    const message = { kind: PeerMessageKind.AppendJournal as const, entries: [...entries] }
    const accepted = await Promise.all(this.#replicaHosts().map(async (host) => {
      const answer = await this.#context.bus.send(host, message, { deadline: deadlineAfter(this.#settings.storeTimeoutMs) })
      return answer.ok && answer.value.accepted
    }))
    return accepted.includes(true)
  }

  /** Tells the hosts that keep entries that these are committed. One that doesn't hear it finds out when it commits them again. */
  async trim (ids: readonly string[]): Promise<void> {
    const message = { kind: PeerMessageKind.TrimJournal as const, ids: [...ids] }
    await Promise.all(this.#replicaHosts().map(async (host) => await this.#context.bus.send(host, message, { deadline: deadlineAfter(this.#settings.storeTimeoutMs) })))
  }

  /**
   * Commits kept entries that are old.
   *
   * @internal
   */
  async replayOldEntries (): Promise<void> {
    for (const [id, { entry, replayAt }] of [...this.#entries]) {
      if (this.#clock.now() < replayAt) continue
      const { status } = await this.#context.ledger.commit(entry.partition, [entry.record], { deadline: this.#clock.now() + COMMIT_TIMEOUT_MS })
      // With the store still down, all others would fail as well.
      if (status !== CommitStatus.Committed && status !== CommitStatus.Rejected) return
      this.counters.replayed += 1
      await this.#removeEntries([id])
    }
  }

  #replicaHosts (): Host[] {
    return selectReplicaHosts(`journal/${this.#settings.self.id}`, this.#context.members)
  }

  async #storeEntries (entries: readonly JournalEntry[]): Promise<boolean> {
    if (this.#log === undefined || this.#entries.size + entries.length > MAX_ENTRIES) return false
    await this.#log.append(entries.map((entry) => encodeJson({ add: entry } satisfies JournalLine)))
    const replayAt = this.#clock.now() + REPLAY_AGE_MS
    for (const entry of entries) this.#entries.set(entry.id, { entry, replayAt })
    this.counters.kept += entries.length
    return true
  }

  async #removeEntries (ids: readonly string[]): Promise<boolean> {
    const known = ids.filter((id) => this.#entries.delete(id))
    if (this.#log === undefined || known.length === 0) return true
    if (this.#entries.size === 0) await this.#log.clear()
    else await this.#log.append([encodeJson({ done: known } satisfies JournalLine)])
    return true
  }

  async #load (): Promise<void> {
    if (this.#log === undefined) return
    const { lines, damaged } = await this.#log.read()
    for (const line of lines) {
      const content = decodeJson(line) as JournalLine
      if ('add' in content) this.#entries.set(content.add.id, { entry: content.add, replayAt: this.#clock.now() })
      else for (const id of content.done) this.#entries.delete(id)
    }
    this.counters.damaged = damaged
    if (damaged > 0) this.#addLossRecord(damaged, lines.length)
  }

  /**
   * What a damaged line held is not known, so the window is reported as
   * incomplete rather than guessed; the other keeper may still commit it. The
   * damaged file goes when nothing in the journal is open any more; a restart
   * before that reports the same loss, which the ledger counts once.
   */
  #addLossRecord (damaged: number, whole: number): void {
    const { id } = this.#settings.self
    const lossId = `journal/${id}/${damaged}/${whole}`
    const detail = `${damaged} damaged lines in the journal of ${id}`
    const entry = { id: lossId, partition: this.#context.ledger.partitionOf(lossId), record: { kind: LedgerRecordKind.UsageLoss as const, lossId, detail } }
    this.#entries.set(entry.id, { entry, replayAt: this.#clock.now() })
  }
}
