import { HostState } from '@cyclamenthread/state'
import type { Host } from '@cyclamenthread/state'
import type { Member } from '@cyclamenthread/coordination'

/** Fewest hosts of the caller's own failure domain to which it is sent alone: a single one could be lost. */
const MIN_LOCAL_HOSTS = 2

/** Where a caller is. */
export interface CallerLocation {
  readonly region: string
  readonly failureDomain: string
}

/**
 * Hosts that a caller may connect to: live ones, those of its own failure
 * domain if there are enough, else of its region, else all.
 *
 * @param maxHosts longest list
 * @example
 * hostsFor(members.members(), { region: 'lothian', failureDomain: 'leith-walk' }, 64)
 */
export function selectHosts (members: readonly Member[], location: CallerLocation, maxHosts: number): Host[] {
  const alive = members.filter((member) => member.state === HostState.Alive)
  const usable = alive.length > 0 ? alive : members.filter((member) => member.state === HostState.Suspect)
  const hosts = usable.map((member) => member.host)
  const local = hosts.filter((host) => host.failureDomain === location.failureDomain)
  if (local.length >= MIN_LOCAL_HOSTS) return local.slice(0, maxHosts)
  const regional = hosts.filter((host) => host.region === location.region)
  return (regional.length > 0 ? regional : hosts).slice(0, maxHosts)
}
