import { rankOwners } from '@cyclamenthread/state'
import type { Host } from '@cyclamenthread/state'

/** Hosts that contend for one lease. More would only add calls of the store. */
const DEFAULT_CANDIDATES = 3

/** Where a leader should be. */
export interface LeaderLocation {
  readonly region: string
  readonly failureDomain: string
}

/**
 * Hosts that should contend for a lease: few by rendezvous, in the failure
 * domain that is led if it has hosts, else in its region, else anywhere.
 *
 * @param candidates how many hosts contend
 * @example
 * leaseCandidates('domain/leith-walk', members.workers(), place)
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
 * isLeaseCandidate('domain/leith-walk', 'h1', members.workers(), place)
 */
export function isLeaseCandidate (lease: string, hostId: string, workers: readonly Host[], location?: LeaderLocation, candidates = DEFAULT_CANDIDATES): boolean {
  return leaseCandidates(lease, workers, location, candidates).some((host) => host.id === hostId)
}
