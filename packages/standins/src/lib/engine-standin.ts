import { createHash } from 'node:crypto'
import { answerJson, HttpStandin } from './http-standin.js'
import type { StandinRequest } from './http-standin.js'

/** How an engine stand-in behaves. */
export interface EngineSettings {
  readonly slots: number
  /** Time one token takes, in milliseconds. */
  readonly tokenMs: number
  /** Time the prompt takes per token that is not cached, in milliseconds. */
  readonly prefillMs: number
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean
}

/** Faults an engine can be told to have. */
export interface EngineFaults {
  /** Prompts containing this text crash the engine; empty for none. */
  poison: string
  /** Leaves the weight version out of the stream. */
  hidesVersion: boolean
  /** Ignores orders to change weights but answers them. */
  failsSwaps: boolean
}

interface CompletionBody {
  readonly prompt: string
  readonly max_tokens: number
  readonly request_id: string
}

/** Characters a stand-in counts as one token. */
const CHARACTERS_PER_TOKEN = 4

/** Tokens that are put into one event of the stream. */
const TOKENS_PER_EVENT = 8

/**
 * Stand-in for a model engine: batches continuously up to its slots, streams
 * tokens that name the weight version, takes orders with fencing numbers.
 */
export class EngineStandin {
  readonly faults: EngineFaults = { poison: '', hidesVersion: false, failsSwaps: false }
  /** Headers of every request, for tests that look for what must not be there. */
  readonly seenHeaders: Array<StandinRequest['headers']> = []
  readonly counts = { started: 0, finished: 0, cancelled: 0 }
  readonly #settings: EngineSettings
  readonly #http = new HttpStandin(async (request) => await this.#answer(request))
  readonly #waiting: Array<() => void> = []
  #running = 0
  #version = 1
  #fence = 0
  #crashed = false

  constructor (settings: EngineSettings) {
    this.#settings = settings
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

  /** Whether the engine has crashed and not been restarted. */
  get crashed (): boolean {
    return this.#crashed
  }

  async listen (port = 0): Promise<string> {
    return await this.#http.listen(port)
  }

  async close (): Promise<void> {
    await this.#http.close()
  }

  /** Changes the weights, as an order would. */
  load (version: number): void {
    this.#version = version
  }

  async #answer (request: StandinRequest): Promise<void> {
    this.seenHeaders.push(request.headers)
    if (this.#crashed) {
      request.response.destroy()
      return
    }
    const { pathname } = request.url
    if (pathname === '/v1/completions') await this.#complete(request)
    else if (pathname === '/load') answerJson(request.response, 200, { running: this.#running, waiting: this.#waiting.length, version: this.#version })
    else if (pathname === '/orders') this.#order(request)
    else answerJson(request.response, 404, {})
  }

  #order (request: StandinRequest): void {
    const order = JSON.parse(request.body.toString('utf8')) as { version: number, fence: number }
    if (this.#settings.checksFencing && order.fence < this.#fence) {
      answerJson(request.response, 409, { error: 'old fencing number', fence: this.#fence })
      return
    }
    this.#fence = Math.max(this.#fence, order.fence)
    if (!this.faults.failsSwaps) this.load(order.version)
    answerJson(request.response, 200, { version: this.#version })
  }

  async #complete (request: StandinRequest): Promise<void> {
    const body = JSON.parse(request.body.toString('utf8')) as CompletionBody
    if (this.faults.poison !== '' && body.prompt.includes(this.faults.poison)) {
      await this.#crash()
      return
    }
    await this.#enter()
    this.counts.started += 1
    try {
      await this.#stream(request, body)
    } finally {
      this.#running -= 1
      this.#waiting.shift()?.()
    }
  }

  /** Waits for a place in the batch; requests are admitted as they arrive. */
  async #enter (): Promise<void> {
    if (this.#running >= this.#settings.slots) await new Promise<void>((resolve) => this.#waiting.push(resolve))
    this.#running += 1
  }

  async #stream (request: StandinRequest, body: CompletionBody): Promise<void> {
    const { response } = request
    const promptTokens = Math.ceil(body.prompt.length / CHARACTERS_PER_TOKEN)
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    await pause(promptTokens * this.#settings.prefillMs)
    for (let done = 0; done < body.max_tokens; done += TOKENS_PER_EVENT) {
      const tokens = Math.min(TOKENS_PER_EVENT, body.max_tokens - done)
      await pause(tokens * this.#settings.tokenMs)
      if (response.destroyed) {
        this.counts.cancelled += 1
        return
      }
      this.#write(request, { id: body.request_id, choices: [{ text: answerText(body.prompt, done, tokens), finish_reason: null }], tokens })
    }
    this.#write(request, { id: body.request_id, choices: [{ text: '', finish_reason: 'stop' }], usage: { prompt_tokens: promptTokens, completion_tokens: body.max_tokens } })
    response.end('data: [DONE]\n\n')
    this.counts.finished += 1
  }

  #write (request: StandinRequest, chunk: object): void {
    const named = this.faults.hidesVersion ? chunk : { ...chunk, weight_version: this.#version }
    request.response.write(`data: ${JSON.stringify(named)}\n\n`)
  }

  async #crash (): Promise<void> {
    this.#crashed = true
    await this.#http.close()
  }
}

/** A text that depends on the prompt only, so that a test can tell whose answer it is. */
export function answerText (prompt: string, from: number, tokens: number): string {
  const word = createHash('sha256').update(prompt).digest('hex').slice(0, 3)
  return Array.from({ length: tokens }, (_, index) => `${word}${(from + index) % 10}`).join('')
}

async function pause (milliseconds: number): Promise<void> {
  if (milliseconds > 0) await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
