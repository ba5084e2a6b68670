import { EnginePrefixCache } from './engine-prefix-cache-standin.js'
import { answerText, CHARACTERS_PER_TOKEN, sleep, TOKENS_PER_EVENT, writeEvent } from './engine-stream-standin.js'
import { sendJson, HttpStandin } from './http-standin.js'
import type { EngineFaults, EngineSettings } from './engine-settings-standin.js'
import type { EngineCompletion, EngineStream } from './engine-stream-standin.js'
import type { StandinRequest } from './http-standin.js'

/** Blocks of the prefix cache when the settings don't say. */
const DEFAULT_CACHE_BLOCKS = 4_096

/** A load report as it was taken. */
interface LoadSnapshot {
  readonly running: number
  readonly waiting: number
  readonly version: number
  readonly takenAt: number
}

/**
 * Stand-in for a model engine: batches continuously up to its slots, admits
 * requests as they arrive, caches prompt prefixes, streams tokens that name the
 * weight version, and takes orders with fencing numbers.
 */
export class EngineStandin {
  readonly faults: EngineFaults = { poison: '', omitsVersion: false, ignoresWeightOrders: false, slowdown: 1 }
  /** Headers of every request, for tests that look for what must not be there. */
  readonly receivedHeaders: Array<StandinRequest['headers']> = []
  readonly counts = { started: 0, finished: 0, cancelled: 0, tokens: 0, prefilledTokens: 0, swaps: 0, orders: 0 }
  /** Fencing numbers of the orders that were carried out, in the order of their arrival. */
  readonly acceptedFences: number[] = []
  readonly #settings: EngineSettings
  readonly #http = new HttpStandin(async (request) => await this.#handleRequest(request))
  readonly #waiting: Array<() => void> = []
  readonly #streams = new Map<string, EngineStream>()
  readonly #cache: EnginePrefixCache
  #running = 0
  #version = 1
  #highestFence = 0
  #isCrashed = false
  #pendingSwap = Promise.resolve()
  #batchHalt: Promise<void> | undefined
  #loadSnapshot: LoadSnapshot = { running: 0, waiting: 0, version: 1, takenAt: -Infinity }

  constructor (settings: EngineSettings) {
    this.#settings = settings
    this.#cache = new EnginePrefixCache(settings.cacheBlocks ?? DEFAULT_CACHE_BLOCKS)
  }

  get url (): string {
    return this.#http.url
  }

  get running (): number {
    return this.#running
  }

  /** Requests that wait for a place in the batch. */
  get waiting (): number {
    return this.#waiting.length
  }

  get version (): number {
    return this.#version
  }

  /** Whether a change of weights halts the batch now. */
  get isHalted (): boolean {
    return this.#batchHalt !== undefined
  }

  /** Whether the engine has crashed and not been restarted. */
  get isCrashed (): boolean {
    return this.#isCrashed
  }

  async listen (port = 0): Promise<string> {
    return await this.#http.listen(port)
  }

  async close (): Promise<void> {
    await this.#http.close()
  }

  /** Changes the weights, as an order would. */
  setWeightVersion (version: number): void {
    this.#version = version
    this.#cache.clear()
    this.counts.swaps += 1
  }

  /** Dies at once: every stream breaks off. */
  async crash (): Promise<void> {
    this.#isCrashed = true
    await this.#http.close()
  }

  /** Comes back on the same port with the weights it started with and an empty cache. */
  async restart (version = 1): Promise<void> {
    const port = Number(new URL(this.url).port)
    this.#isCrashed = false
    this.#version = version
    this.#highestFence = 0
    this.#cache.clear()
    await this.#http.listen(port)
  }

