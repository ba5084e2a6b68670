import { sendJson, HttpStandin } from './http-standin.js'
import type { StandinRequest } from './http-standin.js'

/** A booking that the service has made. */
export interface Booking {
  readonly number: number
  readonly body: string
  readonly idempotencyKey: string
}

/** Faults that a test can switch on. */
export interface BookingFaults {
  /** Makes the booking, but closes the connection without a response. */
  dropResponses: boolean
  /** Delay before each response, in milliseconds. */
  delayMs: number
}

/** Test double of a plain service with a non-idempotent `POST`: every call makes a booking. */
export class BookingStandin {
  readonly faults: BookingFaults = { dropResponses: false, delayMs: 0 }
  readonly bookings: Booking[] = []
  /** Headers of every request, so that tests can check that secrets are not forwarded. */
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
