import { keepersOf, StreamOrigins } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host, StreamOrigin } from '@cyclamenthread/state'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Timeout for asking another host what began a stream, in milliseconds: many round trips between regions. */
const FIND_TIMEOUT_MS = 400

/** Number of other hosts that are told what began a stream: one of them may be lost together with the host that serves it. */
const COPIES_AT_OTHER_HOSTS = 2

/** Dependencies of a {@link StreamOriginTask}. */
export interface StreamOriginContext {
  readonly self: Host
  readonly members: Pick<MemberView, 'workers'>
  readonly bus: Pick<MessageBus, 'post' | 'send'>
}

/**
 * Remembers which service and software version began each stream, so that a caller
 * whose connection broke can take it up at any host. The host that serves a stream
 * and the stream's keepers hold the record in memory.
 *
 * Invariant: an origin that no host recorded is unknown, however few software
 * versions are in service.
 */
export class StreamOriginTask {
  readonly #context: StreamOriginContext
  readonly #origins = new StreamOrigins()

  constructor (context: StreamOriginContext) {
    this.#context = context
  }

  /** Returns the broker service that serves the other hosts. */
  service (): ServiceSchema {
    return taskService('streams', {
      [PeerMessageKind.RecordStreamOrigin]: async ({ attemptId, origin }) => {
        this.#origins.record(attemptId, origin, monotonicNow())
        return { accepted: true }
      },
      [PeerMessageKind.FindStreamOrigin]: async ({ attemptId }) => {
        const origin = this.#origins.find(attemptId, monotonicNow())
        return origin === undefined ? {} : { origin }
      }
    })
  }

  /** Records what began a stream, here and at its keepers; must precede the first byte of the answer. */
  record (attemptId: string, origin: StreamOrigin): void {
    this.#origins.record(attemptId, origin, monotonicNow())
    for (const keeper of this.#otherKeepers(attemptId).slice(0, COPIES_AT_OTHER_HOSTS)) void this.#context.bus.post(keeper, { kind: PeerMessageKind.RecordStreamOrigin, attemptId, origin })
  }

  /** Looks up what began a stream, here and at its keepers; undefined if none of them knows. */
  async find (attemptId: string): Promise<StreamOrigin | undefined> {
    const known = this.#origins.find(attemptId, monotonicNow())
    if (known !== undefined || attemptId === '') return known
    const deadline = deadlineAfter(FIND_TIMEOUT_MS)
    const asked = this.#otherKeepers(attemptId).map(async (keeper) => await this.#ask(keeper, attemptId, deadline))
    const origin = await firstDefined(asked)
    if (origin !== undefined) this.#origins.record(attemptId, origin, monotonicNow())
    return origin
  }

  async #ask (keeper: Host, attemptId: string, deadline: number): Promise<StreamOrigin | undefined> {
    const answer = await this.#context.bus.send(keeper, { kind: PeerMessageKind.FindStreamOrigin, attemptId }, { deadline })
    return answer.ok ? answer.value.origin : undefined
  }

  #otherKeepers (attemptId: string): Host[] {
    const others = this.#context.members.workers().filter(({ id }) => id !== this.#context.self.id)
    const byId = new Map(others.map((host) => [host.id, host]))
    return keepersOf(attemptId, [this.#context.self.id, ...byId.keys()]).flatMap((id) => byId.get(id) ?? [])
  }
}

/** Resolves to the first defined value, or to undefined once all promises have resolved. */
async function firstDefined<Value> (promises: ReadonlyArray<Promise<Value | undefined>>): Promise<Value | undefined> {
  return await new Promise((resolve) => {
    for (const promise of promises) {
      void promise.then((value) => {
        if (value !== undefined) resolve(value)
      })
    }
    void Promise.all(promises).then(() => resolve(undefined))
  })
}
