import { invariant } from '@cyclamenthread/state'
import type { ServiceSchema } from 'moleculer'
import type { MessageMeta } from './message-bus.js'

/** What the message bus needs of a broker. */
export interface ActionCaller {
  call<Answer, Params> (action: string, params: Params, options: { readonly meta: MessageMeta }): Promise<Answer>
}

/** An action as a task declares it. */
type Action = (context: { readonly params: unknown, readonly meta: MessageMeta }) => Promise<unknown>

/**
 * Calls the actions of the tasks of one process. Takes the same services as
 * the library's broker, for hosts on which its start and memory weigh.
 *
 * @example
 * const broker = new LocalBroker()
 * broker.createService(members.service(() => 0))
 */
export class LocalBroker implements ActionCaller {
  readonly #actions = new Map<string, Action>()

  /** Adds the actions of one service. */
  createService (schema: ServiceSchema): void {
    for (const [name, action] of Object.entries(schema.actions ?? {})) {
      this.#actions.set(`${String(schema.name)}.${name}`, action as unknown as Action)
    }
  }

  /** Calls an action, named by its service and itself. */
  async call<Answer, Params> (name: string, params: Params, options: { readonly meta: MessageMeta }): Promise<Answer> {
    const action = this.#actions.get(name)
    invariant(action !== undefined, `no task answers ${name}`)
    return await action({ params, meta: options.meta }) as Answer
  }
}
