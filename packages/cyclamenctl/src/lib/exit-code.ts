/** Exit codes of the command line. */
export enum ExitCode {
  Success = 0,
  /** The command itself failed. */
  Failed = 1,
  /** Unknown command or flag, or a declaration with faults. */
  Usage = 2,
  /** Somebody else changed the catalogue since the plan was made. */
  Conflict = 3,
  /** Whether the change took effect is not known. */
  Unknown = 4,
  /** The store or a host can't be reached. Nothing was changed. */
  Unavailable = 5
}
