/** Least time that a move has to save beyond its cost, in milliseconds: estimates err by about this much. */
const MIN_GAIN_MS = 100

/** The same for work that isn't expected to decide when its step ends: only a lasting slowdown is worth a move. */
const MIN_SPARE_GAIN_MS = 400

/** What a move of running work would change. */
export interface MoveEstimate {
  /** Expected time until the work has ended where it is, in milliseconds. */
  readonly stayMs: number
  /** The same at the other endpoint once it runs there, in milliseconds. */
  readonly elsewhereMs: number
  /** Time until it runs there: the way, and what has to be read or made again, in milliseconds. */
  readonly costMs: number
  /** Whether the end of its step depends on the work. */
  readonly isDeciding: boolean
}

/**
 * Whether moving running work is worth while: it ends sooner by more than the move costs. Answers
 * the load of a pace that changes within 600 ms and is known late, under which work that
 * follows each change would spend its time on moves.
 *
 * @example
 * isMoveWorthwhile({ stayMs: 2_600, elsewhereMs: 2_200, costMs: 90, isDeciding: true }) // true
 */
export function isMoveWorthwhile ({ stayMs, elsewhereMs, costMs, isDeciding }: MoveEstimate): boolean {
  const gainMs = stayMs - elsewhereMs - costMs
  return gainMs > Math.max(isDeciding ? MIN_GAIN_MS : MIN_SPARE_GAIN_MS, costMs)
}
