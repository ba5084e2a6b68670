import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { failure, HostState, success, verifyChain } from '@cyclamenthread/state'
import { PeerFailure } from '@cyclamenthread/transport'
import { DecisionArchive } from '../lib/decision-archive.js'
import { DecisionLog } from '../lib/decision-log.js'
import type { ExecutionContext } from 'ava'
import type { Context } from 'moleculer'
import type { ChainedDecision, Decision, Host, LedgerRecord } from '@cyclamenthread/state'
import type { PeerMessage } from '@cyclamenthread/protocol'
import type { HostSettings } from '../lib/host-settings.js'
import type { MessageBus } from '../lib/message-bus.js'

/** Hosts whose archives can reach each other unless they are down. */
class HostHarness {
  readonly #t: ExecutionContext
  readonly #hosts: Host[] = []
  readonly #archives = new Map<string, DecisionArchive>()
  readonly down = new Set<string>()
  readonly committed: LedgerRecord[] = []

  constructor (t: ExecutionContext) {
    this.#t = t
  }

  async add (id: string, failureDomain: string, hasDataFolder: boolean): Promise<{ log: DecisionLog, archive: DecisionArchive, folder: string }> {
    const self = { id, failureDomain, hasDataFolder } as Host
    const folder = await mkdtemp(join(tmpdir(), 'cyclamenthread-archive-'))
    this.#t.teardown(async () => await rm(folder, { recursive: true }))
    const settings = { self, incarnation: 'i', storeTimeoutMs: 1_000, dataFolder: hasDataFolder ? folder : undefined } as HostSettings
    const log = new DecisionLog(settings)
    const archive = this.archive(settings, log)
    this.#hosts.push(self)
    return { log, archive, folder }
  }

  archive (settings: HostSettings, log: DecisionLog): DecisionArchive {
    const archive = new DecisionArchive(settings, {
      log,
      members: { members: () => this.#hosts.map((host) => ({ host, state: HostState.Alive })) },
      bus: { send: async (host: Host, message: PeerMessage) => await this.#deliver(host, message) } as unknown as Pick<MessageBus, 'send'>,
      ledger: { partitionOf: () => 0 },
      writeBehind: {
        add: async (_, record) => {
          this.committed.push(record)
        }
      }
    })
    this.#archives.set(settings.self.id, archive)
    this.#t.teardown(async () => await archive.stop())
    return archive
  }

  async #deliver (host: Host, message: PeerMessage): Promise<unknown> {
    const archive = this.#archives.get(host.id)
    if (archive === undefined || this.down.has(host.id)) return failure(PeerFailure.NoReply)
    return success(await callAction(archive.service().actions?.['keep'], message))
  }
}

async function callAction (action: unknown, message: unknown): Promise<unknown> {
  return await (action as (context: Context) => Promise<unknown>)({ params: message, meta: {} } as unknown as Context)
}

async function explain (log: DecisionLog, requestId: string): Promise<ChainedDecision[]> {
  return (await callAction(log.service().actions?.['explain'], { requestId }) as { records: ChainedDecision[] }).records
}

function createDecision (requestId: string): Decision {
  return { kind: 'granted', requestId, workspace: 'w', entry: 'e', class: 'booking', endpoint: 'x', waiting: [], reason: '' } as unknown as Decision
}

test('decisions are stored on two other hosts in different failure domains, so that they survive their origin', async (t) => {
  const hosts = new HostHarness(t)
  const replicaHosts = [await hosts.add('k1', 'a', true), await hosts.add('k2', 'a', true), await hosts.add('k3', 'a', true), await hosts.add('k4', 'b', true)]
  for (const id of ['o1', 'o2', 'o3', 'o4', 'o5', 'o6']) {
    const origin = await hosts.add(id, 'a', false)
    for (let index = 0; index < 600; index++) origin.log.record(createDecision(`${id}-${index}`))
    await origin.archive.ship()
    const found = await Promise.all(replicaHosts.map(async (replicaHost) => await explain(replicaHost.log, `${id}-577`)))
    t.is(found.filter((records) => records.length === 1).length, 2)
    t.is(found[3]?.length, 1)
  }
})

test('decisions wait while no replica host is reachable, and none is lost or duplicated', async (t) => {
  const hosts = new HostHarness(t)
  const origin = await hosts.add('origin', 'a', false)
  const replicaHost = await hosts.add('k1', 'b', true)
  hosts.down.add('k1')
  origin.log.record(createDecision('r1'))
  await origin.archive.ship()
  origin.log.record(createDecision('r1'))
  t.is((await explain(replicaHost.log, 'r1')).length, 0)
  hosts.down.delete('k1')
  await origin.archive.ship()
  await origin.archive.ship()
  const records = await explain(replicaHost.log, 'r1')
  t.deepEqual(verifyChain(records, { sequence: 2, hash: origin.log.head.hash }), { kind: 'whole', from: 1, to: 2 })
})

test('a damaged line in the archive is counted at the next start, and other decisions stay readable', async (t) => {
  const hosts = new HostHarness(t)
  const replicaHost = await hosts.add('k1', 'a', true)
  for (const requestId of ['r1', 'r2', 'r3']) replicaHost.log.record(createDecision(requestId))
  await replicaHost.archive.ship()
  await replicaHost.archive.stop()
  const folder = join(replicaHost.folder, 'decisions')
  const path = join(folder, (await readdir(folder))[0] ?? '')
  await writeFile(path, (await readFile(path, 'utf8')).replace('r2', 'rX'))
  const settings = { self: { id: 'k1', failureDomain: 'a', hasDataFolder: true }, incarnation: 'next', storeTimeoutMs: 1_000, dataFolder: replicaHost.folder } as HostSettings
  const log = new DecisionLog(settings)
  const archive = hosts.archive(settings, log)
  await archive.start()
  t.is(archive.counters.damaged, 1)
  t.is((await explain(log, 'r3')).length, 1)
  t.is((await explain(log, 'r2')).length, 0)
  await archive.stop()
})

test('the hash of the chain is committed to the ledger', async (t) => {
  const hosts = new HostHarness(t)
  const origin = await hosts.add('origin', 'a', false)
  origin.log.record(createDecision('r1'))
  await origin.archive.start()
  t.like(hosts.committed[0], { chain: 'origin/i', sequence: 1, hash: origin.log.head.hash })
  await origin.archive.stop()
})
