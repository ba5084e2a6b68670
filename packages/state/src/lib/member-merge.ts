import { HostState } from './host.js'
import { unreachable } from './invariant.js'
import type { HeldMember } from './member-table.js'
import type { MemberRecord } from './membership-message.js'

/**
 * Merges a received record into the stored state of a member.
 *
 * @param held the stored state, if any
 * @param received the received record
 * @param suspectedUntil monotonic milliseconds at which a suspicion that starts now ends
 * @returns `held` itself if nothing changed; undefined if nothing is to be stored
 * @example
 * mergeRecord(undefined, { host, incarnation: 1, state: HostState.Alive }, now + 4000)
 */
export function mergeRecord (held: HeldMember | undefined, received: MemberRecord, suspectedUntil: number): HeldMember | undefined {
  if (held === undefined) return received.state === HostState.Dead ? undefined : acceptRecord(received, suspectedUntil)
  if (received.incarnation < held.record.incarnation) return held
  if (received.incarnation > held.record.incarnation) return mergeLaterIncarnation(held, received, suspectedUntil)
  return mergeSameIncarnation(held, received, suspectedUntil)
}

/** Accepts a record of an unknown member or of a later incarnation. */
function acceptRecord (received: MemberRecord, suspectedUntil: number): HeldMember {
  const suspected = received.state === HostState.Suspect || received.state === HostState.Dead
  if (!suspected) return { record: received }
  return { record: { ...received, state: HostState.Suspect }, suspectedUntil }
}

/** Merges a record of a later incarnation than the stored one. */
function mergeLaterIncarnation (held: HeldMember, received: MemberRecord, suspectedUntil: number): HeldMember {
  if (received.state !== HostState.Dead) return acceptRecord(received, suspectedUntil)
  if (held.record.state === HostState.Dead) return { ...held, record: received }
  // Whether it was leaving in the later incarnation is unknown, so the state of the last known one is kept.
  if (held.record.state === HostState.Leaving) return { record: { ...received, state: HostState.Leaving }, suspectedUntil }
  return acceptRecord(received, suspectedUntil)
}

/** Merges a record of the same incarnation: the state only advances. */
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
