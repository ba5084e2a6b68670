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

/** A ledger whose store is initially down, and hosts that store journals. */
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
    elapsed: () => this.time,
    wall: () => this.time,
    // The clock doesn't advance by itself; a sleeping task resumes in the next turn of the event loop.
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

/** Waits until a condition holds. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 1))
}

test('usage journaled in an outage is counted once, as a correction, when origin and replica hosts all commit it', async (t) => {
  const harness = new JournalHarness(t)
  const replicaHosts = [harness.journal('k1', 'a', await harness.folder()), harness.journal('k2', 'b', await harness.folder())]
  const origin = harness.journal('origin', 'a')
  const writeBehind = new WriteBehind(harness.ledger, { clock: harness.clock, journal: origin, usageWindowMs: WINDOW_MS })
  for (let index = 0; index < 100; index++) void writeBehind.add(0, createUsage(`r${index}`))
  harness.time += 5_000
  await until(() => writeBehind.counters.journaled === 100)
  t.deepEqual(replicaHosts.map((replicaHost) => replicaHost.counters.kept), [100, 100])

  harness.time += 10 * WINDOW_MS
  harness.storeDown = false
  // The replica hosts don't learn that the origin has committed, so all three commit every record.
  for (const id of ['k1', 'k2']) harness.dead.add(id)
  await writeBehind.drain(harness.time + 60_000)
  for (const replicaHost of replicaHosts) {
    await replicaHost.replayOldEntries()
    t.is(replicaHost.counters.replayed, 100)
  }
  const totals = harness.partition.usage(20)
  t.is(totals.length, 1)
  t.like(totals[0], { items: 100, correctionOf: 10 })
})

test('a replica host that restarts during an outage commits its entries, even if the other hosts are gone', async (t) => {
  const harness = new JournalHarness(t)
  const folder = await harness.folder()
  const first = harness.journal('k1', 'a', folder)
  harness.journal('k2', 'b', await harness.folder())
  const origin = harness.journal('origin', 'a')
  t.true(await origin.append([1, 2, 3].map((index) => ({ id: `e${index}`, partition: 0, record: createUsage(`r${index}`) }))))
  await origin.trim(['e2'])
  await first.stop()
  harness.dead.add('k2')
  harness.dead.add('origin')

  harness.storeDown = false
  const restarted = harness.journal('k1', 'a', folder)
  await restarted.start()
  await until(() => restarted.counters.replayed === 2)
  t.is(harness.partition.usage(10)[0]?.items, 2)
})

test('an append fails while no replica host is reachable', async (t) => {
  const harness = new JournalHarness(t)
  harness.journal('k1', 'a', await harness.folder())
  harness.dead.add('k1')
  const origin = harness.journal('origin', 'a')
  t.false(await origin.append([{ id: 'e1', partition: 0, record: createUsage('r1') }]))
})

test('a damaged journal line is reported to the ledger once, and the other entries are committed', async (t) => {
  const harness = new JournalHarness(t)
  const folder = await harness.folder()
  const first = harness.journal('k1', 'a', folder)
  await first.append([1, 2, 3].map((index) => ({ id: `e${index}`, partition: 0, record: createUsage(`r${index}`) })))
  await first.stop()
  const journal = join(folder, 'journal')
  const path = join(journal, (await readdir(journal))[0] ?? '')
  await writeFile(path, (await readFile(path, 'utf8')).replace('"r2"', '"rX"'))
  harness.storeDown = false
  const losses: LedgerRecord[] = []
  const { commit } = harness.ledger
  harness.ledger.commit = async (partition, records) => {
    losses.push(...records.filter((record) => record.kind === LedgerRecordKind.UsageLoss && harness.partition.check(record) === ApplyResult.Applied))
    return await commit(partition, records)
  }
  const restarted = harness.journal('k1', 'a', folder)
  await restarted.start()
  await until(() => restarted.counters.replayed === 3)
  t.is(restarted.counters.damaged, 1)
  t.is(harness.partition.usage(10)[0]?.items, 2)
  t.is(losses.length, 1)
})
