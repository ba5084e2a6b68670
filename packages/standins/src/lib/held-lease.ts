import { deadlineAfter } from '@cyclamenthread/transport'
import type { LeaderLease } from '@cyclamenthread/protocol'

/**
 * Creates a lease that is held for a time, whatever happens; for tests of single clients and duties.
 *
 * @param leftMs time that is left of the lease, in milliseconds
 * @example
 * await duty.runOnce(() => createHeldLease(7, 1_000))
 */
export function createHeldLease (fence: number, leftMs: number): LeaderLease {
  return { holder: 'a', fence, deadline: deadlineAfter(leftMs), signal: new AbortController().signal, course: { leftMs: undefined, endLeftMs: undefined, givenUp: false }, begin: () => true, end: () => {} }
}
