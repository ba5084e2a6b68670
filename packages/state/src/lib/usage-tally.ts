/** Number of windows that are kept after their end. */
const KEPT_WINDOWS = 12

/** Number of requests that endpoints began to run in a window, by workspace. */
export type WindowCounts = Readonly<Record<string, number>>

/**
 * Counts the requests that began to run, by usage window and workspace.
 *
 * @example
 * tally.countRequest('desk', Date.now())
 * tally.countsOf(tally.windowAt(Date.now()))
 */
export class UsageTally {
  readonly #windowMs: number
  readonly #windows = new Map<number, Record<string, number>>()

  /** @param windowMs length of a window in milliseconds */
  constructor (windowMs: number) {
    this.#windowMs = windowMs
  }

  /** Index of the window that contains a time, given in milliseconds since 1970. */
  windowAt (at: number): number {
    return Math.floor(at / this.#windowMs)
  }

  /** End of a window, in milliseconds since 1970. */
  windowEnd (windowIndex: number): number {
    return (windowIndex + 1) * this.#windowMs
  }

  /** Counts a request that began at the given time, in milliseconds since 1970. */
  countRequest (workspace: string, at: number): void {
    const windowIndex = this.windowAt(at)
    const counts = this.#windows.get(windowIndex) ?? {}
    counts[workspace] = (counts[workspace] ?? 0) + 1
    this.#windows.set(windowIndex, counts)
    for (const index of this.#windows.keys()) {
      if (index < windowIndex - KEPT_WINDOWS) this.#windows.delete(index)
    }
  }

  /** Returns the counts of a window. */
  countsOf (windowIndex: number): WindowCounts {
    return this.#windows.get(windowIndex) ?? {}
  }
}

/**
 * Adds up the counts of several hosts.
 *
 * @example
 * sumCounts([{ desk: 1 }, { desk: 2 }]) // { desk: 3 }
 */
export function sumCounts (all: readonly WindowCounts[]): WindowCounts {
  const sum: Record<string, number> = {}
  for (const counts of all) {
    for (const [workspace, count] of Object.entries(counts)) sum[workspace] = (sum[workspace] ?? 0) + count
  }
  return sum
}
