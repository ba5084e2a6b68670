import { unreachable } from './invariant.js'
import type { RolloutOrder, RolloutProgress } from './rollout.js'

/** Separates the host id from the incarnation in the name of a writer. */
const INCARNATION_SEPARATOR = '/'

/**
 * Returns the host of a writer.
 *
 * @param writer host id, with or without an incarnation
 * @example
 * hostOfWriter('h1/4f2c') // 'h1'
 */
export function hostOfWriter (writer: string): string {
  const end = writer.lastIndexOf(INCARNATION_SEPARATOR)
  return end < 0 ? writer : writer.slice(0, end)
}

/**
 * Returns the owner of a rollout: the writer of the last claim in its log, or else
 * the host to which it was assigned on acceptance. Empty if neither is known.
 *
 * @example
 * ownerOf(order, progress) // 'h1/4f2c'
 */
export function ownerOf (order: RolloutOrder, progress: RolloutProgress): string {
  return progress.claimant ?? order.owner
}

/** What a host that was asked about a rollout does with it. */
export enum OwnershipStep {
  /** It owns the rollout and runs it. */
  Run = 'run',
  /** It appends a claim to the log and runs the rollout if no other claim comes first. */
  Claim = 'claim',
  /** It refers to the owner and runs nothing. */
  Refer = 'refer'
}

/** What a host knows about the owner of a rollout. */
export interface OwnershipEvidence {
  /** The owner according to a current read of the log; empty if there is none. */
  readonly owner: string
  /** The asking process. */
  readonly writer: string
  /** Whether this host itself has just failed to reach the owner's host. */
  readonly ownerUnreachable: boolean
}

/**
 * Decides what a host does with a rollout that it was asked about. A host takes over
 * only from a process that has ended (an earlier one on its own host) or that it
 * couldn't reach itself: a slow answer to somebody else is no reason.
 *
 * @example
 * decideOwnership({ owner: 'h1/4f2c', writer: 'h2/9a01', ownerUnreachable: false }) // OwnershipStep.Refer
 */
export function decideOwnership ({ owner, writer, ownerUnreachable }: OwnershipEvidence): OwnershipStep {
  if (owner === writer || owner === hostOfWriter(writer)) return OwnershipStep.Run
  if (owner === '' || hostOfWriter(owner) === hostOfWriter(writer)) return OwnershipStep.Claim
  return ownerUnreachable ? OwnershipStep.Claim : OwnershipStep.Refer
}

/**
 * Describes an ownership step for the log.
 *
 * @example
 * describeOwnershipStep(OwnershipStep.Claim, 'h1/4f2c') // 'claims it from h1/4f2c'
 */
export function describeOwnershipStep (step: OwnershipStep, owner: string): string {
  switch (step) {
    case OwnershipStep.Run: return 'owns it'
    case OwnershipStep.Claim: return owner === '' ? 'claims it' : `claims it from ${owner}`
    case OwnershipStep.Refer: return `is owned by ${owner}`
    default: return unreachable(step)
  }
}
