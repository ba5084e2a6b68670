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
  [RefusalReason.BadRequest]: { ran: NO, cause: 'The body, a parameter or a header is not what the route takes; `detail` names every fault.', remedy: 'Mend the request.' },
  [RefusalReason.Unauthorized]: { ran: NO_OR_MAYBE, cause: 'No key, an unknown one, or one that was withdrawn, also while the request waited or ran.', remedy: 'Use a key in force; ask the operators for a new one.' },
  [RefusalReason.Forbidden]: { ran: NO, cause: 'The key is valid but may not use this entry, or its workspace is gone.', remedy: 'Ask the operators.' },
  [RefusalReason.NotFound]: { ran: NO, cause: 'There is nothing at this path, or not by this method.', remedy: 'Mend the path.' },
  [RefusalReason.UnknownEntry]: { ran: NO, cause: 'The catalogue has no entry of this name.', remedy: 'Mend the name; see the declarations.' },
  [RefusalReason.UnknownBatch]: { ran: NO, cause: 'The workspace has no batch of this id, or nothing was delivered up to the cursor.', remedy: 'Open the batch, or mend the cursor.' },
  [RefusalReason.KeyRequired]: { ran: NO, cause: 'A call that may not be repeated came without `Idempotency-Key`.', remedy: 'Send one, new for each thing to be done, the same when sending again.' },
  [RefusalReason.KeyReused]: { ran: NO, cause: 'The `Idempotency-Key` was used for another request.', remedy: 'Use a new one for a new request.' },
  [RefusalReason.InProgress]: { ran: MAYBE, cause: 'An earlier copy of the request is running or may have run.', remedy: 'Send the same again after `Retry-After`: it gets the recorded answer once there is one.' },
  [RefusalReason.BatchChanged]: { ran: NO, cause: 'A batch of this id was opened with other content.', remedy: 'Use a new id, or the content of the first time.' },
  [RefusalReason.TooLarge]: { ran: NO, cause: 'The body exceeds `--max-body-bytes`.', remedy: 'Send less at once.' },
  [RefusalReason.Quarantined]: { ran: NO_OR_MAYBE, cause: 'Endpoints went down while they ran this request; it is not tried again.', remedy: 'Do not send it again; show it to the owner of the entry.' },
  [RefusalReason.Overloaded]: { ran: NO_OR_MAYBE, cause: 'The queue is full.', remedy: 'Send again after `Retry-After`.' },
  [RefusalReason.LimitReached]: { ran: NO, cause: 'A limit of the workspace or the entry is used up.', remedy: 'Send again after `Retry-After`, or ask for a higher limit.' },
  [RefusalReason.DeadlineExceeded]: { ran: NO_OR_MAYBE, cause: 'The entry\'s `timeoutMs` passed while the request waited or ran.', remedy: 'Send again when `ran` is `no`; else as for `outcome-unknown`.' },
  [RefusalReason.NoEndpoint]: { ran: NO_OR_MAYBE, cause: 'No endpoint of the pool can take the request.', remedy: 'Send again after `Retry-After`.' },
  [RefusalReason.NotReady]: { ran: NO, cause: 'The host has just started and knows no catalogue yet.', remedy: 'Ask for the addresses again and use another host.' },
  [RefusalReason.Isolated]: { ran: NO, cause: 'The host can\'t prove that its catalogue is current, so a key might have been withdrawn.', remedy: 'Ask for the addresses again and use another host.' },
  [RefusalReason.EndpointFailed]: { ran: NO_OR_MAYBE, cause: 'The endpoints that were tried failed the request.', remedy: 'A repeatable request can be sent again; else as for `outcome-unknown`.' },
  [RefusalReason.OutcomeUnknown]: { ran: MAYBE, cause: 'Whether the call ran can\'t be told.', remedy: 'Send the same again with the same `Idempotency-Key`: it never runs a second time, and gets the recorded answer once there is one.' },
  [RefusalReason.StoreUnavailable]: { ran: NO_OR_MAYBE, cause: 'The object service can\'t be written, so a call that may not be repeated can\'t be claimed.', remedy: 'Send the same again after `Retry-After`.' },
  [RefusalReason.NotOwner]: { ran: NO_OR_MAYBE, cause: 'Work is moving from one host to another.', remedy: 'Send again at once.' },
  [RefusalReason.Cancelled]: { ran: NO_OR_MAYBE, cause: 'The caller went away before the answer.', remedy: 'None.' },
  [RefusalReason.Leaving]: { ran: NO, cause: 'The host is leaving and takes no new work.', remedy: 'Ask for the addresses again and use another host.' }
}
