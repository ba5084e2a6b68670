/**
 * The process's own monotonic clock, in milliseconds. Deadlines are points on
 * it, so a step of the wall clock moves none of them.
 */
export function monotonicNow (): number {
  return performance.now()
}

/**
 * Milliseconds left until a deadline, never below zero. This is what travels on
 * a hop, since the clocks of two hosts differ.
 *
 * @param deadline monotonic milliseconds
 * @example
 * timeLeft(monotonicNow() + 50) // about 50
 */
export function timeLeft (deadline: number): number {
  return Math.max(0, deadline - monotonicNow())
}

/**
 * Turns time left, as received on a hop, into a deadline of this process.
 *
 * @param leftMs milliseconds the sender had left
 * @example
 * deadlineAfter(500) // monotonicNow() + 500
 */
export function deadlineAfter (leftMs: number): number {
  return monotonicNow() + leftMs
}

/**
 * A signal that aborts at a deadline, or when `parent` does.
 *
 * @param deadline monotonic milliseconds
 * @example
 * fetch(url, { signal: deadlineSignal(deadline) })
 */
export function deadlineSignal (deadline: number, parent?: AbortSignal): AbortSignal {
  const own = AbortSignal.timeout(Math.ceil(timeLeft(deadline)))
  return parent === undefined ? own : AbortSignal.any([own, parent])
}
