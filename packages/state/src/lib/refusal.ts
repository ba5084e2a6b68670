/** Whether a request has run: whether any byte of it may have reached an endpoint. */
export enum Ran {
  No = 'no',
  Maybe = 'maybe',
  Yes = 'yes'
}

/** Why a request was not answered. The values are the last part of the problem type sent to callers. */
export enum RefusalReason {
  BadRequest = 'bad-request',
  Unauthorized = 'unauthorized',
  Forbidden = 'forbidden',
  NotFound = 'not-found',
  UnknownEntry = 'unknown-entry',
  NotReady = 'not-ready',
  Isolated = 'isolated',
  Overloaded = 'overloaded',
  LimitReached = 'limit-reached',
  DeadlineExceeded = 'deadline-exceeded',
  NoEndpoint = 'no-endpoint',
  EndpointFailed = 'endpoint-failed',
  Quarantined = 'quarantined',
  /** Endpoints crashed under the same request; it may run again later. */
  HeldBack = 'held-back',
  KeyRequired = 'idempotency-key-required',
  KeyReused = 'idempotency-key-reused',
  InProgress = 'in-progress',
  OutcomeUnknown = 'outcome-unknown',
  StoreUnavailable = 'store-unavailable',
  NotOwner = 'not-owner',
  UnknownBatch = 'unknown-batch',
  BatchChanged = 'batch-changed',
  TooLarge = 'too-large',
  Cancelled = 'cancelled',
  Leaving = 'leaving'
}

/** Why a request was not answered, and what is known about its effect. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly ran: Ran
  readonly detail: string
  /** Milliseconds after which a retry may succeed; absent if a retry is useless. */
  readonly retryAfterMs?: number
}

/**
 * Builds the refusal of a request that did not run.
 *
 * @example
 * notRun(RefusalReason.Overloaded, 'the queue is full', 500)
 */
export function notRun (reason: RefusalReason, detail: string, retryAfterMs?: number): Refusal {
  return retryAfterMs === undefined
    ? { reason, ran: Ran.No, detail }
    : { reason, ran: Ran.No, detail, retryAfterMs }
}
