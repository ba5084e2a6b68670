/** Delay of a timer of this process beyond which it counts as held up, in milliseconds: several times the usual delay of a busy host. */
const MAX_TIMER_DELAY_MS = 150

/**
 * Whether the silence of another host may be held against it. A process that was
 * held up itself can't tell: the answer may wait in its own queue.
 *
 * @param deadline monotonic milliseconds until which the answer was awaited
 * @param observedAt monotonic milliseconds at which this process noticed that the deadline had passed or the connection had failed
 * @example
 * isSilenceConclusive(1_000, 1_004) // true
 */
export function isSilenceConclusive (deadline: number, observedAt: number): boolean {
  return observedAt - deadline <= MAX_TIMER_DELAY_MS
}
