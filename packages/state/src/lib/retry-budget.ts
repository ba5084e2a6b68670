/** Retries gained by one success. */
const RETRIES_PER_SUCCESS = 0.1

/** Maximum number of retries that a workspace can save up. */
const MAX_SAVED_RETRIES = 20

/** Maximum number of stored workspaces; an evicted one starts again with a full budget. */
const MAX_WORKSPACES = 10_000

/**
 * Limits the retries of each workspace to a share of its successes, so that retries
 * don't multiply the load in a general outage.
 *
 * Invariant: retries spent <= MAX_SAVED_RETRIES + RETRIES_PER_SUCCESS * successes.
 */
export class RetryBudget {
  readonly #saved = new Map<string, number>()

  recordSuccess (workspace: string): void {
    if (!this.#saved.has(workspace)) return
    this.#set(workspace, Math.min(MAX_SAVED_RETRIES, this.#savedRetries(workspace) + RETRIES_PER_SUCCESS))
  }

  /** Spends one retry; returns false if none is left. */
  trySpend (workspace: string): boolean {
    const saved = this.#savedRetries(workspace)
    if (saved < 1) return false
    this.#set(workspace, saved - 1)
    return true
  }

  #savedRetries (workspace: string): number {
    return this.#saved.get(workspace) ?? MAX_SAVED_RETRIES
  }

  #set (workspace: string, saved: number): void {
    this.#saved.set(workspace, saved)
    const [first] = this.#saved.keys()
    if (this.#saved.size > MAX_WORKSPACES && first !== undefined) this.#saved.delete(first)
  }
}
