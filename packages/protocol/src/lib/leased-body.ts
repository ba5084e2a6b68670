import { Readable } from 'node:stream'
import { monotonicNow } from '@cyclamenthread/transport'

/** A request body that may only be sent while a lease is valid. */
export interface LeasedBody {
  /** Whether the first byte was handed to the socket. */
  readonly started: boolean
  stream (): Readable
}

/** Thrown when a lease ended before the first byte of the body was written. */
export class LeaseEndedError extends Error {
  override readonly name = 'LeaseEndedError'
}

/**
 * Creates a body that checks the lease in the event loop turn in which the
 * client writes the request: the client writes the request head together with
 * the first chunk of a streamed body. A process that was paused while it
 * connected therefore sends nothing after the lease has expired.
 *
 * @param text the body
 * @param deadline monotonic time at which the lease expires, in milliseconds
 * @param begin returns whether the lease is held; called when the first byte is about to be written
 * @example
 * const body = createLeasedBody(JSON.stringify(order), lease.deadline, () => lease.begin())
 */
export function createLeasedBody (text: string, deadline: number, begin: () => boolean = () => true): LeasedBody {
  let started = false
  return {
    get started () {
      return started
    },
    stream () {
      return new Readable({
        read () {
          if (monotonicNow() >= deadline || !begin()) {
            this.destroy(new LeaseEndedError('the lease ended before the request was written'))
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
