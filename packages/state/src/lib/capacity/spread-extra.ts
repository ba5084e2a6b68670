/** A failure domain that may take endpoints in place of those missing in another. */
export interface ExtraCandidate {
  readonly failureDomain: string
  readonly price: number
  /** Endpoints that are ordered there at present in place of missing ones. */
  readonly extra: number
  /** Largest number of such endpoints. */
  readonly maxExtra: number
  /** Whether more of them may be ordered there. */
  readonly isAble: boolean
}

/**
 * Spreads endpoints that replace missing ones over failure domains: one at a time to the domain with the
 * fewest of them, the cheapest among equals. What is placed already stays in place, unless the total falls
 * or a domain's bound does: rebalancing would stop endpoints that serve.
 *
 * @param total number of endpoints to place
 * @returns number for each domain; the sum is less than the total if there is no room
 * @example
 * spreadExtra(3, [
 *   { failureDomain: 'a', price: 1, extra: 0, maxExtra: 8, isAble: true },
 *   { failureDomain: 'b', price: 2, extra: 0, maxExtra: 8, isAble: true }
 * ]) // Map { 'a' => 2, 'b' => 1 }
 */
export function spreadExtra (total: number, candidates: readonly ExtraCandidate[]): Map<string, number> {
  const sorted = [...candidates].sort((a, b) => a.price - b.price || (a.failureDomain < b.failureDomain ? -1 : 1))
  const extras = new Map(sorted.map(({ failureDomain, extra, maxExtra }) => [failureDomain, Math.min(extra, maxExtra)]))
  const extraOf = ({ failureDomain }: ExtraCandidate): number => extras.get(failureDomain) ?? 0
  let missing = total - sorted.reduce((sum, candidate) => sum + extraOf(candidate), 0)
  while (missing > 0) {
    const [first, ...others] = sorted.filter((candidate) => candidate.isAble && extraOf(candidate) < candidate.maxExtra)
    if (first === undefined) break
    const next = others.reduce((least, candidate) => extraOf(candidate) < extraOf(least) ? candidate : least, first)
    extras.set(next.failureDomain, extraOf(next) + 1)
    missing -= 1
  }
  while (missing < 0) {
    const [first, ...others] = sorted.filter((candidate) => extraOf(candidate) > 0)
    if (first === undefined) break
    const next = others.reduce((most, candidate) => extraOf(candidate) >= extraOf(most) ? candidate : most, first)
    extras.set(next.failureDomain, extraOf(next) - 1)
    missing += 1
  }
  return extras
}
