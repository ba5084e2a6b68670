import { HostState, isHome } from '@cyclamenthread/state'
import type { HomeRegions, Host } from '@cyclamenthread/state'
import type { Member } from '@cyclamenthread/coordination'

/** Minimum number of hosts in the caller's failure domain for the list to contain only those: a single host may fail. */
const MIN_LOCAL_HOSTS = 2

/** Region and failure domain of a caller. */
export interface CallerLocation {
  readonly region: string
  readonly failureDomain: string
}

/**
 * Selects the hosts that a caller may connect to: alive hosts in the caller's
 * failure domain if there are enough, else in its region, else in the homes of what
 * it asks for, else all. Suspected hosts are used only if no host is alive. A host
 * outside the homes is only named in the caller's own region, whence it sends the
 * body straight to an endpoint in a home.
 *
 * @param maxHosts maximum number of hosts returned
 * @param homes regions that are homes of all routes which the caller may use; undefined if any region will do
 * @example
 * selectHosts(members.members(), { region: 'lothian', failureDomain: 'leith-walk' }, 64)
 */
export function selectHosts (members: readonly Member[], location: CallerLocation, maxHosts: number, homes?: HomeRegions): Host[] {
  const alive = members.filter((member) => member.state === HostState.Alive)
  const usable = alive.length > 0 ? alive : members.filter((member) => member.state === HostState.Suspect)
  const hosts = usable.map((member) => member.host)
  const local = hosts.filter((host) => host.failureDomain === location.failureDomain)
  if (local.length >= MIN_LOCAL_HOSTS) return local.slice(0, maxHosts)
  const regional = hosts.filter((host) => host.region === location.region)
  if (regional.length > 0) return regional.slice(0, maxHosts)
  const within = hosts.filter((host) => isHome(homes, host.region))
  return (within.length > 0 ? within : hosts).slice(0, maxHosts)
}
