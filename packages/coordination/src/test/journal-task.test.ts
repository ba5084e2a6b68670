import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { ApplyResult, failure, HostState, LedgerPartition, LedgerRecordKind, success } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { PeerFailure } from '@cyclamenthread/transport'
import { JournalTask } from '../lib/journal-task.js'
import { WriteBehind } from '../lib/write-behind.js'
import type { ExecutionContext } from 'ava'
import type { Context } from 'moleculer'
import type { Clock, Host, LedgerRecord } from '@cyclamenthread/state'
import type { CommitResponse, PeerMessage } from '@cyclamenthread/protocol'
import type { HostSettings } from '../lib/host-settings.js'
import type { MessageBus } from '../lib/message-bus.js'

const WINDOW_MS = 60_000

/** A ledger whose store is down until it is told otherwise, and hosts that keep journals. */
class JournalHarness {
  storeDown = true
  time = 10 * WINDOW_MS
  readonly partition = new LedgerPartition()
  readonly dead = new Set<string>()
  readonly #t: ExecutionContext
  readonly #hosts: Host[] = []
  readonly #journals = new Map<string, JournalTask>()

  constructor (t: ExecutionContext) {
    this.#t = t
  }

  readonly clock: Clock = {
    now: () => this.time,
    wall: () => this.time,
    // The clock stands still; a task that waits goes on in the next turn.
    sleep: async () => await new Promise((resolve) => setImmediate(resolve))
  }

  readonly ledger = {
    partitionOf: () => 0,
    commit: async (_: number, records: readonly LedgerRecord[]): Promise<CommitResponse> => {
      if (this.storeDown) return { status: CommitStatus.Unavailable, results: [] }
      const results = records.map((record) => this.partition.check(record))
      if (results.includes(ApplyResult.Rejected)) return { status: CommitStatus.Rejected, results }
      for (const record of records) this.partition.apply(record, Math.floor(this.time / WINDOW_MS))
      return { status: CommitStatus.Committed, results }
    }
  }

  async folder (): Promise<string> {
    const path = await mkdtemp(join(tmpdir(), 'cyclamenthread-journal-'))
    this.#t.teardown(async () => await rm(path, { recursive: true }))
    return path
  }

  journal (id: string, failureDomain: string, dataFolder?: string): JournalTask {
    const self = { id, failureDomain, hasDataFolder: dataFolder !== undefined } as Host
    const journal = new JournalTask({ self, storeTimeoutMs: 1_000, dataFolder } as HostSettings, {
      members: { members: () => this.#hosts.map((host) => ({ host, state: HostState.Alive })) },
      bus: { send: async (host: Host, message: PeerMessage) => await this.#deliver(host, message) } as unknown as Pick<MessageBus, 'send'>,
      ledger: this.ledger,
      clock: this.clock
    })
    if (!this.#journals.has(id)) this.#hosts.push(self)
    this.#journals.set(id, journal)
    this.#t.teardown(async () => await journal.stop())
    return journal
  }

  async #deliver (host: Host, message: PeerMessage): Promise<unknown> {
    const action = this.#journals.get(host.id)?.service().actions?.[message.kind.slice('journal.'.length)]
    if (this.dead.has(host.id)) return failure(PeerFailure.NoReply)
    return success(await (action as unknown as (context: Context) => Promise<unknown>)({ params: message, meta: {} } as unknown as Context))
  }
}

function createUsage (requestId: string): LedgerRecord {
  return { kind: LedgerRecordKind.Usage, usage: { requestId, workspace: 'w', entry: 'e', promptTokens: 1, answerTokens: 1, calls: 0 } }
}

/** Waits until a condition holds that other tasks bring about. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 1))
}

test('usage of an outage outlives the host that served it, is counted once, and named as a correction', async (t) => {
  const outage = new JournalHarness(t)
  const keepers = [outage.journal('k1', 'a', await outage.folder()), outage.journal('k2', 'b', await outage.folder())]
  const origin = outage.journal('origin', 'a')
  const behind = new WriteBehind(outage.ledger, { clock: outage.clock, journal: origin, usageWindowMs: WINDOW_MS })
  for (let index = 0; index < 100; index++) void behind.add(0, createUsage(`r${index}`))
  outage.time += 5_000
  await until(() => behind.counters.journaled === 100)
  t.deepEqual(keepers.map((keeper) => keeper.counters.kept), [100, 100])

  outage.time += 10 * WINDOW_MS
  outage.storeDown = false
  // The keepers don't hear that the origin has committed: all three commit everything.
  for (const id of ['k1', 'k2']) outage.dead.add(id)
  await behind.drain(outage.time + 60_000)
  for (const keeper of keepers) {
    await keeper.replayOldEntries()
    t.is(keeper.counters.replayed, 100)
  }
  const totals = outage.partition.usage(20)
  t.is(totals.length, 1)
  t.like(totals[0], { items: 100, correctionOf: 10 })
})

test('a keeper that restarts in the outage still commits what it kept; the other host may be gone', async (t) => {
  const outage = new JournalHarness(t)
  const folder = await outage.folder()
  const first = outage.journal('k1', 'a', folder)
  outage.journal('k2', 'b', await outage.folder())
  const origin = outage.journal('origin', 'a')
  t.true(await origin.append([1, 2, 3].map((index) => ({ id: `e${index}`, partition: 0, record: createUsage(`r${index}`) }))))
  await origin.trim(['e2'])
  await first.stop()
  outage.dead.add('k2')
  outage.dead.add('origin')

  outage.storeDown = false
  const again = outage.journal('k1', 'a', folder)
  await again.start()
  await until(() => again.counters.replayed === 2)
  t.is(outage.partition.usage(10)[0]?.items, 2)
})

test('nothing is taken for journaled while no host keeps it', async (t) => {
  const outage = new JournalHarness(t)
  outage.journal('k1', 'a', await outage.folder())
  outage.dead.add('k1')
  const origin = outage.journal('origin', 'a')
  t.false(await origin.append([{ id: 'e1', partition: 0, record: createUsage('r1') }]))
})

test('a damaged journal is contained, and its loss is said in the ledger once', async (t) => {
  const outage = new JournalHarness(t)
  const folder = await outage.folder()
  const first = outage.journal('k1', 'a', folder)
  await first.append([1, 2, 3].map((index) => ({ id: `e${index}`, partition: 0, record: createUsage(`r${index}`) })))
  await first.stop()
  const journal = join(folder, 'journal')
  const path = join(journal, (await readdir(journal))[0] ?? '')
  await writeFile(path, (await readFile(path, 'utf8')).replace('"r2"', '"rX"'))
  outage.storeDown = false
  const losses: LedgerRecord[] = []
  const { commit } = outage.ledger
  outage.ledger.commit = async (partition, records) => {
    losses.push(...records.filter((record) => record.kind === LedgerRecordKind.UsageLoss && outage.partition.check(record) === ApplyResult.Applied))
    return await commit(partition, records)
  }
  const again = outage.journal('k1', 'a', folder)
  await again.start()
  await until(() => again.counters.replayed === 3)
  t.is(again.counters.damaged, 1)
  t.is(outage.partition.usage(10)[0]?.items, 2)
  t.is(losses.length, 1)
})
