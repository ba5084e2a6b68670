import type { Host } from '@cyclamenthread/state'
import type { MemberTask } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Maximum number of hosts notified at the same time, as each needs a connection. */
const MAX_CONCURRENT_SENDS = 32

/**
 * Notifies every other host that this one is leaving, and waits for their
 * acknowledgements. Membership gossip would spread this as well, but this host
 * could not tell when it is complete: until every host knows, one of them may
 * still give this host's address to a caller.
 *
 * @param deadline monotonic milliseconds; hosts that don't answer by then learn it from gossip
 * @returns the number of hosts that did not acknowledge
 * @example
 * await announceLeave(members, bus, deadlineAfter(5_000))
 */
export async function announceLeave (members: MemberTask, bus: MessageBus, deadline: number): Promise<number> {
  members.leave()
  const remaining: Host[] = [...members.workers()]
  let missed = 0
  const sendToRemaining = async (): Promise<void> => {
    for (let host = remaining.pop(); host !== undefined; host = remaining.pop()) {
      const answer = await bus.send(host, members.membershipMessageTo(host), { deadline })
      if (!answer.ok) missed += 1
    }
  }
  await Promise.all(Array.from({ length: MAX_CONCURRENT_SENDS }, sendToRemaining))
  return missed
}
