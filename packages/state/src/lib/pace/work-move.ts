/**
 * Least time that a move has to save beyond its cost, in milliseconds. A span of 600 ms at 2.5 times the usual
 * time never promises that much, and the text that is read again delays what runs at the other endpoint.
 */
const MIN_GAIN_MS = 500

/** What a move of running work would change. */
export interface MoveEstimate {
  /** Expected time until the work has ended where it is, in milliseconds. */
  readonly stayMs: number
  /** The same at the other endpoint once it runs there, in milliseconds. */
  readonly elsewhereMs: number
  /** Time until it runs there: the way, and what has to be read or made again, in milliseconds. */
  readonly costMs: number
}

/**
 * Whether moving running work is worth while: it ends sooner by more than the move costs. Answers
 * the load of a pace that changes within 600 ms and is known late, under which work that
 * follows each change would spend its time on moves.
 *
 * @example
 * isMoveWorthwhile({ stayMs: 2_600, elsewhereMs: 2_200, costMs: 90 }) // false
 */
export function isMoveWorthwhile ({ stayMs, elsewhereMs, costMs }: MoveEstimate): boolean {
  const gainMs = stayMs - elsewhereMs - costMs
  return gainMs > Math.max(MIN_GAIN_MS, costMs)
}
