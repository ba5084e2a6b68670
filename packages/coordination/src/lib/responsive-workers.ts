import type { Host } from '@cyclamenthread/state'
import type { MemberView } from './member-task.js'

/**
 * Returns the hosts that may receive work and are not suspected to be silent; if all
 * are suspected, it returns all. For choices that every host may make differently
 * without harm: what only one host may own moves once its owner is dead.
 *
 * @example
 * const relays = relaysOf(self.region, responsiveWorkers(members))
 */
export function responsiveWorkers (members: Pick<MemberView, 'workers' | 'isSuspected'>): readonly Host[] {
  const workers = members.workers()
  const responsive = workers.filter(({ id }) => !members.isSuspected(id))
  return responsive.length > 0 ? responsive : workers
}
