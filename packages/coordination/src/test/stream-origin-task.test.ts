import test from 'ava'
import { StreamOriginTask } from '@cyclamenthread/coordination'
import { failure, success } from '@cyclamenthread/state'
import { PeerFailure } from '@cyclamenthread/transport'
import type { StreamOriginContext } from '@cyclamenthread/coordination'
import type { Host } from '@cyclamenthread/state'

const ORIGIN = { service: 'tutor', softwareVersion: 's1' }
const HOST_IDS = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6']

type Handler = (context: { readonly params: unknown, readonly meta: unknown }) => Promise<unknown>

/** Hosts that exchange messages in memory; a killed host forgets everything and doesn't answer. */
class Hosts {
  readonly #tasks = new Map<string, StreamOriginTask>()
  /** Hosts that the others know. */
  members = [...HOST_IDS]

  constructor () {
    for (const id of HOST_IDS) this.start(id)
  }

  start (id: string): void {
    const bus = {
      post: async (host: Host, message: { readonly kind: string }) => {
        await this.#deliver(host.id, message)
      },
      send: async (host: Host, message: { readonly kind: string }) => {
        const answer = await this.#deliver(host.id, message)
        return answer === undefined ? failure(PeerFailure.NoReply) : success(answer)
      }
    } as unknown as StreamOriginContext['bus']
    this.#tasks.set(id, new StreamOriginTask({ self: { id } as Host, members: { workers: () => this.members.map((one) => ({ id: one }) as Host) }, bus }))
  }

  kill (id: string): void {
    this.#tasks.delete(id)
  }

  task (id: string): StreamOriginTask {
    const task = this.#tasks.get(id)
    if (task === undefined) throw new Error(`${id} isn't running`)
    return task
  }

  async #deliver (id: string, message: { readonly kind: string }): Promise<unknown> {
    await new Promise((resolve) => setImmediate(resolve))
    const handler = this.#tasks.get(id)?.service().actions?.[message.kind.replace('streams.', '')] as Handler | undefined
    return await handler?.({ params: message, meta: undefined })
  }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await new Promise((resolve) => setImmediate(resolve))
}

// Guards against losing, with the host that served them, what began the streams that its callers take up elsewhere.
test('after the host that served a stream was killed, every other host knows what began it', async (t) => {
  const hosts = new Hosts()
  for (let index = 0; index < 50; index++) hosts.task('h1').record(`a${index}`, ORIGIN)
  await settle()
  hosts.kill('h1')
  for (const members of [HOST_IDS, HOST_IDS.slice(1)]) {
    hosts.members = members
    for (const id of HOST_IDS.slice(1)) {
      for (let index = 0; index < 50; index++) t.deepEqual(await hosts.task(id).find(`a${index}`), ORIGIN)
    }
  }
})

// Guards against answering from another software version after every host lost its memory.
test('after all hosts were killed and came back, what began a stream is unknown, and stays so', async (t) => {
  const hosts = new Hosts()
  hosts.task('h1').record('a1', ORIGIN)
  await settle()
  for (const id of HOST_IDS) hosts.kill(id)
  for (const id of HOST_IDS) hosts.start(id)
  hosts.task('h2').record('a2', { service: 'tutor', softwareVersion: 's2' })
  await settle()
  for (const id of HOST_IDS) t.is(await hosts.task(id).find('a1'), undefined)
})

test('when a keeper and the host that served a stream are killed, the other keeper is asked', async (t) => {
  const hosts = new Hosts()
  const known: boolean[] = []
  for (let index = 0; index < 40; index++) hosts.task('h1').record(`a${index}`, ORIGIN)
  await settle()
  for (const id of ['h1', 'h2']) hosts.kill(id)
  for (let index = 0; index < 40; index++) known.push(await hosts.task('h3').find(`a${index}`) !== undefined)
  t.is(known.filter((value) => !value).length, 0)
})
