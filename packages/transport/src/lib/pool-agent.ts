import { Dispatcher, Pool } from 'undici'

/**
 * Sends requests through a pool of connections for each origin, and drops a pool once its
 * last connection has closed and no request needs it.
 *
 * undici's `Agent` can't be used for connections that are kept: it drops a pool also while a
 * request waits for a new connection of it, and takes the later end of that connection for
 * one of the next pool of the origin, which it then drops in turn. From then on each request
 * opens a connection (undici 7.30).
 *
 * @example
 * const agent = new PoolAgent({ connections: 4, pipelining: 1, connect: createConnector(400) })
 */
export class PoolAgent extends Dispatcher {
  readonly #options: Pool.Options
  readonly #pools = new Map<string, Pool>()
  #isDestroyed = false

  /** @param options options of the pool of each origin */
  constructor (options: Pool.Options) {
    super()
    this.#options = options
  }

  /** Number of pools that are open. */
  get openPools (): number {
    return this.#pools.size
  }

  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const origin = String(options.origin)
    const pool = this.#pools.get(origin) ?? this.#openPool(origin)
    return pool.dispatch(options, handler)
  }

  /** Waits for the requests under way and closes all connections. */
  override async close (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(async (pool) => await pool.close()))
  }

  /** Ends all requests and closes all connections; later requests fail. */
  override async destroy (): Promise<void> {
    this.#isDestroyed = true
    await Promise.all([...this.#pools.values()].map(async (pool) => await pool.destroy()))
  }

  #openPool (origin: string): Pool {
    const pool = new Pool(origin, this.#options)
    const dropIfUnused = (): void => {
      if (pool.closed || pool.destroyed) return
      const { connected, size } = pool.stats
      if (connected > 0 || size > 0) return
      this.#pools.delete(origin)
      void pool.close()
    }
    pool.on('disconnect', dropIfUnused)
    pool.on('connectionError', dropIfUnused)
    // A destroyed pool fails its requests.
    if (this.#isDestroyed) void pool.destroy()
    this.#pools.set(origin, pool)
    return pool
  }
}
