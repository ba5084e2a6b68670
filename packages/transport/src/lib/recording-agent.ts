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
}

/** Opens one connection at a time and records what it carries. */
class RecordingClient extends Client {
  readonly #record: ConnectionRecord

  constructor (origin: URL, options: RecordingAgentOptions, record = new ConnectionRecord()) {
    super(origin, { ...options, connect: record.observe(options.connect), maxRequestsPerClient: MAX_REQUESTS_PER_CONNECTION })
    this.#record = record
  }

  override dispatch (options: ExchangeOptions, handler: Dispatcher.DispatchHandler): boolean {
    options.onAssigned?.(this.#record)
    return super.dispatch(options, handler)
  }
}

/**
 * Creates an agent that tells the hooks of each request which connection carries it and what
 * that connection has carried before.
 *
 * @example
 * const client = createRecordingAgent({ connect: resettingConnect(400), pipelining: 1 }).compose(runExchangeHooks)
 */
export function createRecordingAgent (options: RecordingAgentOptions): PoolAgent {
  const createClient = (origin: URL, clientOptions: object): Dispatcher => new RecordingClient(origin, clientOptions as RecordingAgentOptions)
  return new PoolAgent({ ...options, factory: createClient })
}
