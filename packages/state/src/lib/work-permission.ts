import type { SilentSpan } from './store-silence.js'

/** How current the log copy behind a permission to start work is. All times are by the clock that counts suspends of the machine. */
export interface WorkPermissionEvidence {
  /** Monotonic milliseconds at which the last successful read or write of the log was sent; -Infinity if there was none. */
  readonly confirmedAt: number
  /** Time during which the store left all calls of this process about rollouts unanswered; undefined if it answered the last one. */
  readonly storeSilence: SilentSpan | undefined
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

/** On what grounds work of a rollout starts. */
export interface WorkPermit {
  readonly permission: WorkPermission
  /** Age of the log copy behind the permission, in milliseconds; undefined if the log was never read. */
  readonly logAgeMs: number | undefined
  /** Time at which the permission ends, in milliseconds by the clock that counts suspends; no request may begin to be written after it. */
  readonly startBefore: number
}

/** Age of the log copy up to which work starts without another read, in milliseconds. */
const MAX_CONFIRMATION_AGE_MS = 1_500

/**
 * Age of the log copy up to which a request that was permitted may begin to be
 * written, in milliseconds. The rest of the bound on ends is for its way to the endpoint.
 */
const MAX_WRITE_AGE_MS = 2_200

/**
 * Silence of the store after which it counts as down, in milliseconds: longer than
 * a call's timeout, so that one late answer of a busy host doesn't count as an
 * outage, and shorter than the time for which samples may be at no endpoint.
 */
const STORE_OUTAGE_MS = 2_500

/**
 * Time after the last unanswered call for which an outage is taken to go on, in
 * milliseconds: the pause before the next read of the log and that read's timeout.
 */
const MAX_OUTAGE_AGE_MS = 1_700

/**
 * Decides whether work of a rollout may start now. Another host may have ended or
 * taken over the rollout, which only the log shows. While the store answers nobody,
 * neither can happen, so work goes on. Only calls that were sent and stayed
 * unanswered show that: a process that sent none knows nothing about the store. A log
 * that was never read may hold an end from before the outage.
 *
 * @param now monotonic milliseconds by the clock that counts suspends
 * @example
 * decideWorkPermission({ confirmedAt: 0, storeSilence: undefined, isContested: false }, 400) // WorkPermission.Granted
 */
export function decideWorkPermission ({ confirmedAt, storeSilence, isContested }: WorkPermissionEvidence, now: number): WorkPermission {
  if (isContested || confirmedAt === -Infinity) return WorkPermission.ConfirmFirst
  if (now - confirmedAt <= MAX_CONFIRMATION_AGE_MS) return WorkPermission.Granted
  return isOutage(storeSilence, now) ? WorkPermission.ConfirmMeanwhile : WorkPermission.ConfirmFirst
}

function isOutage (silence: SilentSpan | undefined, now: number): boolean {
  return silence !== undefined && silence.until - silence.since > STORE_OUTAGE_MS && now - silence.until <= MAX_OUTAGE_AGE_MS
}

/**
 * Returns the permit for work that {@link decideWorkPermission} permits, which ends
 * when the log copy is too old or, in an outage, when the outage is no longer known
 * to go on.
 *
 * @param now monotonic milliseconds by the clock that counts suspends
 * @example
 * createWorkPermit(WorkPermission.Granted, { confirmedAt: 0, storeSilence: undefined, isContested: false }, 400).startBefore // 2_200
 */
export function createWorkPermit (permission: WorkPermission, { confirmedAt, storeSilence }: WorkPermissionEvidence, now: number): WorkPermit {
  const logEnd = confirmedAt + MAX_WRITE_AGE_MS
  const isUnconfirmed = permission === WorkPermission.ConfirmMeanwhile && storeSilence !== undefined
  return {
    permission,
    logAgeMs: Number.isFinite(confirmedAt) ? Math.round(now - confirmedAt) : undefined,
    startBefore: isUnconfirmed ? Math.max(logEnd, storeSilence.until + MAX_OUTAGE_AGE_MS) : logEnd
  }
}
