import { deadlineAfter, timeLeft } from '@cyclamenthread/transport'
import { fetchLiveHosts, fetchReadiness } from './host-directory.js'
import type { CommandFlags } from './command.js'

/** Pause between two looks at the hosts, in milliseconds. */
const POLL_INTERVAL_MS = 200

/** Longest wait when no other is given, in seconds. */
export const DEFAULT_TIMEOUT_SECONDS = 60

/** How far a revision has come. */
export interface RevisionRollout {
  readonly revision: number
  /** URLs of the hosts that report the revision or a later one. */
  readonly reached: readonly string[]
  /** URLs of live hosts that do not, or do not answer. */
  readonly behind: readonly string[]
}

/** Monotonic deadline of the flags' longest wait. */
export function rolloutDeadline (flags: CommandFlags): number {
  return deadlineAfter((flags.timeoutSeconds ?? DEFAULT_TIMEOUT_SECONDS) * 1_000)
}

/**
 * Waits until every live host reports a revision. The list of hosts is read
 * anew each time: a host that died meanwhile is not waited for, one that came is.
 *
 * @param revision the revision
 * @param flags where the hosts are found
 * @param deadline monotonic milliseconds
 */
export async function awaitRevision (revision: number, flags: CommandFlags, deadline: number): Promise<RevisionRollout> {
  for (;;) {
    const rollout = await pollLiveHosts(revision, flags)
    if (isRolloutComplete(rollout) || timeLeft(deadline) <= 0) return rollout
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

/** Whether every live host has the revision; not so when no host could be asked. */
export function isRolloutComplete (rollout: RevisionRollout): boolean {
  return rollout.behind.length === 0 && rollout.reached.length > 0
}

/** A rollout as lines for people. */
export function renderRollout (rollout: RevisionRollout): string[] {
  if (rollout.reached.length === 0 && rollout.behind.length === 0) return ['no host answered, so nothing is known of where the revision is in force']
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
