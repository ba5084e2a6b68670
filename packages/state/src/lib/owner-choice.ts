/** A host that may own a new rollout, in order of preference. */
export interface OwnerCandidate {
  readonly hostId: string
  /** Processor cores that it may use. */
  readonly processorCores: number
  /** Unfinished samples of other trainers that it runs; undefined if it didn't answer. */
  readonly foreignSamples: number | undefined
}

/**
 * Factor by which another host has to be less loaded than the preferred one. A
 * trainer's steps are better kept on one host, which knows their load on the
 * endpoints and has connections open.
 */
const MIN_ADVANTAGE = 1.3

/**
 * Chooses the owner of a new rollout: the preferred host that answered, unless it
 * runs samples of other trainers and another candidate would have clearly less
 * work for each of its cores. Without any answer, the first candidate is chosen.
 *
 * @param candidates in order of preference, at least one
 * @param samples number of samples of the new rollout
 * @example
 * chooseOwner([{ hostId: 'h1', processorCores: 0.5, foreignSamples: 160 }, { hostId: 'h2', processorCores: 0.5, foreignSamples: 0 }], 96) // 'h2'
 */
export function chooseOwner (candidates: readonly OwnerCandidate[], samples: number): string | undefined {
  let best: OwnerCandidate | undefined
  let bestWork = Infinity
  for (const candidate of candidates) {
    if (candidate.foreignSamples === undefined) continue
    const work = (candidate.foreignSamples + samples) / candidate.processorCores
    if (work * MIN_ADVANTAGE >= bestWork) continue
    best = candidate
    bestWork = work
  }
  return (best ?? candidates[0])?.hostId
}
