import test from 'ava'
import { accountKeepers, SendPermission, SendPermitTask, SILENT_LOG } from '@cyclamenthread/coordination'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { EndpointTable, failure, SendUrgency, success } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { PeerFailure } from '@cyclamenthread/transport'
import type { SendPermit, SendPermitContext } from '@cyclamenthread/coordination'
import type { EndpointRecord, Host } from '@cyclamenthread/state'
import type { PeerMessage } from '@cyclamenthread/protocol'

const HOST_IDS = ['h1', 'h2', 'h3', 'h4', 'h5']
const HOSTS = HOST_IDS.map((id) => ({ id }) as Host)

/** Time for which a lost host is waited for, in milliseconds. */
const LOST_ANSWER_MS = 250

/** Requests per second that the endpoint accepts. */
const LIMIT = 10

type Handler = (context: { readonly params: unknown, readonly meta: { readonly from: string } }) => Promise<unknown>

/** Hosts that exchange messages in memory; a lost host doesn't answer. */
class Hosts {
  readonly lost = new Set<string>()
  /** Hosts that all others suspect to be silent. */
  readonly suspected = new Set<string>()
  /** Removes what hosts of the build before cold endpoints don't read. */
  readonly old = new Set<string>()
  /** Messages that were sent, with their receivers. */
  readonly sent: Array<{ readonly to: string, readonly message: PeerMessage }> = []
  readonly #tasks = new Map<string, SendPermitTask>()
  readonly #records = new Map<string, EndpointRecord>()

  constructor () {
    for (const id of HOST_IDS) {
      const deliver = async (host: Host, message: PeerMessage): Promise<unknown> => await this.#deliver(id, host.id, message)
      const bus = {
        post: async (host: Host, message: PeerMessage) => {
          await deliver(host, message)
        },
        send: async (host: Host, message: PeerMessage) => {
          const answer = await deliver(host, message)
          return answer === undefined ? failure(PeerFailure.NoReply) : success(answer)
        }
      } as unknown as SendPermitContext['bus']
      const members = { workers: () => HOSTS, members: () => [], isSuspected: (host: string) => this.suspected.has(host), onChange: () => {} }
      this.#tasks.set(id, new SendPermitTask({ self: { id }, members, bus, log: SILENT_LOG }))
    }
  }

  task (id: string): SendPermitTask {
    const task = this.#tasks.get(id)
    if (task === undefined) throw new Error(`${id} isn't running`)
    return task
  }

  /** The endpoint as a host knows it after an answer that named a limit. */
  recordOf (id: string, requestsPerSecond: number): EndpointRecord {
    const table = new EndpointTable()
    table.update([endpointEntry('e1')])
    const record = this.#records.get(id) ?? table.find('e1')
    if (record === undefined) throw new Error('the table has no endpoint')
    this.#records.set(id, record)
    record.requestLimit.apply({ requestsPerSecond, sentAt: performance.now() - 1, receivedAt: performance.now() })
    return record
  }

  /** The endpoint as a host knows it that is cold for a time. */
  coldRecord (id: string, requestsPerSecond: number, leftMs: number): EndpointRecord {
    const table = new EndpointTable()
    table.setColdBounds(new Map([['models', { durationMs: leftMs, requestsPerSecond }]]))
    table.update([endpointEntry('e1', { cold: { asOf: 0, until: performance.now() + leftMs } })])
    const record = this.#records.get(id) ?? table.find('e1')
    if (record === undefined) throw new Error('the table has no endpoint')
    this.#records.set(id, record)
    return record
  }

  async #deliver (from: string, to: string, message: PeerMessage): Promise<unknown> {
    await new Promise((resolve) => setImmediate(resolve))
    if (this.lost.has(to)) {
      await pause(LOST_ANSWER_MS)
      return undefined
    }
    this.sent.push({ to, message })
    const handler = this.task(to).service().actions?.[message.kind.replace('sends.', '')] as Handler | undefined
    return await handler?.({ params: this.old.has(to) ? Object.fromEntries(Object.entries(message).filter(([name]) => name !== 'cold')) : message, meta: { from } })
  }
}

/** Takes a permit, and waits for the keeper if it is asked. */
async function take (task: SendPermitTask, record: EndpointRecord, urgency = SendUrgency.Caller): Promise<SendPermit> {
  const permit = task.take(record, urgency, 60_000)
  if (permit.kind !== SendPermission.Asking) return permit
  await permit.answered
  return task.take(record, urgency, 60_000)
}

const pause = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

// Guards against a limit that each host counts for itself (LIMIT).
test('of the requests of all hosts, only as many are permitted as the limit allows', async (t) => {
  const hosts = new Hosts()
  let granted = 0
  const startedAt = performance.now()
  while (performance.now() < startedAt + 1_000) {
    for (const id of HOST_IDS) {
      if ((await take(hosts.task(id), hosts.recordOf(id, LIMIT))).kind === SendPermission.Granted) granted += 1
    }
    await pause(10)
  }
  const allowed = LIMIT * (performance.now() - startedAt) / 1_000
  t.true(granted > 0 && granted <= allowed + 2, `${granted} granted, ${allowed} allowed`)
})

