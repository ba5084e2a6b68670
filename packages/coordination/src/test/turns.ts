/** A call that only one host at a time may make. */
export interface Act {
  /** True time, in milliseconds. */
  readonly at: number
  readonly host: string
}

/** A host that acted again too soon after another one. */
export interface Turn {
  readonly host: string
  /** Last act of the host before another one acted, in milliseconds. */
  readonly before: number
  /** First act of the host after the other one, in milliseconds. */
  readonly after: number
}

/**
 * Finds hosts that acted, then another, then the first again, with less than a
 * lease between the acts of the first.
 *
 * @param acts ordered by time
 * @param leaseMs duration of the lease in milliseconds
 * @example
 * findTurns([{ at: 0, host: 'a' }, { at: 400, host: 'b' }, { at: 900, host: 'a' }], 3_000) // one turn of host a
 */
export function findTurns (acts: readonly Act[], leaseMs: number): Turn[] {
  const lastActs = new Map<string, number>()
  const turns: Turn[] = []
  let previous: string | undefined
  for (const { at, host } of acts) {
    const before = lastActs.get(host)
    if (previous !== host && before !== undefined && at - before < leaseMs) turns.push({ host, before, after: at })
    lastActs.set(host, at)
    previous = host
  }
  return turns
}
