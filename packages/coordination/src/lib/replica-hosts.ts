import { HostState, rankOwners } from '@cyclamenthread/state'
import type { Host } from '@cyclamenthread/state'
import type { MemberView } from './member-task.js'

/** Hosts that keep each thing. */
const REPLICAS = 2

/**
 * The hosts with a data folder that keep something: the first by rendezvous,
 * and the next from another failure domain, if there is one.
 *
 * @param shard what is kept
 * @example
 * findKeepers('journal/host-1', members)
 */
export function selectReplicaHosts (shard: string, members: Pick<MemberView, 'members'>): Host[] {
  const hosts = members.members()
    .filter((member) => member.state === HostState.Alive && member.host.hasDataFolder)
    .map((member) => member.host)
  const ranked = rankOwners(shard, hosts.map((host) => host.id)).flatMap((id) => hosts.find((host) => host.id === id) ?? [])
  const [first] = ranked
  if (first === undefined) return []
  const apart = ranked.filter((host) => host.failureDomain !== first.failureDomain)
  return [first, ...apart, ...ranked.slice(1)].slice(0, REPLICAS)
}
