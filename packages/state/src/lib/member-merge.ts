import { HostState } from './host.js'
import { unreachable } from './invariant.js'
import type { HeldMember } from './member-table.js'
import type { MemberRecord } from './membership-message.js'

/**
 * What a host holds of another after it was told a record.
 *
 * @param held what it held before, if anything
 * @param received the record it was told
 * @param suspectedUntil monotonic milliseconds at which a suspicion that starts now ends
 * @returns `held` itself when nothing changed; undefined when nothing is to be held
 * @example
 * mergeRecord(undefined, { host, incarnation: 1, state: HostState.Alive }, now + 4000)
 */
export function mergeRecord (held: HeldMember | undefined, received: MemberRecord, suspectedUntil: number): HeldMember | undefined {
  if (held === undefined) return received.state === HostState.Dead ? undefined : acceptRecord(received, suspectedUntil)
  if (received.incarnation < held.record.incarnation) return held
  if (received.incarnation > held.record.incarnation) return mergeLaterIncarnation(held, received, suspectedUntil)
  return mergeSameIncarnation(held, received, suspectedUntil)
}

/** A record that was not known in any form, or only of an earlier incarnation. */
function acceptRecord (received: MemberRecord, suspectedUntil: number): HeldMember {
  const suspected = received.state === HostState.Suspect || received.state === HostState.Dead
  if (!suspected) return { record: received }
  return { record: { ...received, state: HostState.Suspect }, suspectedUntil }
}

/** A later incarnation than the one held. */
function mergeLaterIncarnation (held: HeldMember, received: MemberRecord, suspectedUntil: number): HeldMember {
  if (received.state !== HostState.Dead) return acceptRecord(received, suspectedUntil)
  if (held.record.state === HostState.Dead) return { ...held, record: received }
  // Whether it was leaving in that incarnation is unknown; it was in the last one known.
  if (held.record.state === HostState.Leaving) return { record: { ...received, state: HostState.Leaving }, suspectedUntil }
  return acceptRecord(received, suspectedUntil)
}

/** The same incarnation: the state only moves on. */
function mergeSameIncarnation (held: HeldMember, received: MemberRecord, suspectedUntil: number): HeldMember {
  const { record } = held
  if (record.state === HostState.Dead) return held
  switch (received.state) {
    case HostState.Alive: return held
    case HostState.Leaving:
      return record.state === HostState.Leaving ? held : { ...held, record: received }
    case HostState.Suspect:
    case HostState.Dead:
      if (held.suspectedUntil !== undefined) return held
      return record.state === HostState.Leaving
        ? { ...held, suspectedUntil }
        : { record: { ...record, state: HostState.Suspect }, suspectedUntil }
    default: return unreachable(received.state)
  }
}