  async #handleRequest (request: StandinRequest): Promise<void> {
    this.receivedHeaders.push(request.headers)
    if (this.#isCrashed) {
      request.response.destroy()
      return
    }
    const { pathname } = request.url
    if (pathname === '/v1/completions') await this.#handleCompletion(request)
    else if (pathname === '/load') this.#reportLoad(request)
    else if (pathname === '/cache-events') this.#reportCacheEvents(request)
    else if (pathname === '/kv/export') this.#exportKv(request)
    else if (pathname === '/orders') this.#handleOrder(request)
    else sendJson(request.response, 404, {})
  }

  #reportLoad (request: StandinRequest): void {
    const now = performance.now()
    if (now - this.#loadSnapshot.takenAt >= (this.#settings.loadReportIntervalMs ?? 0)) {
      this.#loadSnapshot = { running: this.#running, waiting: this.#waiting.length, version: this.#version, takenAt: now }
    }
    const { takenAt, ...load } = this.#loadSnapshot
    sendJson(request.response, 200, { ...load, ageMs: now - takenAt })
  }

  /** Events come late, and some never. */
  #reportCacheEvents (request: StandinRequest): void {
    const after = Number(request.url.searchParams.get('after') ?? 0)
    const random = this.#settings.random ?? Math.random
    const events = this.#cache.eventsBetween(after, performance.now() - (this.#settings.cacheEventDelayMs ?? 0))
    sendJson(request.response, 200, { events: events.filter(() => random() >= (this.#settings.cacheEventLossRatio ?? 0)) })
  }

  /** Gives out what a running request has computed, so that another engine can go on with it. */
  #exportKv (request: StandinRequest): void {
    const { request_id: id } = JSON.parse(request.body.toString('utf8')) as { request_id: string }
    const stream = this.#streams.get(id)
    if (stream === undefined) sendJson(request.response, 404, { error: 'no such request' })
    else sendJson(request.response, 200, { text: answerText(stream.body.prompt, 0, stream.generatedTokens), tokens: stream.generatedTokens, kv: `${this.url}/${id}/${stream.generatedTokens}` })
  }

  #handleOrder (request: StandinRequest): void {
    const order = JSON.parse(request.body.toString('utf8')) as { version: number, fence: number, pool?: string }
    this.counts.orders += 1
    if (this.#settings.checksFencing && order.fence < this.#highestFence) {
      sendJson(request.response, 409, { error: 'old fencing number', fence: this.#highestFence })
      return
    }
    this.#highestFence = Math.max(this.#highestFence, order.fence)
    this.acceptedFences.push(order.fence)
    if (!this.faults.ignoresWeightOrders) this.#startSwap(order.version, order.pool ?? '')
    sendJson(request.response, 200, { version: this.#version })
  }

  /** Without a weight store and time for it, the weights are changed before the answer. */
  #startSwap (version: number, pool: string): void {
    const { weightStoreUrl, swapMs = 0 } = this.#settings
    if (weightStoreUrl === undefined && swapMs === 0) {
      this.setWeightVersion(version)
      return
    }
    this.#pendingSwap = this.#pendingSwap.then(async () => await this.#runSwap(version, pool))
  }

  async #runSwap (version: number, pool: string): Promise<void> {
    if (version === this.#version) return
    const { weightStoreUrl, swapMs = 0 } = this.#settings
    if (weightStoreUrl !== undefined) {
      const fetched = await fetch(`${weightStoreUrl}/weights/${pool}/${version}`).then((response) => response.ok, () => false)
      if (!fetched || this.#isCrashed) return
    }
    this.#batchHalt = sleep(swapMs)
    await this.#batchHalt
    this.#batchHalt = undefined
    if (!this.#isCrashed) this.setWeightVersion(version)
  }

  async #handleCompletion (request: StandinRequest): Promise<void> {
    const body = JSON.parse(request.body.toString('utf8')) as EngineCompletion
    if (this.faults.poison !== '' && body.prompt.includes(this.faults.poison)) {
      await this.crash()
      return
    }
    await this.#acquireSlot()
    this.counts.started += 1
    const stream: EngineStream = { body, response: request.response, generatedTokens: body.resume?.tokens ?? 0 }
    this.#streams.set(body.request_id, stream)
    try {
      await this.#streamTokens(stream)
    } finally {
      this.#streams.delete(body.request_id)
      this.#running -= 1
      this.#waiting.shift()?.()
    }
  }

  /** Waits for a place in the batch; requests are admitted as they arrive. */
  async #acquireSlot (): Promise<void> {
    if (this.#running >= this.#settings.slots) await new Promise<void>((resolve) => this.#waiting.push(resolve))
    this.#running += 1
  }

  async #streamTokens (stream: EngineStream): Promise<void> {
    const { body, response } = stream
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    let due = performance.now() + this.#countPrefillTokens(body) * this.#settings.prefillMs
    const total = Math.min(body.max_tokens, this.#settings.answerTokens?.(body.prompt) ?? body.max_tokens)
    while (stream.generatedTokens < total) {
      const tokens = Math.min(TOKENS_PER_EVENT, total - stream.generatedTokens)
      const haltedAt = performance.now()
      await this.#batchHalt
      if (this.#batchHalt !== undefined || performance.now() > haltedAt + 1) due = Math.max(due, performance.now())
      // Counted from when the tokens were due, so that a late timer does not slow the engine down.
      due += tokens * this.#settings.tokenMs * this.faults.slowdown
      await sleep(due - performance.now())
      if (response.destroyed) {
        this.counts.cancelled += 1
        return
      }
      this.#writeTokens(stream, tokens)
    }
    const finishReason = total < body.max_tokens ? 'stop' : 'length'
    this.#writeChunk(response, {
      id: body.request_id,
      choices: [{ text: '', finish_reason: finishReason }],
      usage: { prompt_tokens: Math.ceil(body.prompt.length / CHARACTERS_PER_TOKEN), completion_tokens: total }
    })
    response.end('data: [DONE]\n\n')
    this.counts.finished += 1
  }

  #writeTokens (stream: EngineStream, tokens: number): void {
    const { body, response } = stream
    this.#writeChunk(response, { id: body.request_id, choices: [{ text: answerText(body.prompt, stream.generatedTokens, tokens), finish_reason: null }], tokens })
    stream.generatedTokens += tokens
    this.counts.tokens += tokens
  }

  /** Tokens that have to be computed before the first new one: none of what came with its KV cache. */
  #countPrefillTokens (body: EngineCompletion): number {
    const { prompt, resume } = body
    const cached = this.#cache.admitPrompt(prompt, performance.now())
    const tokens = resume?.kv !== undefined ? 0 : Math.ceil((prompt.length - cached) / CHARACTERS_PER_TOKEN) + (resume?.tokens ?? 0)
    this.counts.prefilledTokens += tokens
    return tokens
  }

  #writeChunk (response: StandinRequest['response'], chunk: object): void {
    writeEvent(response, this.faults.omitsVersion ? chunk : { ...chunk, weight_version: this.#version })
  }
}
