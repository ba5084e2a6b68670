import { sendJson, HttpStandin } from './http-standin.js'
import type { StandinRequest } from './http-standin.js'

/** A booking as the stand-in keeps it. */
export interface Booking {
  readonly number: number
  readonly body: string
  readonly idempotencyKey: string
}

/** Faults a booking service can be told to have. */
export interface BookingFaults {
  /** Books, then cuts the connection instead of answering. */
  dropResponses: boolean
  /** Delay before each answer, in milliseconds. */
  delayMs: number
}

/** Stand-in for a plain service whose `POST` may not be repeated: it books each time it is called. */
export class BookingStandin {
  readonly faults: BookingFaults = { dropResponses: false, delayMs: 0 }
  readonly bookings: Booking[] = []
  /** Headers of every request, for tests that look for what must not be there. */
  readonly receivedHeaders: Array<StandinRequest['headers']> = []
  readonly #http = new HttpStandin(async (request) => await this.#handleRequest(request))

  get url (): string {
    return this.#http.url
  }

  async listen (port = 0): Promise<string> {
    return await this.#http.listen(port)
  }

  async close (): Promise<void> {
    await this.#http.close()
  }

  async #handleRequest (request: StandinRequest): Promise<void> {
    this.receivedHeaders.push(request.headers)
    if (request.method === 'GET') {
      sendJson(request.response, 200, { path: request.url.pathname + request.url.search, bookings: this.bookings.length })
      return
    }
    const booking: Booking = {
      number: this.bookings.length + 1,
      body: request.body.toString('utf8'),
      idempotencyKey: String(request.headers['idempotency-key'] ?? '')
    }
    this.bookings.push(booking)
    if (this.faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs))
    if (this.faults.dropResponses) request.response.destroy()
    else sendJson(request.response, 201, { booking: booking.number, path: request.url.pathname }, { 'x-booking': String(booking.number) })
  }
}
