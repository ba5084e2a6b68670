import type { Context, ServiceSchema } from 'moleculer'
import type { PeerResponse, PeerMessage, PeerMessageKind } from '@cyclamenthread/protocol'
import type { MessageMeta } from './message-bus.js'

/** Handles one kind of message and returns the answer. */
export type MessageHandler<Kind extends PeerMessageKind> =
  (message: Extract<PeerMessage, { kind: Kind }>, meta: MessageMeta) => Promise<PeerResponse<Kind>>

/** Handlers of a task, by message kind. */
export type MessageHandlers = { readonly [Kind in PeerMessageKind]?: MessageHandler<Kind> }

/**
 * Creates the broker service of a task, with one action for each message kind that
 * it handles. The full name of an action is the message kind.
 *
 * @param name first part of the message kinds, such as `dispatcher`
 * @param handlers the handlers by message kind
 * @example
 * broker.createService(taskService('member', { [PeerMessageKind.Probe]: probe }))
 */
export function taskService (name: string, handlers: MessageHandlers): ServiceSchema {
  const actions: NonNullable<ServiceSchema['actions']> = {}
  for (const [kind, handler] of Object.entries(handlers)) {
    const action = kind.slice(name.length + 1)
    const answer = handler as (message: unknown, meta: MessageMeta) => Promise<unknown>
    actions[action] = async (context: Context<unknown, MessageMeta>) => await answer(context.params, context.meta)
  }
  return { name, actions }
}