// Guards against an endpoint that stays idle because the host that counts for it doesn't answer.
test('while the first keeper does not answer, another one grants a part', async (t) => {
  const hosts = new Hosts()
  const [keeper] = accountKeepers('e1', HOSTS)
  hosts.lost.add(keeper?.id ?? '')
  const asking = HOST_IDS.find((id) => id !== keeper?.id) ?? ''
  await take(hosts.task(asking), hosts.recordOf(asking, 40))
  await pause(260)
  t.is((await take(hosts.task(asking), hosts.recordOf(asking, 40))).kind, SendPermission.Granted)
})

// Guards against every host finding out by itself, again every two seconds, that a keeper is silent.
test('a keeper that is suspected is passed over at once', async (t) => {
  const hosts = new Hosts()
  const [keeper, standIn] = accountKeepers('e1', HOSTS)
  hosts.lost.add(keeper?.id ?? '')
  hosts.suspected.add(keeper?.id ?? '')
  const asking = HOST_IDS.find((id) => id !== keeper?.id) ?? ''
  const permit = hosts.task(asking).take(hosts.recordOf(asking, 40), SendUrgency.Caller, 60_000)
  const askedAt = performance.now()
  if (permit.kind === SendPermission.Asking) await permit.answered
  t.true(performance.now() - askedAt < LOST_ANSWER_MS)
  t.deepEqual(hosts.sent.map(({ to }) => to), [standIn?.id])
})

// Guards against hosts that keep to a limit long after the endpoint's need has ended, as each waits for its own next answer.
test('once one host has heard that there is no limit any more, the others learn it when they ask', async (t) => {
  const hosts = new Hosts()
  const record = hosts.recordOf('h1', 0.2)
  t.is((await take(hosts.task('h1'), record)).kind, SendPermission.Denied)
  await pause(5)
  hosts.task('h2').reportLifted(record.entry, performance.now())
  await pause(20)
  t.is((await take(hosts.task('h1'), record, SendUrgency.Caller)).kind, SendPermission.Denied)
  await pause(1_000)
  t.is((await take(hosts.task('h1'), record)).kind, SendPermission.Unlimited)
})

test('a request that is more urgent than the one that was denied is asked for at once', async (t) => {
  const hosts = new Hosts()
  const record = hosts.recordOf('h1', 0.2)
  t.is((await take(hosts.task('h1'), record, SendUrgency.Sample)).kind, SendPermission.Denied)
  t.is((await take(hosts.task('h1'), record, SendUrgency.Sample)).kind, SendPermission.Denied)
  t.is(hosts.sent.length, 1)
  await take(hosts.task('h1'), record, SendUrgency.Caller)
  t.is(hosts.sent.length, 2)
})

test('an order that is sent without a permit counts at the first keeper', async (t) => {
  const hosts = new Hosts()
  hosts.task('h1').charge(hosts.recordOf('h1', 1))
  await pause(5)
  t.deepEqual(hosts.sent.map(({ to, message }) => [to, message.kind]), [[accountKeepers('e1', HOSTS)[0]?.id, PeerMessageKind.ChargeSends]])
})

// Guards against a cold endpoint that gets the load of a warm one because its answers name no limit.
test('the limit of a cold endpoint is not lifted by an answer that names none, and ends with the cold time', async (t) => {
  const hosts = new Hosts()
  const record = hosts.coldRecord('h1', 0.5, 900)
  t.is((await take(hosts.task('h1'), record)).kind, SendPermission.Denied)
  await pause(5)
  record.requestLimit.apply({ requestsPerSecond: undefined, sentAt: performance.now(), receivedAt: performance.now() })
  hosts.task('h2').reportLifted(record.entry, performance.now())
  await pause(20)
  t.is((await take(hosts.task('h1'), record)).kind, SendPermission.Denied)
  await pause(900)
  t.is((await take(hosts.task('h1'), record)).kind, SendPermission.Unlimited)
})

// Guards against the larger of two limits that takes the place of the smaller one at the keeper.
test('at the keeper, the limit of a cold endpoint holds beside a larger one that the endpoint names to another host', async (t) => {
  const hosts = new Hosts()
  const startedAt = performance.now()
  let granted = 0
  while (performance.now() < startedAt + 1_000) {
    if ((await take(hosts.task('h1'), hosts.coldRecord('h1', 5, 60_000))).kind === SendPermission.Granted) granted += 1
    if ((await take(hosts.task('h2'), hosts.recordOf('h2', 100))).kind === SendPermission.Granted) granted += 1
    await pause(10)
  }
  t.true(granted <= 5 + 2, `${granted} granted`)
})

// Guards against a rolling upgrade in which keepers of the build before lift the limit of a cold endpoint, or grant without one.
test('a keeper of the build before cold endpoints grants no more than the limit that is asked for', async (t) => {
  const hosts = new Hosts()
  for (const id of HOST_IDS) hosts.old.add(id)
  const record = hosts.coldRecord('h1', 10, 60_000)
  let granted = 0
  const startedAt = performance.now()
  while (performance.now() < startedAt + 1_000) {
    if ((await take(hosts.task('h1'), record)).kind === SendPermission.Granted) granted += 1
    hosts.task('h2').reportLifted(record.entry, performance.now() - 1)
    await pause(20)
  }
  t.true(granted > 0 && granted <= 10 * (performance.now() - startedAt) / 1_000 + 2, `${granted} granted`)
})
