import { rankOwners } from '@cyclamenthread/state'
import type { Host } from '@cyclamenthread/state'

/** Number of hosts that contend for one lease. More would only add store calls. */
const DEFAULT_CANDIDATES = 3

/** Preferred location of a leader. */
export interface LeaderLocation {
  readonly region: string
  readonly failureDomain: string
}

/**
 * Returns the hosts that should contend for a lease. A few are chosen by
 * rendezvous hashing among the hosts of the given failure domain, or of its region
 * if the domain has none, or else among all hosts.
 *
 * @param candidates maximum number of hosts
 * @example
 * leaseCandidates('domain/leith-walk', members.workers(), location)
 */
export function leaseCandidates (lease: string, workers: readonly Host[], location?: LeaderLocation, candidates = DEFAULT_CANDIDATES): Host[] {
  const local = workers.filter((host) => host.failureDomain === location?.failureDomain)
  const regional = workers.filter((host) => host.region === location?.region)
  const hosts = [local, regional].find((list) => list.length > 0) ?? workers
  const byId = new Map(hosts.map((host) => [host.id, host]))
  return rankOwners(`lease/${lease}`, [...byId.keys()]).slice(0, candidates).flatMap((id) => byId.get(id) ?? [])
}

/**
 * Whether a host should contend for a lease.
 *
 * @example
 * isLeaseCandidate('domain/leith-walk', 'h1', members.workers(), location)
 */
export function isLeaseCandidate (lease: string, hostId: string, workers: readonly Host[], location?: LeaderLocation, candidates = DEFAULT_CANDIDATES): boolean {
  return leaseCandidates(lease, workers, location, candidates).some((host) => host.id === hostId)
}
