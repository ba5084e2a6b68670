import { Client } from 'undici'
import { ConnectionRecord } from './connection-record.js'
import { PoolAgent } from './pool-agent.js'
import type { Dispatcher, Pool, buildConnector } from 'undici'
import type { ExchangeOptions } from './exchange-hooks.js'

/** Maximum number of requests on one connection, since their ids are kept as long as it is open. */
const MAX_REQUESTS_PER_CONNECTION = 256

/** Options of an agent that records what its connections carry. */
export interface RecordingAgentOptions extends Omit<Pool.Options, 'connect' | 'factory' | 'pipelining'> {
  readonly connect: buildConnector.connector
  /** Number of requests on a connection at a time; 0: a connection carries a single request. */
  readonly pipelining: 0 | 1
  /** Sends the requests whose id has been on the connection that they would get; absent if connections carry a single request. */
  readonly repeats?: Dispatcher
}

/**
 * Opens one connection at a time and records what it carries.
 *
 * Its pool gives it a request only while it has none, so the connection that is checked
 * when a request is assigned is the one that the request is written to, or is closed by
 * then, and a new one has carried nothing.
 */
class RecordingClient extends Client {
  readonly #record: ConnectionRecord
  readonly #repeats: Dispatcher | undefined

  constructor (origin: URL, { repeats, ...options }: RecordingAgentOptions, record = new ConnectionRecord()) {
    super(origin, { ...options, connect: record.observe(options.connect), maxRequestsPerClient: MAX_REQUESTS_PER_CONNECTION })
    this.#record = record
    this.#repeats = repeats
  }

  override dispatch (options: ExchangeOptions, handler: Dispatcher.DispatchHandler): boolean {
    const { opaque: hooks } = options
    if (this.#repeats !== undefined && hooks?.requestId !== undefined && this.#record.hasCarried(hooks.requestId)) {
      this.#repeats.dispatch(options, handler)
      // This client can still take a request.
      return true
    }
    if (hooks !== undefined && hooks !== null) hooks.connectionRecord = this.#record
    return super.dispatch(options, handler)
  }
}

/**
 * Creates an agent that tells the hooks of each request which connection carries it. With
 * `repeats`, an id goes out at most once on each connection, whoever sends it: a far end may
 * send an answer once more where the next one is due, and only the id tells that copy from the
 * answer that is due. Ids are those of requests with {@link runExchangeHooks}.
 *
 * @example
 * const connect = resettingConnect(400)
 * const repeats = createRecordingAgent({ connect, pipelining: 0 })
 * const client = createRecordingAgent({ connect, pipelining: 1, repeats }).compose(runExchangeHooks)
 */
export function createRecordingAgent ({ repeats, ...options }: RecordingAgentOptions): PoolAgent {
  return new PoolAgent({
    ...options,
    // The pool copies its options as data, so that the dispatcher can't be one of them.
    factory: (origin: URL, poolOptions: object) => new RecordingClient(origin, { ...poolOptions as RecordingAgentOptions, ...(repeats === undefined ? {} : { repeats }) })
  })
}
