import { Readable } from 'node:stream'
import { monotonicNow } from '@cyclamenthread/transport'

/** A body was asked for after its deadline; nothing of the request was sent. */
export class DeadlinePassed extends Error {
  override readonly name = 'DeadlinePassed'
}

/**
 * A request body that checks its deadline in the very turn in which it is
 * written to the socket. The client writes the head of a request together with
 * the first part of its body, so after the deadline no byte leaves, also when
 * the process was paused between asking for the request and its connection:
 * an abort signal alone fires only after the input that has arrived meanwhile
 * was worked off.
 *
 * @param text the body
 * @param deadline monotonic deadline in milliseconds
 * @throws {DeadlinePassed} into the client, which fails the request
 * @example
 * await request(url, { method: 'POST', body: heldBody('{}', leadership.deadline) })
 */
export function heldBody (text: string, deadline: number): Readable {
  return Readable.from(heldParts(text, deadline), { objectMode: false })
}

function * heldParts (text: string, deadline: number): Generator<Buffer> {
  if (monotonicNow() >= deadline) throw new DeadlinePassed('the lease ran out before the order was sent')
  yield Buffer.from(text)
}
