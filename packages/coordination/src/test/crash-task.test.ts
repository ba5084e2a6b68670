import test from 'ava'
import { CrashTask, HeldRequestStore, SILENT_LOG } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { AdmissionKind, EndpointLife, failure, RouteKind, success } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { PeerFailure } from '@cyclamenthread/transport'
import { waitUntil } from './deployment-fixture.js'
import type { CrashContext, RepeatableCall } from '@cyclamenthread/coordination'
import type { Host, Route } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const HOST_IDS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']
const ROUTE = { name: 'desk', host: 'desk.example', kind: RouteKind.Idempotent } as unknown as Route
const POISON: RepeatableCall = { workspace: 'office', route: ROUTE, method: 'POST', path: '/1', body: Buffer.from('crash') }

type Handler = (context: { readonly params: unknown, readonly meta: unknown }) => Promise<unknown>

/** Hosts that exchange messages in memory; those that are cut off get none and send none. */
class Hosts {
  readonly #tasks = new Map<string, CrashTask>()
  readonly cutOff = new Set<string>()
  readonly store = new MemoryStore({ sleep: async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds)) }, seededRandom(1))
  isJudging = true
  /** Ids of endpoints that still run, although connections to them broke. */
  readonly running = new Set<string>()

  constructor (t: ExecutionContext) {
    for (const id of HOST_IDS) this.restart(id)
    t.teardown(async () => await Promise.all([...this.#tasks.values()].map(async (task) => await task.stop())))
  }

  restart (id: string): void {
    void this.#tasks.get(id)?.stop()
    const bus = {
      post: async (host: Host, message: { readonly kind: string }) => {
        await this.#deliver(id, host.id, message)
      },
      send: async (host: Host, message: { readonly kind: string }) => {
        const answer = await this.#deliver(id, host.id, message)
        return answer === undefined ? failure(PeerFailure.NoReply) : success(answer)
      }
    } as unknown as CrashContext['bus']
    const observer = { judge: async ({ endpointId }: { readonly endpointId: string }) => !this.isJudging ? EndpointLife.Unknown : this.running.has(endpointId) ? EndpointLife.Running : EndpointLife.Ended }
    const task = new CrashTask({ self: { id }, members: { workers: () => HOST_IDS.map((one) => ({ id: one }) as Host) }, bus, observer, held: new HeldRequestStore(this.store), log: SILENT_LOG })
    this.#tasks.set(id, task)
    void task.start()
  }

  task (id: string): CrashTask {
    const task = this.#tasks.get(id)
    if (task === undefined) throw new Error(`${id} isn't running`)
    return task
  }

  /** Hosts at which a call is held back. */
  holding (call: RepeatableCall): string[] {
    return HOST_IDS.filter((id) => this.task(id).admit(call).kind !== AdmissionKind.Free)
  }

  async #deliver (from: string, to: string, message: { readonly kind: string }): Promise<unknown> {
    await new Promise((resolve) => setImmediate(resolve))
    if (this.cutOff.has(from) || this.cutOff.has(to)) return undefined
    const handler = this.#tasks.get(to)?.service().actions?.[message.kind.replace('crashes.', '')] as Handler | undefined
    return await handler?.({ params: message, meta: undefined })
  }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await new Promise((resolve) => setTimeout(resolve, 1))
}

/** Lets a call crash one endpoint at each of the given hosts, one after the other. */
async function crashAt (hosts: Hosts, ids: readonly string[], call: RepeatableCall = POISON): Promise<void> {
  for (const [index, id] of ids.entries()) {
    hosts.task(id).recordLoss(call, endpointEntry(`i-${index}`), performance.now())
    await settle()
  }
}

// Guards against a request that comes to another host each time and crashes endpoints there (BUDGET).
test('a call that crashed an endpoint at each of three hosts is held back at every host, and others are not', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  t.deepEqual(hosts.holding(POISON), HOST_IDS)
  for (const other of [{ ...POISON, workspace: 'club' }, { ...POISON, path: '/2' }, { ...POISON, body: Buffer.from('sound') }]) t.deepEqual(hosts.holding(other), [])
})

