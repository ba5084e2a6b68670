import { randomUUID } from 'node:crypto'
import { request } from 'undici'

/** A sample as the NDJSON stream delivers it. */
export interface DeliveredSample {
  readonly cursor: number
  readonly id: string
  readonly group: string
  readonly text: string
  readonly weight_versions: ReadonlyArray<{ readonly version: number, readonly tokens: number }>
  readonly failed?: string
}

/** An answer as a caller sees it. */
export interface CallerResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
}

/** One sample of a batch as a trainer orders it. */
export interface SampleRequest {
  readonly id: string
  readonly group: string
  readonly prompt: string
  readonly max_tokens: number
  readonly expected_tokens?: number
}

/** A caller with a key that talks to one host. */
export class Caller {
  readonly #url: string
  readonly #token: string

  constructor (url: string, token: string) {
    this.#url = url
    this.#token = token
  }

  /** Sends any request. */
  async send (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<CallerResponse> {
    const response = await request(this.#url + path, {
      method,
      headers: { authorization: `Bearer ${this.#token}`, 'content-type': 'application/json', ...headers },
      body: body === undefined ? null : JSON.stringify(body)
    })
    return { status: response.statusCode, headers: response.headers, body: await response.body.text() }
  }

  /** Books something that may not be booked twice. */
  async book (booking: unknown, idempotencyKey: string = randomUUID()): Promise<CallerResponse> {
    return await this.send('POST', '/v1/services/pitches/book', booking, { 'idempotency-key': idempotencyKey })
  }

  /** Opens a batch. */
  async openBatch (id: string, model: string, samples: readonly SampleRequest[]): Promise<CallerResponse> {
    return await this.send('POST', '/v1/batches', { id, model, samples })
  }

  /** Reads a batch by cursor until it has all samples, acknowledging as it goes. */
  async readBatch (id: string, total: number, onSample?: (sample: DeliveredSample) => void): Promise<DeliveredSample[]> {
    const samples: DeliveredSample[] = []
    while (samples.length < total) {
      const cursor = samples.at(-1)?.cursor ?? 0
      const answer = await this.send('GET', `/v1/batches/${id}/samples?after=${cursor}`)
      if (answer.status !== 200) throw new Error(`reading the batch: ${answer.status} ${answer.body}`)
      const page = answer.body.split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as DeliveredSample)
      samples.push(...page)
      if (onSample !== undefined) page.forEach(onSample)
    }
    await this.send('POST', `/v1/batches/${id}/acks`, { cursor: samples.at(-1)?.cursor ?? 0 })
    return samples
  }
}

/**
 * A step of samples in groups that share a prompt.
 *
 * @example
 * stepOf(64, 8, 32)
 */
export function createStepSamples (count: number, groupSize: number, maxTokens: number): SampleRequest[] {
  return Array.from({ length: count }, (_, index) => {
    const group = Math.floor(index / groupSize)
    return { id: `s${index}`, group: `g${group}`, prompt: `critique the composition of drawing ${group}`, max_tokens: maxTokens }
  })
}
