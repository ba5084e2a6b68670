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

/** Delay of a timer of this process beyond which it counts as held up, in milliseconds: several times the usual delay of a busy host. */
const MAX_TIMER_DELAY_MS = 150

/**
 * Whether the silence of another host may be held against it. A process that was
 * held up itself can't tell: the answer may wait in its own queue.
 *
 * @param deadline monotonic milliseconds until which the answer was awaited
 * @param observedAt monotonic milliseconds at which this process noticed that the deadline had passed or the connection had failed
 * @example
 * isSilenceConclusive(1_000, 1_004) // true
 */
export function isSilenceConclusive (deadline: number, observedAt: number): boolean {
  return observedAt - deadline <= MAX_TIMER_DELAY_MS
}

/** How current the log copy behind a permission to start work is. */
export interface WorkPermissionEvidence {
  /** Monotonic milliseconds at which the last successful read or write of the log was sent. */
  readonly confirmedAt: number
  /** Monotonic milliseconds of the last answer of the store to any call of this process about rollouts. */
  readonly storeAnsweredAt: number
  /** Whether another host has reported an end or a claim that the log copy doesn't show yet. */
  readonly isContested: boolean
}

/** Whether work of a rollout may start. */
export enum WorkPermission {
  Granted = 'granted',
  /** Work may start, and the log is read meanwhile. */
  ConfirmMeanwhile = 'confirm-meanwhile',
  /** The log has to be read first. */
  ConfirmFirst = 'confirm-first'
}

/** Age of the log copy up to which work starts without another read, in milliseconds. */
const MAX_CONFIRMATION_AGE_MS = 1_500

/**
 * Silence of the store after which it counts as down, in milliseconds: longer than
 * a call's timeout, so that one late answer of a busy host doesn't count as an
 * outage, and shorter than the time for which samples may be at no endpoint.
 */
const STORE_OUTAGE_MS = 2_500

/**
 * Decides whether work of a rollout may start now. Another host may have ended or
 * taken over the rollout, which only the log shows. While the store answers nobody,
 * neither can happen, so work goes on.
 *
 * @param now monotonic milliseconds
 * @example
 * decideWorkPermission({ confirmedAt: 0, storeAnsweredAt: 0, isContested: false }, 400) // WorkPermission.Granted
 */
export function decideWorkPermission ({ confirmedAt, storeAnsweredAt, isContested }: WorkPermissionEvidence, now: number): WorkPermission {
  if (isContested) return WorkPermission.ConfirmFirst
  if (now - confirmedAt <= MAX_CONFIRMATION_AGE_MS) return WorkPermission.Granted
  return now - storeAnsweredAt > STORE_OUTAGE_MS ? WorkPermission.ConfirmMeanwhile : WorkPermission.ConfirmFirst
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
