import { randomUUID } from 'node:crypto'
import { request } from 'undici'

/** One line of the NDJSON stream of samples. */
export interface DeliveredSample {
  readonly cursor: number
  readonly id: string
  readonly group: string
  readonly text: string
  readonly weight_versions: ReadonlyArray<{ readonly version: number, readonly tokens: number }>
  readonly failed?: string
}

/** HTTP response with its whole body. */
export interface CallerResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
}

/** One sample that a trainer requests as part of a batch. */
export interface SampleRequest {
  readonly id: string
  readonly group: string
  readonly prompt: string
  readonly max_tokens: number
  readonly expected_tokens?: number
}

/** Client of one host that sends every request with the same API key. */
export class Caller {
  readonly #url: string
  readonly #token: string

  constructor (url: string, token: string) {
    this.#url = url
    this.#token = token
  }

  /** Sends a request and reads the whole response. */
  async send (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<CallerResponse> {
    const response = await request(this.#url + path, {
      method,
      headers: { authorization: `Bearer ${this.#token}`, 'content-type': 'application/json', ...headers },
      body: body === undefined ? null : JSON.stringify(body)
    })
    return { status: response.statusCode, headers: response.headers, body: await response.body.text() }
  }

  /** Sends a booking, which is not idempotent and so carries an idempotency key. */
  async book (booking: unknown, idempotencyKey: string = randomUUID()): Promise<CallerResponse> {
    return await this.send('POST', '/v1/services/pitches/book', booking, { 'idempotency-key': idempotencyKey })
  }

  /** Opens a batch of samples. */
  async openBatch (id: string, model: string, samples: readonly SampleRequest[]): Promise<CallerResponse> {
    return await this.send('POST', '/v1/batches', { id, model, samples })
  }

  /** Reads a batch page by page until all samples have arrived, then acknowledges the last cursor. */
  async readBatch (id: string, total: number, onSample?: (sample: DeliveredSample) => void): Promise<DeliveredSample[]> {
    const samples: DeliveredSample[] = []
    while (samples.length < total) {
      const cursor = samples.at(-1)?.cursor ?? 0
      const answer = await this.send('GET', `/v1/batches/${id}/samples?after=${cursor}`)
      if (answer.status !== 200) throw new Error(`reading the batch failed: ${answer.status} ${answer.body}`)
      const page = answer.body.split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as DeliveredSample)
      samples.push(...page)
      if (onSample !== undefined) page.forEach(onSample)
    }
    await this.send('POST', `/v1/batches/${id}/acks`, { cursor: samples.at(-1)?.cursor ?? 0 })
    return samples
  }
}

/**
 * Creates the sample requests of one training step; the samples of a group share a prompt.
 *
 * @example
 * createStepSamples(64, 8, 32)
 */
export function createStepSamples (count: number, groupSize: number, maxTokens: number): SampleRequest[] {
  return Array.from({ length: count }, (_, index) => {
    const group = Math.floor(index / groupSize)
    return { id: `s${index}`, group: `g${group}`, prompt: `critique the composition of drawing ${group}`, max_tokens: maxTokens }
  })
}
