import { Readable } from 'node:stream'
import { monotonicNow } from '@cyclamenthread/transport'

/** The body of an order that may only leave while a lease lasts. */
export interface LeasedBody {
  /** Whether the first byte was handed to the socket. */
  readonly started: boolean
  stream (): Readable
}

/** The lease behind an order ended before its first byte was written. */
export class LeaseEndedError extends Error {
  override readonly name = 'LeaseEndedError'
}

/**
 * Makes a body that looks at the clock in the turn in which the client writes
 * the request: it writes the head with the first piece of a streamed body. A
 * process that was paused while it connected therefore sends nothing afterwards.
 *
 * @param text the body
 * @param deadline monotonic milliseconds at which the lease ends
 * @example
 * const body = leasedBody(JSON.stringify(order), leadership.deadline)
 */
export function createLeasedBody (text: string, deadline: number): LeasedBody {
  let started = false
  return {
    get started () {
      return started
    },
    stream () {
      return new Readable({
        read () {
          if (monotonicNow() >= deadline) {
            this.destroy(new LeaseEndedError('the lease ended before the order was written'))
            return
          }
          started = true
          this.push(text)
          this.push(null)
        }
      })
    }
  }
}
