/** Exit codes of the command line. */
export enum ExitCode {
  Success = 0,
  /** The command ran and found that something is wrong, as a broken chain. */
  Failed = 1,
  /** Unknown command or flag, or a declaration with faults. Nothing was changed. */
  Usage = 2,
  /** Somebody else changed the catalogue since the plan was made. Nothing was changed. */
  Conflict = 3,
  /** Whether the change took effect is not known. Running the command again is safe. */
  Unknown = 4,
  /** The store or a host can't be reached. Nothing was changed. */
  Unavailable = 5,
  /** The change is accepted, but was not seen in force everywhere in time. */
  Incomplete = 6
}

/** What each exit code means, for help and docs. */
export const EXIT_CODE_MEANING: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Success]: 'done',
  [ExitCode.Failed]: 'the command ran and found something wrong',
  [ExitCode.Usage]: 'wrong usage or faulty declarations; nothing was changed',
  [ExitCode.Conflict]: 'another operator changed the catalogue; nothing was changed',
  [ExitCode.Unknown]: 'whether the change took effect is not known; run it again',
  [ExitCode.Unavailable]: 'the store or a host can\'t be reached; nothing was changed',
  [ExitCode.Incomplete]: 'accepted, but not seen in force everywhere in time'
}
