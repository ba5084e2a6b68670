/** A sample of a step that has no result yet. */
export interface OpenSample {
  readonly id: string
  readonly group: string
  /** Expected time until its text is whole, in milliseconds. */
  readonly leftMs: number
}

/** A step as its owner sees it. */
export interface StepProgress {
  readonly open: readonly OpenSample[]
  /** Number of groups of which every sample has a result. */
  readonly completeGroups: number
  /** Number of complete groups that the trainer waits for. */
  readonly targetGroups: number
  /** Groups that came again from an earlier step, for which the trainer waits in any case. */
  readonly carried: ReadonlySet<string>
}

/** An open group of a step. */
export interface GroupOutlook {
  readonly group: string
  /** Whether the trainer waits for it; it is expected to go on without the others. */
  readonly isAwaited: boolean
  /** Expected time until all its texts are whole, in milliseconds. */
  readonly leftMs: number
}

/**
 * Tells for each open group of a step whether its trainer waits for it. Answers the load of long texts: a few of them decide each step, and the groups
 * with the longest of all are those that the trainer doesn't wait for.
 *
 * Groups that came again are awaited first; the others in the order in which they are expected
 * to be complete.
 *
 * @example
 * outlookOf({ open, completeGroups: 3, targetGroups: 5, carried: new Set() })
 */
export function outlookOf ({ open, completeGroups, targetGroups, carried }: StepProgress): GroupOutlook[] {
  const leftOfGroups = new Map<string, number>()
  for (const { group, leftMs } of open) leftOfGroups.set(group, Math.max(leftOfGroups.get(group) ?? 0, leftMs))
  const ranked = [...leftOfGroups].sort(([a, aLeft], [b, bLeft]) => Number(carried.has(b)) - Number(carried.has(a)) || aLeft - bLeft)
  return ranked.map(([group, leftMs], index) => ({ group, isAwaited: index < targetGroups - completeGroups, leftMs }))
}

/**
 * Selects the open samples of groups that the trainer waits for, those that are expected to end last first.
 *
 * @example
 * awaitedSamples(progress)[0]
 */
export function awaitedSamples (progress: StepProgress): OpenSample[] {
  const awaited = new Set(outlookOf(progress).flatMap(({ group, isAwaited }) => isAwaited ? [group] : []))
  return progress.open.filter(({ group }) => awaited.has(group)).sort((a, b) => b.leftMs - a.leftMs)
}

/**
 * Sorts waiting samples for a step that has fewer slots than samples: those of groups that the
 * trainer waits for before the others, and in each part those that take longest first.
 *
 * @example
 * sortForSlots(progress, waiting)[0]
 */
export function sortForSlots<Sample extends { readonly id: string, readonly group: string }> (progress: StepProgress, waiting: readonly Sample[]): Sample[] {
  const spare = new Set(outlookOf(progress).flatMap(({ group, isAwaited }) => isAwaited ? [] : [group]))
  const leftMs = new Map(progress.open.map((sample) => [sample.id, sample.leftMs]))
  return [...waiting].sort((a, b) => Number(spare.has(a.group)) - Number(spare.has(b.group)) || (leftMs.get(b.id) ?? 0) - (leftMs.get(a.id) ?? 0))
}
