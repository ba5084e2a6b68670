/**
 * Current time of the process's monotonic clock, in milliseconds. Deadlines use
 * this clock, so that wall clock adjustments don't affect them.
 */
export function monotonicNow (): number {
  return performance.now()
}

/**
 * Milliseconds left until a deadline, never negative. Messages carry this value
 * rather than the deadline, because the clocks of two hosts differ.
 *
 * @param deadline monotonic milliseconds
 * @example
 * timeLeft(monotonicNow() + 50) // about 50
 */
export function timeLeft (deadline: number): number {
  return Math.max(0, deadline - monotonicNow())
}

/**
 * Converts remaining time, as received from another process, to a deadline on
 * this process's clock.
 *
 * @param leftMs remaining time of the sender, in milliseconds
 * @example
 * deadlineAfter(500) // monotonicNow() + 500
 */
export function deadlineAfter (leftMs: number): number {
  return monotonicNow() + leftMs
}

/** Abort reason of work that exceeded its deadline. */
export class DeadlineError extends Error {
  override readonly name = 'DeadlineError'
}

/** Maximum delay of a timer, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** An abort signal with a deadline, active until it is closed. */
export interface DeadlineScope {
  readonly signal: AbortSignal
  /** Clears the timer and the listener on the parent signal. */
  close (): void
}

/**
 * Creates a signal that aborts at a deadline, or when `parent` aborts.
 * `AbortSignal.timeout` would keep its timer, and create its error, even if the
 * work finished long before.
 *
 * @param deadline monotonic milliseconds
 * @example
 * const scope = openDeadlineScope(deadline)
 * try { await work(scope.signal) } finally { scope.close() }
 */
export function openDeadlineScope (deadline: number, parent?: AbortSignal): DeadlineScope {
  const controller = new AbortController()
  const timer = setTimeout(() => controller.abort(new DeadlineError('deadline exceeded')), Math.min(timeLeft(deadline), MAX_TIMER_MS))
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
 * Runs a function with an abort signal that fires at a deadline.
 *
 * @param deadline monotonic milliseconds
 * @throws whatever `work` throws; {@link DeadlineError} if it rethrows the reason of the signal
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
