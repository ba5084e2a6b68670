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

/** A deadline passed before the work under it ended. */
export class DeadlineError extends Error {
  override readonly name = 'DeadlineError'
}

/** Longest time a timer can be set for, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** A signal bound to a deadline, until it is closed. */
export interface DeadlineScope {
  readonly signal: AbortSignal
  /** Ends the scope: its timer no longer runs, so that finished work costs nothing later. */
  close (): void
}

/**
 * Opens a signal that aborts at a deadline, or when `parent` does. A plain
 * `AbortSignal.timeout` would keep its timer, and build its error, long after
 * the work is done.
 *
 * @param deadline monotonic milliseconds
 * @example
 * const scope = openDeadline(deadline)
 * try { await work(scope.signal) } finally { scope.close() }
 */
export function openDeadlineScope (deadline: number, parent?: AbortSignal): DeadlineScope {
  const controller = new AbortController()
  const timer = setTimeout(() => controller.abort(new DeadlineError('the deadline passed')), Math.min(timeLeft(deadline), MAX_TIMER_MS))
  const onAbort = (): void => controller.abort(parent?.reason)
  if (parent?.aborted === true) onAbort()
  else parent?.addEventListener('abort', onAbort, { once: true })
  return {
    signal: controller.signal,
    close: () => {
      clearTimeout(timer)
      parent?.removeEventListener('abort', onAbort)
    }
  }
}

/**
 * Runs work under a deadline.
 *
 * @param deadline monotonic milliseconds
 * @throws whatever the work throws; {@link DeadlineError} when it lets the signal's reason through
 * @example
 * await withDeadline(deadline, async (signal) => await request(url, { signal }))
 */
export async function withDeadline<Value> (deadline: number, work: (signal: AbortSignal) => Promise<Value>, parent?: AbortSignal): Promise<Value> {
  const scope = openDeadlineScope(deadline, parent)
  try {
    return await work(scope.signal)
  } finally {
    scope.close()
  }
}
