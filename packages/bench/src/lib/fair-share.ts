/** Tokens that a workspace requested and tokens it was served. */
export interface WorkspaceTokens {
  readonly demanded: number
  readonly served: number
}

/**
 * Returns the lowest ratio of served tokens to the max-min fair share of all
 * served tokens, with equal weights. A workspace at 1 got exactly its share.
 *
 * @example
 * minFairShareRatio([{ demanded: 10, served: 10 }, { demanded: 90, served: 30 }]) // 1
 */
export function minFairShareRatio (workspaces: readonly WorkspaceTokens[]): number {
  const capacity = workspaces.reduce((sum, workspace) => sum + workspace.served, 0)
  const level = fairShareLevel(workspaces.map((workspace) => workspace.demanded), capacity)
  return Math.min(...workspaces.filter((workspace) => workspace.demanded > 0).map((workspace) => workspace.served / Math.min(workspace.demanded, level)))
}

/** Returns the share up to which each demand is met in a max-min fair division of the capacity; infinite if all are met. */
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
