import { request } from 'undici'
import * as z from 'zod'
import { createConnector, PoolAgent, withDeadline } from '@cyclamenthread/transport'
import { rejectInvalidStatuses } from './response-status.js'

/** Timeout for connecting to the store, in milliseconds; each call has a shorter deadline of its own. */
const CONNECT_TIMEOUT_MS = 10_000

const releaseListSchema = z.object({
  releases: z.array(z.object({ pool: z.string(), version: z.int().nonnegative() }))
})

/** A weight version that a trainer released to a pool. */
export type WeightRelease = z.infer<typeof releaseListSchema>['releases'][number]

/**
 * Reads from the weight store which versions were released. The weights
 * themselves are fetched by the endpoints.
 *
 * @example
 * const releases = await weightStore.releases(deadline)
 */
export class WeightStoreClient {
  readonly #baseUrl: string
  readonly #agent = new PoolAgent({ connections: 1, pipelining: 1, connect: createConnector(CONNECT_TIMEOUT_MS) })
  readonly #client = this.#agent.compose(rejectInvalidStatuses)

  constructor (baseUrl: string) {
    this.#baseUrl = baseUrl.replace(/\/$/, '')
  }

  /**
   * Reads the newest version of each pool; undefined if the store doesn't respond.
   *
   * @param deadline monotonic milliseconds
   */
  async readReleases (deadline: number): Promise<readonly WeightRelease[] | undefined> {
    try {
      return await withDeadline(deadline, async (signal) => {
        const response = await request(`${this.#baseUrl}/releases`, { dispatcher: this.#client, signal })
        return releaseListSchema.safeParse(await response.body.json()).data?.releases
      })
    } catch {
      return undefined
    }
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}
