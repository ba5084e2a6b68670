import { Ran, RefusalReason } from '@cyclamenthread/state'

/** Documentation of one refusal, for the reference table. */
export interface RefusalNote {
  /** Values of `ran` that can accompany it. */
  readonly ran: readonly Ran[]
  readonly cause: string
  /** What the caller should do. */
  readonly remedy: string
}

const NO = [Ran.No]
const NO_OR_MAYBE = [Ran.No, Ran.Maybe]
const MAYBE = [Ran.Maybe]

/** Notes on every refusal that a caller can receive; the type requires one for each reason. */
export const REFUSAL_NOTES: Readonly<Record<RefusalReason, RefusalNote>> = {
  [RefusalReason.BadRequest]: { ran: NO, cause: 'The body, a parameter or a header is not valid for the route; `detail` names every error.', remedy: 'Correct the request.' },
  [RefusalReason.Unauthorized]: { ran: NO_OR_MAYBE, cause: 'The key is missing, unknown or withdrawn; it may have been withdrawn while the request waited or ran.', remedy: 'Use a valid key; ask the operators for a new one.' },
  [RefusalReason.Forbidden]: { ran: NO, cause: 'The key is valid but not permitted to use this entry, or its workspace no longer exists.', remedy: 'Ask the operators.' },
  [RefusalReason.NotFound]: { ran: NO, cause: 'No route has this path, or the route does not support this method.', remedy: 'Correct the path or the method.' },
  [RefusalReason.UnknownEntry]: { ran: NO, cause: 'The catalogue has no entry with this name.', remedy: 'Correct the name; see the declarations.' },
  [RefusalReason.UnknownBatch]: { ran: NO, cause: 'The workspace has no batch with this id, or nothing was delivered up to the cursor.', remedy: 'Open the batch, or correct the cursor.' },
  [RefusalReason.KeyRequired]: { ran: NO, cause: 'A non-idempotent call has no `Idempotency-Key`.', remedy: 'Send one: a new key for each operation, the same key when the operation is retried.' },
  [RefusalReason.KeyReused]: { ran: NO, cause: 'The `Idempotency-Key` was used for another request.', remedy: 'Use a new key for a new request.' },
  [RefusalReason.InProgress]: { ran: MAYBE, cause: 'An earlier copy of the request is running or may have run.', remedy: 'Retry the same request after `Retry-After`: it receives the recorded answer once there is one.' },
  [RefusalReason.BatchChanged]: { ran: NO, cause: 'A batch with this id was opened with different content.', remedy: 'Use a new id, or the original content.' },
  [RefusalReason.TooLarge]: { ran: NO, cause: 'The body exceeds `--max-body-bytes`.', remedy: 'Send a smaller body.' },
  [RefusalReason.HeldBack]: {
    ran: [Ran.No],
    cause: 'Endpoints crashed under the same request (same workspace, method, path and body), one after the other.',
    remedy: 'Check what the request does to its endpoint; after the delay it may run once, and is free again if that completes.'
  },
  [RefusalReason.Quarantined]: { ran: NO_OR_MAYBE, cause: 'Endpoints went down while they ran this request; it is not retried.', remedy: 'Do not retry; report the request to the owner of the entry.' },
  [RefusalReason.Overloaded]: { ran: NO_OR_MAYBE, cause: 'The queue is full.', remedy: 'Retry after `Retry-After`.' },
  [RefusalReason.LimitReached]: { ran: NO, cause: 'A limit of the workspace or the entry is reached.', remedy: 'Retry after `Retry-After`, or ask for a higher limit.' },
  [RefusalReason.DeadlineExceeded]: { ran: NO_OR_MAYBE, cause: 'The entry\'s `timeoutMs` elapsed while the request waited or ran.', remedy: 'Retry if `ran` is `no`; otherwise as for `outcome-unknown`.' },
  [RefusalReason.NoEndpoint]: { ran: NO_OR_MAYBE, cause: 'No endpoint of the pool can accept the request.', remedy: 'Retry after `Retry-After`.' },
  [RefusalReason.NotReady]: { ran: NO, cause: 'The host has just started and has not received a catalogue yet.', remedy: 'Request the addresses again and use another host.' },
  [RefusalReason.Isolated]: { ran: NO, cause: 'The host can\'t verify that its catalogue is current, so the key may have been withdrawn.', remedy: 'Request the addresses again and use another host.' },
  [RefusalReason.EndpointFailed]: { ran: NO_OR_MAYBE, cause: 'The request failed on every endpoint that was tried.', remedy: 'Retry if the request is idempotent; otherwise as for `outcome-unknown`.' },
  [RefusalReason.OutcomeUnknown]: { ran: MAYBE, cause: 'Whether the call ran is unknown.', remedy: 'Retry the same request with the same `Idempotency-Key`: it never runs a second time, and receives the recorded answer once there is one.' },
  [RefusalReason.StoreUnavailable]: { ran: NO_OR_MAYBE, cause: 'The object service does not accept writes, so a non-idempotent call can\'t be claimed.', remedy: 'Retry the same request after `Retry-After`.' },
  [RefusalReason.NotOwner]: { ran: NO_OR_MAYBE, cause: 'Work is moving from one host to another.', remedy: 'Retry immediately.' },
  [RefusalReason.Cancelled]: { ran: NO_OR_MAYBE, cause: 'The caller disconnected before the answer was sent.', remedy: 'None.' },
  [RefusalReason.Leaving]: { ran: NO, cause: 'The host is shutting down and accepts no new work.', remedy: 'Request the addresses again and use another host.' }
}
