import { deadlineAfter, timeLeft } from '@cyclamenthread/transport'
import { fetchLiveHosts, fetchReadiness } from './host-directory.js'
import type { CommandFlags } from './command.js'

/** Interval between two polls of the hosts, in milliseconds. */
const POLL_INTERVAL_MS = 200

/** Default for `--timeout-seconds`. */
export const DEFAULT_TIMEOUT_SECONDS = 60

/** The live hosts that have a revision and those that don't have it yet. */
export interface RevisionRollout {
  readonly revision: number
  /** URLs of the hosts that report this revision or a later one. */
  readonly reached: readonly string[]
  /** URLs of the live hosts that report an earlier revision or don't answer. */
  readonly behind: readonly string[]
}

/** Monotonic deadline of a wait, from `--timeout-seconds` or the default. */
export function rolloutDeadline (flags: CommandFlags): number {
  return deadlineAfter((flags.timeoutSeconds ?? DEFAULT_TIMEOUT_SECONDS) * 1_000)
}

/**
 * Waits until every live host reports a revision, or until the deadline. Reads
 * the list of hosts again on each poll, so hosts that stop are no longer waited
 * for and hosts that join are.
 *
 * @param revision the revision to wait for
 * @param flags name the hosts or the platform to read the host list from
 * @param deadline monotonic milliseconds
 */
export async function awaitRevision (revision: number, flags: CommandFlags, deadline: number): Promise<RevisionRollout> {
  for (;;) {
    const rollout = await pollLiveHosts(revision, flags)
    if (isRolloutComplete(rollout) || timeLeft(deadline) <= 0) return rollout
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

/** Whether every live host has the revision; false if no host could be reached. */
export function isRolloutComplete (rollout: RevisionRollout): boolean {
  return rollout.behind.length === 0 && rollout.reached.length > 0
}

/** Formats a rollout as text. */
export function renderRollout (rollout: RevisionRollout): string[] {
  if (rollout.reached.length === 0 && rollout.behind.length === 0) return ['no host answered, so it is not known where the revision is in force']
  const lines = [`in force on ${rollout.reached.length} of ${rollout.reached.length + rollout.behind.length} live hosts`]
  return [...lines, ...rollout.behind.map((url) => `not yet in force on ${url}`)]
}

async function pollLiveHosts (revision: number, flags: CommandFlags): Promise<RevisionRollout> {
  const live = await fetchLiveHosts(flags)
  if (!live.ok) return { revision, reached: [], behind: [] }
  const polled = await Promise.all(live.hosts.map(async ({ url }) => ({ url, readiness: await fetchReadiness(url) })))
  const hasRevision = (item: typeof polled[number]): boolean => (item.readiness?.catalogueRevision ?? 0) >= revision
  return {
    revision,
    reached: polled.filter(hasRevision).map((item) => item.url),
    behind: polled.filter((item) => !hasRevision(item)).map((item) => item.url)
  }
}
