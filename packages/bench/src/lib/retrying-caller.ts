import { Caller } from './caller.js'
import type { AddressCache } from './address-cache.js'
import type { CallerResponse, DeliveredSample, SampleRequest } from './caller.js'

/** Pause before a request is sent again, in milliseconds. */
const RETRY_DELAY_MS = 100

/** What became of a booking in the eyes of its caller. */
export enum BookingOutcome {
  Booked = 'booked',
  /** Some answer said that the call may have run, and no later one settled it. */
  Unknown = 'unknown',
  /** Every answer said that nothing ran. */
  NotRun = 'not-run'
}

/** A booking as its caller knows it after all its tries. */
export interface BookingReport {
  readonly end: BookingOutcome
  /** Number the endpoint gave, when it was booked. */
  readonly number: number | undefined
  /** Connections that broke, over all tries. */
  readonly broken: number
}

/** A caller that keeps trying, at whichever host the address list names. */
export class RetryingCaller {
  readonly #addresses: AddressCache
  readonly #token: string

  constructor (addresses: AddressCache, token: string) {
    this.#addresses = addresses
    this.#token = token
  }

  /** Books under one idempotency key until it is settled or the tries are used up. */
  async book (booking: unknown, idempotencyKey: string, maxAttempts: number): Promise<BookingReport> {
    let mayHaveRun = false
    let broken = 0
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const answer = await this.#sendToNextHost(async (caller) => await caller.book(booking, idempotencyKey))
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

  /** Opens a batch, or resumes it, until some host takes it. */
  async openBatch (id: string, model: string, samples: readonly SampleRequest[], maxAttempts: number): Promise<boolean> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const answer = await this.#sendToNextHost(async (caller) => await caller.openBatch(id, model, samples))
      if (answer?.status === 200 || answer?.status === 201) return true
      await waitBeforeRetry()
    }
    return false
  }

  /** Reads a batch by cursor until it has all samples or the tries are used up. */
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

  /** One try at the next host; undefined when the connection broke. */
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
