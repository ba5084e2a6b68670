import type { RolloutOrder } from './rollout.js'

/**
 * Names the trainer whose steps should share an owner: its workspace and model.
 *
 * @example
 * trainerOf(order) // 'office/critic'
 */
export function trainerOf ({ workspace, model }: Pick<RolloutOrder, 'workspace' | 'model'>): string {
  return `${workspace}/${model}`
}