// Guards against hosts that missed the message and send the request on (BUDGET).
test('a host that was cut off, or has just started, soon holds the call back as well', async (t) => {
  const hosts = new Hosts(t)
  hosts.cutOff.add('h6')
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  hosts.cutOff.clear()
  for (const id of ['h1', 'h4']) hosts.restart(id)
  t.deepEqual(hosts.holding(POISON), ['h2', 'h3', 'h5'])
  await waitUntil(t, () => hosts.holding(POISON).length === HOST_IDS.length)
})

// Guards against a sound request that is held back for crashes that it did not cause.
test('a call that completes after two crashes is known as sound at every host', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2'])
  hosts.task('h5').recordAnswer(POISON, performance.now(), 200)
  await settle()
  await crashAt(hosts, ['h1', 'h2'])
  t.deepEqual(hosts.holding(POISON), [])
})

// Guards against trials beside a call that brings endpoints down but isn't held back yet (DENIED).
test('a call is suspected at every host from its second crash on, until it completes', async (t) => {
  const hosts = new Hosts(t)
  const suspecting = (): string[] => HOST_IDS.filter((id) => hosts.task(id).isSuspected(POISON))
  await crashAt(hosts, ['h1'])
  t.deepEqual(suspecting(), [])
  hosts.task('h2').recordLoss(POISON, endpointEntry('i-8'), performance.now())
  await settle()
  t.deepEqual(suspecting(), HOST_IDS)
  t.deepEqual(hosts.holding(POISON), [])
  t.false(hosts.task('h1').isSuspected({ ...POISON, body: Buffer.from('sound') }))
  hosts.task('h5').recordAnswer(POISON, performance.now(), 200)
  await settle()
  t.deepEqual(suspecting(), [])
})

// Guards against a request that crashes most endpoints and makes others answer 500 in between (BUDGET).
test('an answer of 500 does not show that a call is sound', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2'])
  hosts.task('h5').recordAnswer(POISON, performance.now(), 500)
  await settle()
  hosts.task('h3').recordLoss(POISON, endpointEntry('i-9'), performance.now())
  await settle()
  t.deepEqual(hosts.holding(POISON), HOST_IDS)
})

// Guards against a request that many callers send and that no host serves any more, because the connections of some hosts were reset (DENIED, RECOVER).
test('connections to endpoints that still run do not hold a call back, however many hosts lose them', async (t) => {
  const hosts = new Hosts(t)
  for (const index of HOST_IDS.keys()) hosts.running.add(`i-${index}`)
  await crashAt(hosts, HOST_IDS)
  t.deepEqual(hosts.holding(POISON), [])
})

// Guards against several callers whose requests crash endpoints at several hosts at the same moment, each known to one host (BUDGET).
test('crashes at three hosts at the same moment are known together at every host', async (t) => {
  const hosts = new Hosts(t)
  for (const [index, id] of ['h2', 'h4', 'h6'].entries()) hosts.task(id).recordLoss(POISON, endpointEntry(`i-${index}`), performance.now())
  await waitUntil(t, () => hosts.holding(POISON).length === HOST_IDS.length)
  t.deepEqual(hosts.holding(POISON), HOST_IDS)
})

/** Waits until a trial is due at a host. */
async function awaitTrial (t: ExecutionContext, task: CrashTask): Promise<void> {
  await waitUntil(t, () => task.admit(POISON).kind === AdmissionKind.TrialDue)
}

// Guards against several callers that get through at once when a hold ends at all hosts (BUDGET).
test('a trial that is due at all hosts is taken by one of them, even if they do not reach each other', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  for (const id of HOST_IDS) hosts.cutOff.add(id)
  await Promise.all(HOST_IDS.map(async (id) => await awaitTrial(t, hosts.task(id))))
  const refusals = await Promise.all(HOST_IDS.map(async (id) => await hosts.task(id).takeTrial(POISON)))
  t.is(refusals.filter((refusal) => refusal === undefined).length, 1)
})

