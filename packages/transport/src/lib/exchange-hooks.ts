import type { Dispatcher } from 'undici'
import type { ConnectionRecord, ConnectionUse } from './connection-record.js'

/** The headers of an answer, by lower-case name. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>

/**
 * Hooks of one request and its answer; no two requests share them. An error that a hook
 * throws ends the request; thrown by `onAnswer`, it closes the connection as well.
 */
export interface ExchangeHooks {
  /** Id of the request, which an agent of `createRecordingAgent` sends once on each connection; absent if it has none. */
  readonly requestId?: string
  /** What the connection that the request is going to be written to has carried. Set by the client that gets the request, if it keeps such a record. */
  connectionRecord?: ConnectionRecord
  /**
   * Called in the event loop turn in which the request is written, before its first byte.
   *
   * @param use the connection that carries the request; undefined if its client doesn't record connections
   */
  readonly onWrite?: (use: ConnectionUse | undefined) => void
  /**
   * Called with the head of each answer, before any of it is passed on. Only then can
   * the connection still be closed: an answer without a body completes in the same turn.
   */
  readonly onAnswer?: (statusCode: number, headers: AnswerHeaders) => void
}

/** Options of a request through a client with {@link runExchangeHooks}. */
export interface ExchangeOptions extends Dispatcher.DispatchOptions {
  /** The request's hooks, if it has any. */
  readonly opaque?: ExchangeHooks | null
}

/**
 * Interceptor of a client that calls the hooks that a request carries in `opaque`.
 * A request may wait long for a connection, so whether and when it is sent is only
 * known when it is written.
 *
 * @example
 * const client = new PoolAgent({ connect: createConnector(400) }).compose(runExchangeHooks)
 * await request(url, { dispatcher: client, opaque: { onWrite: () => { sentAt = performance.now() } } })
 */
export function runExchangeHooks (dispatch: Dispatcher['dispatch']): Dispatcher['dispatch'] {
  return (options: ExchangeOptions, handler) => {
    const { opaque: hooks } = options
    if (hooks === undefined || hooks === null) return dispatch(options, handler)
    return dispatch(options, {
      onRequestStart: (controller, context) => {
        handler.onRequestStart?.(controller, context)
        // The handler ends a request here that was aborted while it waited for a connection.
        if (controller.aborted) return
        hooks.onWrite?.(hooks.connectionRecord?.nextUse)
        // Not before: a hook that throws keeps the request from being written.
        hooks.connectionRecord?.add(hooks.requestId)
      },
      onRequestUpgrade: (...given) => handler.onRequestUpgrade?.(...given),
      onResponseStart: (controller, statusCode, headers, statusMessage) => {
        hooks.onAnswer?.(statusCode, headers)
        handler.onResponseStart?.(controller, statusCode, headers, statusMessage)
      },
      onResponseData: (...given) => handler.onResponseData?.(...given),
      onResponseEnd: (...given) => handler.onResponseEnd?.(...given),
      onResponseError: (...given) => handler.onResponseError?.(...given)
    })
  }
}
