interface Entry {
  readonly value: number
  /** Monotonic milliseconds at which it leaves the window. */
  readonly until: number
}

/**
 * Maximum of the values of a sliding time window.
 *
 * Invariant: entries are ordered by time and strictly decreasing in value, so the first is the maximum.
 *
 * @example
 * const recent = new WindowMaximum(1_000)
 * recent.record(4, 0)
 * recent.record(2, 500)
 * recent.current(1_200) // 2
 */
export class WindowMaximum {
  readonly #windowMs: number
  readonly #entries: Entry[] = []

  /** @param windowMs length of the window in milliseconds */
  constructor (windowMs: number) {
    this.#windowMs = windowMs
  }

  /** Records a value at the given monotonic time in milliseconds. */
  record (value: number, now: number): void {
    while ((this.#entries.at(-1)?.value ?? Infinity) <= value) this.#entries.pop()
    this.#entries.push({ value, until: now + this.#windowMs })
  }

  /** Returns the largest value of the window; undefined if it has none. */
  current (now: number): number | undefined {
    while ((this.#entries[0]?.until ?? Infinity) <= now) this.#entries.shift()
    return this.#entries[0]?.value
  }
}