// Guards against a request that crashes endpoints anew after a loss of all hosts (BUDGET).
test('a call stays held back when all hosts restart at once', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  for (const id of HOST_IDS) hosts.restart(id)
  await waitUntil(t, () => hosts.holding(POISON).length === HOST_IDS.length)
  t.deepEqual(hosts.holding(POISON), HOST_IDS)
})

// Guards against a request whose crashes are forgotten because all hosts are lost before its endpoints are judged (BUDGET).
test('crashes that are not judged yet outlast a restart of all hosts', async (t) => {
  const hosts = new Hosts(t)
  hosts.isJudging = false
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  t.deepEqual(hosts.holding(POISON), [])
  hosts.isJudging = true
  for (const id of HOST_IDS) hosts.restart(id)
  await waitUntil(t, () => hosts.holding(POISON).length === HOST_IDS.length)
  t.deepEqual(hosts.holding(POISON), HOST_IDS)
})

// Guards against a sound request that stays held back because endpoints crashed together while they ran it (DENIED, RECOVER).
test('a call whose trial completes is free at every host, and in the store', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  await awaitTrial(t, hosts.task('h4'))
  t.is(await hosts.task('h4').takeTrial(POISON), undefined)
  hosts.task('h4').recordAnswer(POISON, performance.now(), 200)
  await settle()
  t.deepEqual(hosts.holding(POISON), [])
  t.deepEqual(hosts.store.keys('cyclamenthread/held-requests/'), [])
})

// Guards against a sound request that a restarted host holds back, because its completion crossed the write that it is held back.
test('a call that completes while it is being stored as held back leaves nothing in the store', async (t) => {
  const hosts = new Hosts(t)
  hosts.store.faults.jitterMs = 30
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  hosts.task('h5').recordAnswer(POISON, performance.now(), 200)
  await settle()
  await new Promise((resolve) => setTimeout(resolve, 300))
  t.deepEqual(hosts.store.keys('cyclamenthread/held-requests/'), [])
})

// Guards against a sound request that hosts hold back after a restart, because a trial was taken while it completed elsewhere.
test('a call that completes while a trial is being taken leaves nothing in the store', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  await awaitTrial(t, hosts.task('h4'))
  hosts.store.faults.jitterMs = 30
  const trial = hosts.task('h4').takeTrial(POISON)
  hosts.task('h5').recordAnswer(POISON, performance.now(), 200)
  await trial
  await new Promise((resolve) => setTimeout(resolve, 500))
  t.deepEqual(hosts.store.keys('cyclamenthread/held-requests/'), [])
})

// Guards against a request that crashes endpoints and is freed because its entry in the store is missing (BUDGET).
test('a missing entry in the store frees no call', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  await awaitTrial(t, hosts.task('h4'))
  const held = new HeldRequestStore(hosts.store)
  for (const key of hosts.store.keys('cyclamenthread/held-requests/')) await held.remove(key.slice(key.lastIndexOf('/') + 1))
  t.is(await hosts.task('h4').takeTrial(POISON), undefined)
  t.not(await hosts.task('h5').takeTrial(POISON), undefined)
  t.deepEqual(hosts.holding(POISON), HOST_IDS)
})

test('a trial in which nothing ran, or whose endpoint still runs, is given back', async (t) => {
  const hosts = new Hosts(t)
  await crashAt(hosts, ['h1', 'h2', 'h3'])
  const task = hosts.task('h4')
  for (const mayHaveRun of [false, true]) {
    await awaitTrial(t, task)
    t.is(await task.takeTrial(POISON), undefined)
    if (mayHaveRun) {
      hosts.running.add('i-9')
      task.recordLoss(POISON, endpointEntry('i-9'), performance.now())
    }
    task.endTrial(POISON, mayHaveRun)
  }
  await awaitTrial(t, task)
  t.is(await task.takeTrial(POISON), undefined)
})
