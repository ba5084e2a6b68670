/** Events that the log has a line for. */
export enum LogEvent {
  Started = 'started',
  Stopping = 'stopping',
  Stopped = 'stopped',
  Reloaded = 'reloaded',
  SettingsRefused = 'settings-refused',
  DependencyLost = 'dependency-lost',
  DependencyRegained = 'dependency-regained',
  DeclarationChanged = 'declaration-changed',
  EndpointsChanged = 'endpoints-changed',
  EntryRejected = 'entry-rejected',
  RequestSent = 'request-sent',
  RequestEnded = 'request-ended',
  /** The final answer to a caller. */
  RequestAnswered = 'request-answered',
  RolloutAccepted = 'rollout-accepted',
  RolloutOwned = 'rollout-owned',
  RolloutHandedOver = 'rollout-handed-over',
  RolloutEnded = 'rollout-ended',
  RolloutCommitted = 'rollout-committed',
  SampleSent = 'sample-sent',
  SampleEnded = 'sample-ended',
  SampleMoved = 'sample-moved',
  LeaseGained = 'lease-gained',
  LeaseLost = 'lease-lost',
  CapacityOrdered = 'capacity-ordered',
  DutyCalled = 'duty-called',
  WeightsOrdered = 'weights-ordered',
  RetirementCompleted = 'retirement-completed'
}

/** Values of one line; times are in milliseconds and say so in their names. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[] | readonly number[]>>

/** Takes one line for each decision or change of belief. Never blocks. */
export interface EventLog {
  record (event: LogEvent, fields: LogFields): void
}

/** Keeps no lines; for tests that look at outcomes only. */
export const SILENT_LOG: EventLog = { record: () => {} }
