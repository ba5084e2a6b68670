import type { Context, ServiceSchema } from 'moleculer'
import type { PeerResponse, PeerMessage, PeerMessageKind } from '@cyclamenthread/protocol'
import type { MessageMeta } from './message-bus.js'

/** Answers one kind of message. */
export type MessageHandler<Kind extends PeerMessageKind> =
  (message: Extract<PeerMessage, { kind: Kind }>, meta: MessageMeta) => Promise<PeerResponse<Kind>>

/** Handlers of the messages a task answers. */
export type MessageHandlers = { readonly [Kind in PeerMessageKind]?: MessageHandler<Kind> }

/**
 * Makes a broker service of a task: one action for each message it answers,
 * named as the message kind.
 *
 * @param name first part of the message kinds, as `dispatcher`
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
