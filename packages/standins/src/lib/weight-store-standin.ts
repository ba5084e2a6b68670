import { sendJson, HttpStandin } from './http-standin.js'
import { sleep } from './engine-stream-standin.js'
import type { StandinRequest } from './http-standin.js'

/** Stand-in for the rate-limited weight store: whole sets of weights leave it one after another. */
export class WeightStoreStandin {
  readonly faults = { down: false }
  readonly counts = { fetches: 0, releases: 0 }
  readonly #fetchesPerSecond: number
  readonly #http = new HttpStandin(async (request) => await this.#handleRequest(request))
  readonly #released = new Map<string, number>()
  #nextFetchAt = 0

  /** @param fetchesPerSecond sets of weights that leave the store in a second, over all endpoints */
  constructor (fetchesPerSecond: number) {
    this.#fetchesPerSecond = fetchesPerSecond
  }

  get url (): string {
    return this.#http.url
  }

  /** Releases a version to a pool, as its trainer does. */
  release (pool: string, version: number): void {
    this.#released.set(pool, version)
  }

  async listen (): Promise<string> {
    return await this.#http.listen()
  }

  async close (): Promise<void> {
    await this.#http.close()
  }

  async #handleRequest (request: StandinRequest): Promise<void> {
    const { pathname } = request.url
    if (this.faults.down) sendJson(request.response, 503, {})
    else if (pathname === '/releases') this.#listReleases(request)
    else if (pathname.startsWith('/weights/')) await this.#serveWeights(request)
    else sendJson(request.response, 404, {})
  }

  #listReleases (request: StandinRequest): void {
    this.counts.releases += 1
    sendJson(request.response, 200, { releases: [...this.#released].map(([pool, version]) => ({ pool, version })) })
  }

  async #serveWeights (request: StandinRequest): Promise<void> {
    this.counts.fetches += 1
    const now = performance.now()
    this.#nextFetchAt = Math.max(now, this.#nextFetchAt) + 1_000 / this.#fetchesPerSecond
    await sleep(this.#nextFetchAt - now)
    sendJson(request.response, 200, {})
  }
}
