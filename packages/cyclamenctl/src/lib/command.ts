import type { ExitCode } from './exit-code.js'

/** Flags of the command line, by name. */
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

/** Name of a flag that belongs to some commands only. */
export type FlagName = keyof CommandFlags

/** What a command is run with. */
export interface CommandContext {
  /** Arguments after the command's words. */
  readonly input: readonly string[]
  readonly flags: CommandFlags
  readonly environment: NodeJS.ProcessEnv
}

/** What came of a command: a result, or the problems that kept it from one. */
export type CommandReport<Result> =
  | { readonly ok: true, readonly exit: ExitCode, readonly result: Result }
  | { readonly ok: false, readonly exit: ExitCode, readonly problems: readonly string[] }

/** A report that there is no result. */
export type FailedReport = Extract<CommandReport<never>, { ok: false }>

/** One command of the command line. */
export interface Command<Result> {
  /** The words that name it, as `keys grant`. */
  readonly words: string
  /** Names of its arguments, all required. */
  readonly parameters: readonly string[]
  readonly flags: readonly FlagName[]
  readonly summary: string
  /** What a newcomer has to know, and examples. */
  readonly help: string
  run (context: CommandContext): Promise<CommandReport<Result>>
  /** The result as lines for people. */
  render (result: Result): string[]
}

/** A report as it is printed. */
export interface RenderedReport {
  readonly exit: ExitCode
  /** The JSON document of the report. */
  readonly document: unknown
  readonly lines: readonly string[]
  readonly problems: readonly string[]
}

/** A command whose type of result is no longer visible. */
export interface RunnableCommand extends Omit<Command<unknown>, 'run' | 'render'> {
  execute (context: CommandContext): Promise<RenderedReport>
}

/**
 * Joins a command and the rendering of its result.
 *
 * @example
 * await runnable(validate).execute({ input: ['folder'], flags: {}, environment: {} })
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
 * A report that there is no result.
 *
 * @example
 * failed(ExitCode.Usage, '--store-url is missing')
 */
export function failedReport (exit: ExitCode, ...problems: readonly string[]): FailedReport {
  return { ok: false, exit, problems }
}
