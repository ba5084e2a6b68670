import { HostState, rankOwners } from '@cyclamenthread/state'
import type { Host } from '@cyclamenthread/state'
import type { MemberView } from './member-task.js'

/** Number of hosts that store each shard. */
const REPLICAS = 2

/**
 * Selects the live hosts with a data folder that store a shard: the first one by
 * rendezvous hashing, and the next one in another failure domain if there is one.
 *
 * @param shard name of the stored data
 * @example
 * selectReplicaHosts('journal/host-1', members)
 */
export function selectReplicaHosts (shard: string, members: Pick<MemberView, 'members'>): Host[] {
  const hosts = members.members()
    .filter((member) => member.state === HostState.Alive && member.host.hasDataFolder)
    .map((member) => member.host)
  const ranked = rankOwners(shard, hosts.map((host) => host.id)).flatMap((id) => hosts.find((host) => host.id === id) ?? [])
  const [first] = ranked
  if (first === undefined) return []
  const inOtherDomains = ranked.filter((host) => host.failureDomain !== first.failureDomain)
  return [first, ...inOtherDomains, ...ranked.slice(1)].slice(0, REPLICAS)
}
