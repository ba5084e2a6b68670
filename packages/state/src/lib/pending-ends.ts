/** Maximum number of ends that a host keeps until they are stored. */
export const MAX_PENDING_ENDS = 4_096

/** Names one rollout of one workspace. */
export interface RolloutName {
  readonly rolloutId: string
  readonly workspace: string
}

/** An end that a trainer asked for and that isn't known to be stored. */
export interface PendingEnd extends RolloutName {
  /** Monotonic milliseconds from which the end is forgotten, since the rollout's samples have expired. */
  readonly keepUntil: number
  /** Monotonic milliseconds before which storing it isn't tried again. */
  readonly tryAt: number
}

/**
 * The ends that a host was asked for and couldn't store yet. Their number is bounded,
 * and none is kept beyond its deadline.
 *
 * @example
 * const ends = new PendingEnds()
 * ends.add({ rolloutId: 'r1', workspace: 'office', keepUntil: 60_000, tryAt: 0 }, 0) // true
 * ends.selectDue(0).length // 1
 */
export class PendingEnds {
  readonly #ends = new Map<string, PendingEnd>()

  /** Ends in the order in which they are tried. */
  get all (): readonly PendingEnd[] {
    return [...this.#ends.values()]
  }

  /** Earliest time at which an end may be tried, in monotonic milliseconds; undefined without any. */
  get nextTryAt (): number | undefined {
    return this.#ends.size === 0 ? undefined : this.all.reduce((earliest, { tryAt }) => Math.min(earliest, tryAt), Infinity)
  }

  /** Whether the end of a rollout is kept for the given workspace. */
  has (name: RolloutName): boolean {
    return this.#ends.has(keyOf(name))
  }

  /**
   * Keeps an end; a known one gets the new times and is tried after the others.
   *
   * @param now monotonic milliseconds
   * @returns whether it is kept
   */
  add (end: PendingEnd, now: number): boolean {
    const key = keyOf(end)
    if (!this.#ends.has(key) && this.#ends.size >= MAX_PENDING_ENDS) this.#removeExpired(now)
    const known = this.#ends.get(key)
    if (known === undefined && this.#ends.size >= MAX_PENDING_ENDS) return false
    this.#ends.delete(key)
    this.#ends.set(key, { ...end, keepUntil: Math.max(end.keepUntil, known?.keepUntil ?? -Infinity) })
    return true
  }

  /** Sets the time before which an end isn't tried again, and lets the others go first; without effect if it isn't kept. */
  postpone (name: RolloutName, tryAt: number): void {
    const key = keyOf(name)
    const known = this.#ends.get(key)
    if (known === undefined) return
    this.#ends.delete(key)
    this.#ends.set(key, { ...known, tryAt })
  }

  /** Forgets an end. */
  remove (name: RolloutName): void {
    this.#ends.delete(keyOf(name))
  }

  /**
   * Returns the ends that may be tried now, and forgets those whose deadline has passed.
   *
   * @param now monotonic milliseconds
   */
  selectDue (now: number): readonly PendingEnd[] {
    this.#removeExpired(now)
    return this.all.filter(({ tryAt }) => tryAt <= now)
  }

  #removeExpired (now: number): void {
    for (const end of this.all) {
      if (end.keepUntil <= now) this.remove(end)
    }
  }
}

function keyOf ({ rolloutId, workspace }: RolloutName): string {
  return JSON.stringify([workspace, rolloutId])
}
