/** Windows that are remembered after their end. */
const KEPT_WINDOWS = 12

/** Requests of each workspace that endpoints began, by window of true time. */
export type WindowCounts = Readonly<Record<string, number>>

/**
 * Counts the requests that began to run, by usage window and workspace.
 *
 * @example
 * tally.count('desk', Date.now())
 * tally.window(tally.windowOf(Date.now()))
 */
export class UsageTally {
  readonly #windowMs: number
  readonly #windows = new Map<number, Record<string, number>>()

  /** @param windowMs length of a window in milliseconds */
  constructor (windowMs: number) {
    this.#windowMs = windowMs
  }

  /** The window that holds a moment, in milliseconds since 1970. */
  windowAt (at: number): number {
    return Math.floor(at / this.#windowMs)
  }

  /** The moment at which a window ends, in milliseconds since 1970. */
  windowEnd (windowIndex: number): number {
    return (windowIndex + 1) * this.#windowMs
  }

  /** Counts one request. */
  countRequest (workspace: string, at: number): void {
    const windowIndex = this.windowAt(at)
    const counts = this.#windows.get(windowIndex) ?? {}
    counts[workspace] = (counts[workspace] ?? 0) + 1
    this.#windows.set(windowIndex, counts)
    for (const old of this.#windows.keys()) {
      if (old < windowIndex - KEPT_WINDOWS) this.#windows.delete(old)
    }
  }

  /** What was counted in a window. */
  countsOf (windowIndex: number): WindowCounts {
    return this.#windows.get(windowIndex) ?? {}
  }
}

/**
 * Adds up counts of several hosts.
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
