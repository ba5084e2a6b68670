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

/** Requests per second that the endpoint accepts. */
const LIMIT = 10

type Handler = (context: { readonly params: unknown, readonly meta: { readonly from: string } }) => Promise<unknown>

/** Hosts that exchange messages in memory; a lost host doesn't answer. */
class Hosts {
  readonly lost = new Set<string>()
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
      const members = { workers: () => HOSTS, members: () => [], isSuspected: () => false, reportSilence: () => {}, onChange: () => {} }
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

  async #deliver (from: string, to: string, message: PeerMessage): Promise<unknown> {
    await new Promise((resolve) => setImmediate(resolve))
    if (this.lost.has(to)) return undefined
    this.sent.push({ to, message })
    const handler = this.task(to).service().actions?.[message.kind.replace('sends.', '')] as Handler | undefined
    return await handler?.({ params: message, meta: { from } })
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
