import { rankOwners } from '@cyclamenthread/state'
import type { Host } from '@cyclamenthread/state'

/** Hosts that contend for one lease. More would only add calls of the store. */
const CANDIDATES = 3

/** Where a leader should be. */
export interface LeasePlace {
  readonly region: string
  readonly failureDomain: string
}

/**
 * Whether a host should contend for a lease: few by rendezvous, in the failure
 * domain that is led if it has hosts, else in its region, else anywhere.
 *
 * @param candidates how many hosts contend
 * @example
 * isLeaseCandidate('domain/leith-walk', 'h1', members.workers(), place)
 */
export function isLeaseCandidate (lease: string, hostId: string, workers: readonly Host[], place?: LeasePlace, candidates = CANDIDATES): boolean {
  const near = workers.filter((host) => host.failureDomain === place?.failureDomain)
  const regional = workers.filter((host) => host.region === place?.region)
  const hosts = [near, regional].find((list) => list.length > 0) ?? workers
  return rankOwners(`lease/${lease}`, hosts.map((host) => host.id)).slice(0, candidates).includes(hostId)
}
