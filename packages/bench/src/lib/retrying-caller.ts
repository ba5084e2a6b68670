import { Caller } from './caller.js'
import type { AddressCache } from './address-cache.js'
import type { CallerResponse, DeliveredSample, SampleRequest } from './caller.js'

/** Delay before a request is sent again, in milliseconds. */
const RETRY_DELAY_MS = 100

/** Outcome of a booking as far as its caller can tell. */
export enum BookingOutcome {
  Booked = 'booked',
  /** The call may have run: a connection broke or a response left it open, and no later attempt settled it. */
  Unknown = 'unknown',
  /** Every response said that the call did not run. */
  NotRun = 'not-run'
}

/** Outcome of a booking after all attempts. */
export interface BookingReport {
  readonly end: BookingOutcome
  /** Number assigned by the endpoint, if it was booked. */
  readonly number: number | undefined
  /** Attempts whose connection broke. */
  readonly broken: number
}

/** Caller that retries each request on the next host of the address list. */
export class RetryingCaller {
  readonly #addresses: AddressCache
  readonly #token: string

  constructor (addresses: AddressCache, token: string) {
    this.#addresses = addresses
    this.#token = token
  }

  /** Repeats a booking under one idempotency key until it is confirmed or the attempts are used up. */
  async book (details: unknown, idempotencyKey: string, maxAttempts: number): Promise<BookingReport> {
    let mayHaveRun = false
    let broken = 0
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const answer = await this.#sendToNextHost(async (caller) => await caller.book(details, idempotencyKey))
      if (answer?.status === 201) {
        const { booking } = JSON.parse(answer.body) as { booking: number }
        return { end: BookingOutcome.Booked, number: booking, broken }
      }
      if (answer === undefined) broken += 1
      if (answer === undefined || parseRan(answer) !== 'no') mayHaveRun = true
      await waitBeforeRetry()
    }
    return { end: mayHaveRun ? BookingOutcome.Unknown : BookingOutcome.NotRun, number: undefined, broken }
  }

  /** Opens a batch, or resumes it; returns false if no host accepted it within the attempts. */
  async openBatch (id: string, model: string, samples: readonly SampleRequest[], maxAttempts: number): Promise<boolean> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const answer = await this.#sendToNextHost(async (caller) => await caller.openBatch(id, model, samples))
      if (answer?.status === 200 || answer?.status === 201) return true
      await waitBeforeRetry()
    }
    return false
  }

  /** Reads a batch page by page until all samples have arrived or the attempts are used up. */
  async readBatch (id: string, total: number, maxAttempts: number): Promise<DeliveredSample[]> {
    const samples: DeliveredSample[] = []
    for (let attempt = 0; attempt < maxAttempts && samples.length < total; attempt++) {
      const cursor = samples.at(-1)?.cursor ?? 0
      const answer = await this.#sendToNextHost(async (caller) => await caller.send('GET', `/v1/batches/${id}/samples?after=${cursor}`))
      if (answer?.status === 200) samples.push(...answer.body.split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as DeliveredSample))
      else await waitBeforeRetry()
    }
    return samples
  }

  /** Sends a request to the next host; returns undefined if the connection broke. */
  async #sendToNextHost (send: (caller: Caller) => Promise<CallerResponse>): Promise<CallerResponse | undefined> {
    try {
      return await send(new Caller(await this.#addresses.nextUrl(), this.#token))
    } catch {
      return undefined
    }
  }
}

function parseRan (answer: CallerResponse): string {
  try {
    return (JSON.parse(answer.body) as { ran?: string }).ran ?? 'maybe'
  } catch {
    return 'maybe'
  }
}

async function waitBeforeRetry (): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS))
}
