/** What a workspace asked for and got, in tokens. */
export interface WorkspaceTokens {
  readonly demanded: number
  readonly served: number
}

/**
 * How the worst-served workspace fares: what it got over its max-min fair share
 * of all that was served, weights being equal. 1 is exactly its share.
 *
 * @example
 * worstShare([{ demanded: 10, served: 10 }, { demanded: 90, served: 30 }]) // 1
 */
export function minFairShareRatio (workspaces: readonly WorkspaceTokens[]): number {
  const capacity = workspaces.reduce((sum, own) => sum + own.served, 0)
  const level = fairShareLevel(workspaces.map((own) => own.demanded), capacity)
  return Math.min(...workspaces.filter((own) => own.demanded > 0).map((own) => own.served / Math.min(own.demanded, level)))
}

/** The level up to which every demand is met when a capacity is shared max-min fairly. */
function fairShareLevel (demands: readonly number[], capacity: number): number {
  const sorted = [...demands].sort((a, b) => a - b)
  let remaining = capacity
  for (const [index, demand] of sorted.entries()) {
    const share = remaining / (sorted.length - index)
    if (demand >= share) return share
    remaining -= demand
  }
  return Infinity
}
