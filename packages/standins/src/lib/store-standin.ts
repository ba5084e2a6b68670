import { sendJson, HttpStandin } from './http-standin.js'
import type { StandinRequest } from './http-standin.js'

/** Largest value the object service holds, in bytes. */
const MAX_VALUE_BYTES = 1024 * 1024

/** Longest a watch waits, in milliseconds. */
const MAX_WATCH_MS = 60_000

/** Changes kept for watches. */
const MAX_HISTORY = 100_000

/** Faults the store can be told to have. */
export interface StoreFaults {
  /** Refuses every call. */
  down: boolean
  /** Delay before each answer, in milliseconds. */
  delayMs: number
  /** Share of writes whose answer is lost after the effect. */
  lostAnswers: number
}

interface StoredObject {
  readonly version: number
  readonly value: unknown
}

interface StoredChange {
  readonly sequence: number
  readonly key: string
  readonly value: unknown
  readonly removed: boolean
}

/** A watch that waits for a change under its prefix. */
interface PendingWatch {
  readonly prefix: string
  readonly wake: () => void
}

/** Calls the store has counted; a waiting watch is one. */
export interface StoreCounts {
  reads: number
  writes: number
  watches: number
  lists: number
}

/**
 * Stand-in for the platform's versioned object service: conditional updates,
 * watches, a bound on values, and faults on demand.
 */
export class StoreStandin {
  readonly faults: StoreFaults = { down: false, delayMs: 0, lostAnswers: 0 }
  readonly counts: StoreCounts = { reads: 0, writes: 0, watches: 0, lists: 0 }
  readonly #http = new HttpStandin(async (request) => await this.#handleRequest(request))
  readonly #objects = new Map<string, StoredObject>()
  readonly #pendingWatches = new Set<PendingWatch>()
  readonly #random: () => number
  #changes: StoredChange[] = []
  #sequence = 0

  /** @param random source of the faults' dice, from 0 up to 1 */
  constructor (random: () => number = Math.random) {
    this.#random = random
  }

  get url (): string {
    return this.#http.url
  }

  async listen (port = 0): Promise<string> {
    return await this.#http.listen(port)
  }

  async close (): Promise<void> {
    for (const waiter of this.#pendingWatches) waiter.wake()
    await this.#http.close()
  }

  /** The value of an object, as a test sees it. */
  peek (key: string): unknown {
    return this.#objects.get(key)?.value
  }

  /** Keys that start with a prefix. */
  keys (prefix: string): string[] {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix)).sort()
  }

  async #handleRequest (request: StandinRequest): Promise<void> {
    if (this.faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs))
    if (this.faults.down) {
      sendJson(request.response, 503, { error: 'the store is down' })
      return
    }
    const { pathname } = request.url
    if (pathname === '/objects') this.#listObjects(request)
    else if (pathname === '/watch') await this.#handleWatch(request)
    else if (pathname.startsWith('/objects/')) this.#handleObject(request, decodeURIComponent(pathname.slice('/objects/'.length)))
    else sendJson(request.response, 404, {})
  }

  #handleObject (request: StandinRequest, key: string): void {
    if (request.method === 'GET') this.#readObject(request, key)
    else this.#writeObject(request, key)
  }

  #readObject (request: StandinRequest, key: string): void {
    this.counts.reads += 1
    const held = this.#objects.get(key)
    if (held === undefined) sendJson(request.response, 404, { error: 'no such object' })
    else sendJson(request.response, 200, held.value, { etag: String(held.version) })
  }

  #writeObject (request: StandinRequest, key: string): void {
    this.counts.writes += 1
    if (request.body.length > MAX_VALUE_BYTES) {
      sendJson(request.response, 413, { error: 'the value is too large' })
      return
    }
    if (!this.#isPreconditionMet(request, key)) {
      sendJson(request.response, 412, { error: 'the condition does not hold' })
      return
    }
    const removed = request.method === 'DELETE'
    this.#sequence += 1
    const value: unknown = removed ? undefined : JSON.parse(request.body.toString('utf8'))
    if (removed) this.#objects.delete(key)
    else this.#objects.set(key, { version: this.#sequence, value })
    this.#changes.push({ sequence: this.#sequence, key, value, removed })
    if (this.#changes.length > 2 * MAX_HISTORY) this.#changes = this.#changes.slice(-MAX_HISTORY)
    for (const waiter of [...this.#pendingWatches]) {
      if (key.startsWith(waiter.prefix)) waiter.wake()
    }
    if (this.#random() < this.faults.lostAnswers) request.response.destroy()
    else sendJson(request.response, 200, {}, { etag: String(this.#sequence) })
  }

  #isPreconditionMet (request: StandinRequest, key: string): boolean {
    const held = this.#objects.get(key)
    if (request.headers['if-none-match'] === '*') return held === undefined
    return held !== undefined && request.headers['if-match'] === String(held.version)
  }

  #listObjects (request: StandinRequest): void {
    this.counts.lists += 1
    const prefix = request.url.searchParams.get('prefix') ?? ''
    const objects = this.keys(prefix).map((key) => ({ key, version: String(this.#objects.get(key)?.version), value: this.peek(key) }))
    sendJson(request.response, 200, { objects })
  }

  async #handleWatch (request: StandinRequest): Promise<void> {
    this.counts.watches += 1
    const prefix = request.url.searchParams.get('prefix') ?? ''
    const given = request.url.searchParams.get('after') ?? ''
    const after = given === '' ? this.#sequence : Number(given)
    const until = Date.now() + Math.min(Number(request.url.searchParams.get('waitMs') ?? 0), MAX_WATCH_MS)
    const changes = given === '' ? [] : await this.#awaitChanges(request, prefix, after, until)
    sendJson(request.response, 200, {
      changes: changes.map((change) => ({ key: change.key, version: String(change.sequence), ...(change.removed ? {} : { value: change.value }) })),
      next: String(changes.at(-1)?.sequence ?? after)
    })
  }

  /** Changes after a point, once there are any, or none when the time is up. */
  async #awaitChanges (request: StandinRequest, prefix: string, after: number, until: number): Promise<StoredChange[]> {
    for (;;) {
      const changes = this.#changesAfter(prefix, after)
      if (changes.length > 0 || Date.now() >= until || this.faults.down || request.response.destroyed) return changes
      await this.#awaitNextChange(prefix, until - Date.now())
    }
  }

  #changesAfter (prefix: string, after: number): StoredChange[] {
    return this.#changes.filter((change) => change.sequence > after && change.key.startsWith(prefix))
  }

  async #awaitNextChange (prefix: string, waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const waiter: PendingWatch = {
        prefix,
        wake: () => {
          clearTimeout(timer)
          this.#pendingWatches.delete(waiter)
          resolve()
        }
      }
      const timer = setTimeout(waiter.wake, waitMs)
      this.#pendingWatches.add(waiter)
    })
  }
}
