import { rankOwners } from '@cyclamenthread/state'
import type { Host } from '@cyclamenthread/state'

/**
 * Returns the relays of a region: two of its hosts, in different failure domains if
 * possible, chosen by rendezvous hashing so that every host determines the same ones.
 *
 * @param region the region
 * @param workers hosts that may receive work
 * @example
 * relaysOf('lothian', members.workers())
 */
export function relaysOf (region: string, workers: readonly Host[]): Host[] {
  const local = workers.filter((host) => host.region === region)
  const byId = new Map(local.map((host) => [host.id, host]))
  const ranked = rankOwners(`relay/${region}`, [...byId.keys()]).flatMap((id) => byId.get(id) ?? [])
  const [first] = ranked
  if (first === undefined) return []
  const second = ranked.find((host) => host.failureDomain !== first.failureDomain) ?? ranked[1]
  return second === undefined ? [first] : [first, second]
}

/**
 * Returns the relays of all regions.
 *
 * @example
 * allRelays(members.workers()).length // at most two for each region
 */
export function allRelays (workers: readonly Host[]): Host[] {
  const regions = new Set(workers.map((host) => host.region))
  return [...regions].flatMap((region) => relaysOf(region, workers))
}
