import { HostState } from '@cyclamenthread/state'
import type { Host } from '@cyclamenthread/state'
import type { Member } from '@cyclamenthread/coordination'

/** Fewest hosts of the caller's own failure domain to which it is sent alone: a single one could be lost. */
const FEWEST_NEAR = 2

/** Where a caller is. */
export interface CallerPlace {
  readonly region: string
  readonly failureDomain: string
}

/**
 * Hosts that a caller may connect to: live ones, those of its own failure
 * domain if there are enough, else of its region, else all.
 *
 * @param most longest list
 * @example
 * hostsFor(members.members(), { region: 'lothian', failureDomain: 'leith-walk' }, 64)
 */
export function hostsFor (members: readonly Member[], place: CallerPlace, most: number): Host[] {
  const alive = members.filter((member) => member.state === HostState.Alive)
  const usable = alive.length > 0 ? alive : members.filter((member) => member.state === HostState.Suspect)
  const hosts = usable.map((member) => member.host)
  const near = hosts.filter((host) => host.failureDomain === place.failureDomain)
  if (near.length >= FEWEST_NEAR) return near.slice(0, most)
  const regional = hosts.filter((host) => host.region === place.region)
  return (regional.length > 0 ? regional : hosts).slice(0, most)
}
