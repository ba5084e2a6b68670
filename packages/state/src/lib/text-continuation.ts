/** What happens to an interrupted text. */
export enum ContinuationStep {
  /** It goes on after its last event, at an endpoint of its software version. */
  Continue = 'continue',
  /** It waits for an endpoint of its software version. */
  Wait = 'wait',
  /** It is discarded, and the sample starts from the beginning. */
  StartAnew = 'start-anew'
}

/** What is known about the endpoints that may continue a text. */
export interface ContinuationChance {
  /** Software version that began the text; undefined if it is unknown. */
  readonly softwareVersion: string | undefined
  /** Whether the registry has a ready endpoint of that version. */
  readonly isServed: boolean
  /** Whether one of them can take the sample now. */
  readonly hasRoom: boolean
  /** Monotonic milliseconds from which starting from the beginning costs less than the wait; undefined before the wait. */
  readonly waitDeadline: number | undefined
}

/**
 * Decides what happens to an interrupted text. What two software versions write
 * doesn't fit together, so it goes on only at endpoints of the version that began it.
 *
 * @param now monotonic milliseconds
 * @example
 * decideContinuation({ softwareVersion: 'v1', isServed: true, hasRoom: false, waitDeadline: now + 400 }, now) // ContinuationStep.Wait
 */
export function decideContinuation ({ softwareVersion, isServed, hasRoom, waitDeadline = Infinity }: ContinuationChance, now: number): ContinuationStep {
  if (softwareVersion === undefined) return ContinuationStep.StartAnew
  if (hasRoom) return ContinuationStep.Continue
  return isServed && now < waitDeadline ? ContinuationStep.Wait : ContinuationStep.StartAnew
}

/**
 * Returns when an interrupted text has waited as long as generating it again takes,
 * in monotonic milliseconds.
 *
 * @param events number of events of the text
 * @param paceMs typical time between two events of a stream, in milliseconds
 * @example
 * continuationDeadline(12, 40, now) // now + 480
 */
export function continuationDeadline (events: number, paceMs: number, now: number): number {
  return now + events * paceMs
}
