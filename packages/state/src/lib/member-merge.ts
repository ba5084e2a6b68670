import { HostState } from './host.js'
import { unreachable } from './invariant.js'
import type { HeldMember } from './member-table.js'
import type { MemberRecord } from './membership-message.js'

/**
 * What a host holds of another after it was told a record.
 *
 * @param held what it held before, if anything
 * @param told the record it was told
 * @param suspectedUntil monotonic milliseconds at which a suspicion that starts now ends
 * @returns `held` itself when nothing changed; undefined when nothing is to be held
 * @example
 * mergeRecord(undefined, { host, incarnation: 1, state: HostState.Alive }, now + 4000)
 */
export function mergeRecord (held: HeldMember | undefined, told: MemberRecord, suspectedUntil: number): HeldMember | undefined {
  if (held === undefined) return told.state === HostState.Dead ? undefined : adopt(told, suspectedUntil)
  if (told.incarnation < held.record.incarnation) return held
  if (told.incarnation > held.record.incarnation) return renew(held, told, suspectedUntil)
  return advance(held, told, suspectedUntil)
}

/** A record that was not known in any form, or only of an earlier incarnation. */
function adopt (told: MemberRecord, suspectedUntil: number): HeldMember {
  const suspected = told.state === HostState.Suspect || told.state === HostState.Dead
  if (!suspected) return { record: told }
  return { record: { ...told, state: HostState.Suspect }, suspectedUntil }
}

/** A later incarnation than the one held. */
function renew (held: HeldMember, told: MemberRecord, suspectedUntil: number): HeldMember {
  if (told.state !== HostState.Dead) return adopt(told, suspectedUntil)
  if (held.record.state === HostState.Dead) return { ...held, record: told }
  // Whether it was leaving in that incarnation is unknown; it was in the last one known.
  if (held.record.state === HostState.Leaving) return { record: { ...told, state: HostState.Leaving }, suspectedUntil }
  return adopt(told, suspectedUntil)
}

/** The same incarnation: the state only moves on. */
function advance (held: HeldMember, told: MemberRecord, suspectedUntil: number): HeldMember {
  const { record } = held
  if (record.state === HostState.Dead) return held
  switch (told.state) {
    case HostState.Alive: return held
    case HostState.Leaving:
      return record.state === HostState.Leaving ? held : { ...held, record: told }
    case HostState.Suspect:
    case HostState.Dead:
      if (held.suspectedUntil !== undefined) return held
      return record.state === HostState.Leaving
        ? { ...held, suspectedUntil }
        : { record: { ...record, state: HostState.Suspect }, suspectedUntil }
    default: return unreachable(told.state)
  }
}
