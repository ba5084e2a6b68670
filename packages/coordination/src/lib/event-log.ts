/** Events recorded in the log. */
export enum LogEvent {
  Started = 'started',
  StartMeasured = 'start-measured',
  Joined = 'joined',
  Stopping = 'stopping',
  Stopped = 'stopped',
  /** A part of a planned stop failed; the others went on. */
  StopFailed = 'stop-failed',
  Reloaded = 'reloaded',
  SettingsRefused = 'settings-refused',
  DependencyLost = 'dependency-lost',
  DependencyRegained = 'dependency-regained',
  DeclarationChanged = 'declaration-changed',
  EndpointsChanged = 'endpoints-changed',
  /** The operator has a failure domain evacuated, or has lifted that. */
  DomainEvacuated = 'domain-evacuated',
  /** The state of another host has changed in this host's view. */
  HostChanged = 'host-changed',
  /** Another host gave no answer to a message. */
  MessageUnanswered = 'message-unanswered',
  /** An endpoint named a request limit, changed it, or names none any more. */
  EndpointLimited = 'endpoint-limited',
  /** An endpoint has said that it is leaving. */
  EndpointLeaving = 'endpoint-leaving',
  /** The keeper of a limited endpoint's account was asked for requests that this host may send. */
  SendsRequested = 'sends-requested',
  EntryRejected = 'entry-rejected',
  RequestSent = 'request-sent',
  RequestEnded = 'request-ended',
  /** A call was passed on to another host, since this one reaches no endpoint. */
  CallForwarded = 'call-forwarded',
  /** An endpoint gave no more sign while it ran a call. */
  CrashSuspected = 'crash-suspected',
  /** Whether an endpoint that gave no more sign while it ran a call has ended, from probes of this and other hosts. */
  EndpointJudged = 'endpoint-judged',
  /** A host asked the store for a single run of a request that is held back. */
  TrialTaken = 'trial-taken',
  /** Such a run ended without a sign of what the request does to endpoints, and doesn't count. */
  TrialReturned = 'trial-returned',
  /** Endpoints crashed under a request so often that no host sends it, trials apart. */
  RequestHeldBack = 'request-held-back',
  /** A request under which endpoints crashed has been answered by one, and isn't suspected any more. */
  RequestCleared = 'request-cleared',
  /** The final response was sent to the caller. */
  RequestAnswered = 'request-answered',
  RolloutAccepted = 'rollout-accepted',
  RolloutOwned = 'rollout-owned',
  /** A planned stop has listed the settled results of a rollout, as far as its time allowed, before it hands the rollout over. */
  RolloutFlushed = 'rollout-flushed',
  RolloutHandedOver = 'rollout-handed-over',
  RolloutEnded = 'rollout-ended',
  /** Ends that aren't stored yet were handed to another host. */
  RolloutEndsCopied = 'rollout-ends-copied',
  RolloutAssigned = 'rollout-assigned',
  /** A read of a rollout that failed or took long. */
  RolloutRead = 'rollout-read',
  /** A read of a rollout's log that took long, or that was given up after it had read entries. */
  RolloutLoaded = 'rollout-loaded',
  RolloutOwnership = 'rollout-ownership',
  RolloutCommitted = 'rollout-committed',
  SampleSent = 'sample-sent',
  SampleEnded = 'sample-ended',
  SampleMoved = 'sample-moved',
  /** An interrupted text waits, or is discarded, because only endpoints of its software version may continue it. */
  TextInterrupted = 'text-interrupted',
  RewardRequested = 'reward-requested',
  RewardAnswered = 'reward-answered',
  LeaseGained = 'lease-gained',
  LeaseLost = 'lease-lost',
  /** This host gave its lease up, with the calls that were under way then. */
  LeaseGivenUp = 'lease-given-up',
  /** Calls were under way when their lease had ended, and their connections were reset. */
  LeasedCallsReset = 'leased-calls-reset',
  /** Why this host took a lease, and from whom. */
  LeaseTaken = 'lease-taken',
  /** Why this host no longer holds a lease, and how long ago it was confirmed by each clock. */
  LeaseEnded = 'lease-ended',
  /** A write of a lease without a known outcome, and what the store has in its place. */
  LeaseReadBack = 'lease-read-back',
  /** A leader that reaches no endpoint has offered the duties to other hosts. */
  DutiesOffered = 'duties-offered',
  CapacityOrdered = 'capacity-ordered',
  CapacityMissing = 'capacity-missing',
  DutyCalled = 'duty-called',
  WeightsOrdered = 'weights-ordered',
  RetirementCompleted = 'retirement-completed'
}

/** Fields of a log line; fields that hold a time in milliseconds have names that end in `Ms`. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[] | readonly number[]>>

/** Records one line for each decision or change of state. Never blocks. */
export interface EventLog {
  record (event: LogEvent, fields: LogFields): void
}

/** An event log that discards all lines; for tests. */
export const SILENT_LOG: EventLog = { record: () => {} }
