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

/** Age at which a stored entry is committed by the host that stores it, whether or not its origin is alive, in milliseconds. */
const REPLAY_AGE_MS = 30_000

/** Interval at which stored entries are checked, in milliseconds. */
const REPLAY_PERIOD_MS = 5_000

/** Timeout for the commit of a stored entry, in milliseconds. */
const COMMIT_TIMEOUT_MS = 5_000

/** Maximum number of stored entries; further ones are refused and remain with their origin. */
const MAX_ENTRIES = 100_000

/** Maximum size of a journal file, in bytes. */
const MAX_FILE_BYTES = 16 * 1024 * 1024

/** Maximum number of journal files. {@link MAX_ENTRIES} is low enough that a removed file contains no open entry. */
const MAX_FILES = 256

/** An entry stored on this host. */
interface StoredEntry {
  readonly entry: JournalEntry
  /** Monotonic time in milliseconds from which this host commits the entry itself. */
  readonly replayAt: number
}

/** A line of a journal file. */
type JournalLine = { readonly add: JournalEntry } | { readonly done: readonly string[] }

/** Dependencies of a {@link JournalTask}. */
export interface JournalContext {
  readonly members: Pick<MemberView, 'members'>
  readonly bus: Pick<MessageBus, 'send'>
  readonly ledger: Pick<LedgerClient, 'partitionOf' | 'commit'>
  readonly clock?: Clock
}

/**
 * Journals records that could not be written to the store, on two hosts with a
 * data folder in different failure domains, until they are committed.
 *
 * A replica host commits an old entry itself, even if its origin is alive: a
 * record that was committed before is a duplicate without effect, so there is no
 * need to detect whether the origin has crashed.
 *
 * Invariant: an entry is removed from the journal only when it has been
 * committed or rejected as contradicting committed records.
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

  /** Creates the broker service that stores entries of other hosts. */
  service (): ServiceSchema {
    return taskService('journal', {
      [PeerMessageKind.AppendJournal]: async (message) => ({ accepted: await this.#storeEntries(message.entries) }),
      [PeerMessageKind.TrimJournal]: async (message) => ({ accepted: await this.#removeEntries(message.ids) })
    })
  }

  /** Loads the entries stored before a restart and starts the replay loop. */
  async start (): Promise<void> {
    await this.#load()
    void this.#replayLoop.start()
  }

  async stop (): Promise<void> {
    await this.#replayLoop.stop()
    await this.#log?.close()
  }

  /** Sends entries to two replica hosts; returns whether at least one has them on disk. */
  async append (entries: readonly JournalEntry[]): Promise<boolean> {
    const message = { kind: PeerMessageKind.AppendJournal as const, entries: [...entries] }
    const accepted = await Promise.all(this.#replicaHosts().map(async (host) => {
      const answer = await this.#context.bus.send(host, message, { deadline: deadlineAfter(this.#settings.storeTimeoutMs) })
      return answer.ok && answer.value.accepted
    }))
    return accepted.includes(true)
  }

  /** Tells the replica hosts that entries are committed. A host that misses the message later commits them again, without effect. */
  async trim (ids: readonly string[]): Promise<void> {
    const message = { kind: PeerMessageKind.TrimJournal as const, ids: [...ids] }
    await Promise.all(this.#replicaHosts().map(async (host) => await this.#context.bus.send(host, message, { deadline: deadlineAfter(this.#settings.storeTimeoutMs) })))
  }

  /**
   * Commits stored entries that have reached the replay age.
   *
   * @internal
   */
  async replayOldEntries (): Promise<void> {
    for (const [id, { entry, replayAt }] of [...this.#entries]) {
      if (this.#clock.now() < replayAt) continue
      const { status } = await this.#context.ledger.commit(entry.partition, [entry.record], { deadline: this.#clock.now() + COMMIT_TIMEOUT_MS })
      // While the store is down, all other entries would fail as well.
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
    const removed = ids.filter((id) => this.#entries.delete(id))
    if (this.#log === undefined || removed.length === 0) return true
    if (this.#entries.size === 0) await this.#log.clear()
    else await this.#log.append([encodeJson({ done: removed } satisfies JournalLine)])
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
   * Adds an entry that reports damaged lines. Their contents are unknown, so the
   * usage window is marked as incomplete instead of being estimated; the other
   * replica host may still commit them. The damaged file is removed when the
   * journal has no open entries; a restart before that reports the same loss id,
   * which the ledger counts once.
   */
  #addLossRecord (damaged: number, whole: number): void {
    const { id } = this.#settings.self
    const lossId = `journal/${id}/${damaged}/${whole}`
    const detail = `${damaged} damaged lines in the journal of ${id}`
    const entry = { id: lossId, partition: this.#context.ledger.partitionOf(lossId), record: { kind: LedgerRecordKind.UsageLoss as const, lossId, detail } }
    this.#entries.set(entry.id, { entry, replayAt: this.#clock.now() })
  }
}
