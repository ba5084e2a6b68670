import type { ExitCode } from './exit-code.js'

/** Values of the command line flags, by name. */
export interface CommandFlags {
  readonly storeUrl?: string
  readonly hostUrl?: readonly string[]
  readonly platformUrl?: string
  readonly plan?: string
  readonly out?: string
  readonly expectRevision?: number
  readonly wait?: boolean
  readonly timeoutSeconds?: number
  readonly folder?: string
  readonly entry?: readonly string[]
  readonly workspace?: string
  readonly from?: string
  readonly to?: string
}

/** Name of a flag that only some commands accept. */
export type FlagName = keyof CommandFlags

/** The arguments, flags and environment of a command. */
export interface CommandContext {
  /** Positional arguments after the command's name. */
  readonly input: readonly string[]
  readonly flags: CommandFlags
  readonly environment: NodeJS.ProcessEnv
}

/** The outcome of a command: a result, or the problems that prevented one. */
export type CommandReport<Result> =
  | { readonly ok: true, readonly exit: ExitCode, readonly result: Result }
  | { readonly ok: false, readonly exit: ExitCode, readonly problems: readonly string[] }

/** The report of a command that has no result. */
export type FailedReport = Extract<CommandReport<never>, { ok: false }>

/** A command of the command line. */
export interface Command<Result> {
  /** The command's name, which may have several words, for example `keys grant`. */
  readonly words: string
  /** Names of the positional arguments; all are required. */
  readonly parameters: readonly string[]
  readonly flags: readonly FlagName[]
  readonly summary: string
  /** Long description with examples, shown by `--help`. */
  readonly help: string
  run (context: CommandContext): Promise<CommandReport<Result>>
  /** Formats the result as text. */
  render (result: Result): string[]
}

/** A report in its printable forms. */
export interface RenderedReport {
  readonly exit: ExitCode
  /** The document that `--json` prints. */
  readonly document: unknown
  readonly lines: readonly string[]
  readonly problems: readonly string[]
}

/** A command without the type parameter of its result, so that all commands fit into one list. */
export interface RunnableCommand extends Omit<Command<unknown>, 'run' | 'render'> {
  execute (context: CommandContext): Promise<RenderedReport>
}

/**
 * Wraps a command so that running it also renders its result.
 *
 * @example
 * await toRunnable(validate).execute({ input: ['folder'], flags: {}, environment: {} })
 */
export function toRunnable<Result> (command: Command<Result>): RunnableCommand {
  const { words, parameters, flags, summary, help } = command
  return {
    words,
    parameters,
    flags,
    summary,
    help,
    execute: async (context) => {
      const report = await command.run(context)
      const { exit } = report
      return report.ok
        ? { exit, document: { ok: true, exitCode: exit, result: report.result }, lines: command.render(report.result), problems: [] }
        : { exit, document: { ok: false, exitCode: exit, problems: report.problems }, lines: [], problems: report.problems }
    }
  }
}

/**
 * Creates the report of a command that has no result.
 *
 * @example
 * failedReport(ExitCode.Usage, '--store-url is missing')
 */
export function failedReport (exit: ExitCode, ...problems: readonly string[]): FailedReport {
  return { ok: false, exit, problems }
}
