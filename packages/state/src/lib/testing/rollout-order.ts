import type { RolloutOrder } from '../rollout.js'

/** Builds an order of `groups` groups of `size` samples each, with ids `g0.0`, `g0.1` and so on. */
export function rolloutOrder (groups: number, size: number, changes: Partial<RolloutOrder> = {}): RolloutOrder {
  const samples = Array.from({ length: groups * size }, (_, index) => ({
    id: `g${Math.floor(index / size)}.${index % size}`,
    group: `g${Math.floor(index / size)}`,
    path: '/drafts/1',
    headers: {},
    body: '',
    tokens: 1_100,
    maxAnswerTokens: 1_000,
    expectedTokens: 10
  }))
  return {
    id: 'r1',
    workspace: 'office',
    route: 'drafts',
    routeHost: 'drafts.example',
    service: 'models',
    model: 'critic',
    step: 4,
    minVersion: 3,
    targetGroups: groups,
    maxAttempts: 3,
    singleVersion: false,
    owner: '',
    acceptedAt: 0,
    dueAt: 7_500,
    expiresAt: Number.MAX_SAFE_INTEGER,
    samples,
    ...changes
  }
}
