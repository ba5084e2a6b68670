import { invariant } from '@cyclamenthread/state'
import type { ServiceSchema } from 'moleculer'
import type { MessageMeta } from './message-bus.js'

/** The part of a broker's interface that the message bus uses. */
export interface ActionCaller {
  call<Answer, Params> (action: string, params: Params, options: { readonly meta: MessageMeta }): Promise<Answer>
}

/** An action declared by a task. */
type Action = (context: { readonly params: unknown, readonly meta: MessageMeta }) => Promise<unknown>

/**
 * A minimal broker that calls the actions of the tasks of one process. It accepts
 * the same service schemas as moleculer's broker, for hosts on which that broker's
 * start-up time and memory are too expensive.
 *
 * @example
 * const broker = new LocalBroker()
 * broker.createService(members.service(() => 0))
 */
export class LocalBroker implements ActionCaller {
  readonly #actions = new Map<string, Action>()

  /** Registers the actions of one service. */
  createService (schema: ServiceSchema): void {
    for (const [name, action] of Object.entries(schema.actions ?? {})) {
      this.#actions.set(`${String(schema.name)}.${name}`, action as unknown as Action)
    }
  }

  /** Calls the action with the given full name, such as `member.probe`. */
  async call<Answer, Params> (name: string, params: Params, options: { readonly meta: MessageMeta }): Promise<Answer> {
    const action = this.#actions.get(name)
    invariant(action !== undefined, `no task handles action ${name}`)
    return await action({ params, meta: options.meta }) as Answer
  }
}
