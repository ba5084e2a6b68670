/** Retries earned by one success. */
const RETRIES_PER_SUCCESS = 0.1

/** Most retries that a workspace can have saved. */
const MAX_SAVED_RETRIES = 20

/** Workspaces that are kept; a forgotten one starts full. */
const MAX_WORKSPACES = 10_000

/**
 * Bounds the retries of each workspace to a share of its successes, so that a
 * fault that hits everything does not multiply the load.
 *
 * Invariant: retries spent <= MAX_SAVED + RETRIES_PER_SUCCESS * successes.
 */
export class RetryBudget {
  readonly #saved = new Map<string, number>()

  recordSuccess (workspace: string): void {
    if (!this.#saved.has(workspace)) return
    this.#set(workspace, Math.min(MAX_SAVED_RETRIES, this.#savedRetries(workspace) + RETRIES_PER_SUCCESS))
  }

  /** Takes one retry; false when none is left. */
  trySpend (workspace: string): boolean {
    const left = this.#savedRetries(workspace)
    if (left < 1) return false
    this.#set(workspace, left - 1)
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
