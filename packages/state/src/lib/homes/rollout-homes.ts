import type { RolloutOrder } from '../rollout.js'
import type { RouteTable } from '../route-table.js'
import type { HomeRegions } from './home-regions.js'

/**
 * Returns the homes of a rollout: those in the declaration of this host, or those that the
 * order states if its acceptance was decided by a newer declaration.
 *
 * @example
 * homesOfRollout(order, deployment.routeTable)
 */
export function homesOfRollout ({ route, workspace, homes }: Pick<RolloutOrder, 'route' | 'workspace' | 'homes'>, table: RouteTable | undefined): HomeRegions {
  const isCurrent = table !== undefined && table.declaration.version >= (homes?.declaration ?? -Infinity)
  return isCurrent ? table.homesOf({ name: route, homes: homes?.regions }, workspace) : homes?.regions
}
