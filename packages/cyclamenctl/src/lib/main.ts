import meow from 'meow'
import { nearestName } from '@cyclamenthread/state'
import { failedReport } from './command.js'
import { COMMANDS } from './commands/index.js'
import { ExitCode } from './exit-code.js'
import { FLAG_TABLE, formatFlag } from './flag-table.js'
import { commandHelp, programHelp } from './help.js'
import type { AnyFlags } from 'meow'
import type { CommandFlags, FailedReport, FlagName, RunnableCommand } from './command.js'

/** Where a command writes and what it reads besides its arguments. */
export interface Terminal {
  readonly environment: NodeJS.ProcessEnv
  /** Takes a line of the result. */
  out (line: string): void
  /** Takes a line on a problem. */
  error (line: string): void
}

/** Flags that every command has. */
const COMMON_FLAGS: readonly string[] = ['json', 'help']

/** An argument list that was understood. */
interface ParsedArguments {
  readonly command: RunnableCommand
  readonly input: readonly string[]
  readonly flags: CommandFlags
}

/**
 * Runs one command.
 *
 * @param argv arguments after the program's name
 * @param terminal where to write
 * @returns the exit code
 * @example
 * await run(['validate', 'examples/chalk-squares'], processTerminal())
 */
export async function run (argv: readonly string[], terminal: Terminal): Promise<ExitCode> {
  const { input, flags } = parseArguments(argv)
  const command = findCommand(input)
  if (flags['help'] === true || input.length === 0) {
    terminal.out(command === undefined ? programHelp(COMMANDS) : commandHelp(command))
    return flags['help'] === true ? ExitCode.Success : ExitCode.Usage
  }
  const parsed = command === undefined ? unknownCommand(input) : checkArguments(command, input, flags, terminal.environment)
  if ('problems' in parsed) return printReport(terminal, flags['json'] === true, { exit: parsed.exit, document: { ok: false, exitCode: parsed.exit, problems: parsed.problems }, lines: [], problems: parsed.problems })
  const report = await parsed.command.execute({ input: parsed.input, flags: parsed.flags, environment: terminal.environment })
  return printReport(terminal, flags['json'] === true, report)
}

function printReport (terminal: Terminal, json: boolean, report: Awaited<ReturnType<RunnableCommand['execute']>>): ExitCode {
  if (json) {
    terminal.out(JSON.stringify(report.document, undefined, 2))
    return report.exit
  }
  for (const line of report.lines) terminal.out(line)
  for (const problem of report.problems) terminal.error(problem)
  return report.exit
}

/** Splits the arguments; what is unknown is kept, so that it can be refused by name. */
function parseArguments (argv: readonly string[]): { readonly input: readonly string[], readonly flags: Readonly<Record<string, unknown>> } {
  const flagTypes = Object.fromEntries(Object.entries(FLAG_TABLE).map(([name, { type, isMultiple }]) => [name, isMultiple === true ? { type, isMultiple } : { type }]))
  const cli = meow('', { importMeta: import.meta, argv, autoHelp: false, autoVersion: false, flags: { ...flagTypes, json: { type: 'boolean' }, help: { type: 'boolean' } } as AnyFlags })
  return { input: cli.input.map(String), flags: cli.flags }
}

function findCommand (input: readonly string[]): RunnableCommand | undefined {
  return COMMANDS.find((command) => command.words === input.slice(0, command.words.split(' ').length).join(' '))
}

function unknownCommand (input: readonly string[]): FailedReport {
  const given = input.slice(0, 2).join(' ')
  const known = COMMANDS.map((command) => command.words)
  const suggestion = nearestName(given, known) ?? nearestName(input[0] ?? '', known)
  return failedReport(ExitCode.Usage, `unknown command ${JSON.stringify(given)}${suggestion === undefined ? '' : `; did you mean ${suggestion}?`}`, `expected one of ${known.join(', ')}; see --help`)
}

function checkArguments (command: RunnableCommand, input: readonly string[], given: Readonly<Record<string, unknown>>, environment: NodeJS.ProcessEnv): ParsedArguments | FailedReport {
  const values = input.slice(command.words.split(' ').length)
  const problems: string[] = []
  if (values.length !== command.parameters.length) problems.push(`${command.words} takes ${command.parameters.map((name) => `<${name}>`).join(' ') || 'no arguments'}; got ${values.length === 0 ? 'none' : values.join(' ')}`)
  const flags: Record<string, unknown> = readEnvironmentFlags(command, environment)
  for (const [name, value] of Object.entries(given)) {
    if (COMMON_FLAGS.includes(name) || value === undefined || isUnset(name, value)) continue
    const problem = checkFlag(command, name, value)
    if (problem === undefined) flags[name] = value
    else problems.push(problem)
  }
  return problems.length > 0 ? failedReport(ExitCode.Usage, ...problems) : { command, input: values, flags }
}

/** The parser gives repeatable flags an empty list and switches false where they are not given. */
function isUnset (name: string, value: unknown): boolean {
  return name in FLAG_TABLE && ((Array.isArray(value) && value.length === 0) || value === false)
}

function checkFlag (command: RunnableCommand, name: string, value: unknown): string | undefined {
  if (!command.flags.includes(name as FlagName)) {
    const suggestion = nearestName(name, [...command.flags, ...COMMON_FLAGS])
    return `${command.words} knows no flag ${formatFlag(name)}${suggestion === undefined ? '' : `; did you mean ${formatFlag(suggestion)}?`}`
  }
  const { type } = FLAG_TABLE[name as FlagName]
  if (type === 'number' && (typeof value !== 'number' || !Number.isInteger(value) || value < 0)) return `${formatFlag(name)}: expected a whole number`
  if (type === 'string' && [value].flat().includes('')) return `${formatFlag(name)}: expected a value`
  return undefined
}

function readEnvironmentFlags (command: RunnableCommand, environment: NodeJS.ProcessEnv): Record<string, unknown> {
  const flags: Record<string, unknown> = {}
  for (const name of command.flags) {
    const { variable, isMultiple } = FLAG_TABLE[name]
    const value = variable === undefined ? undefined : environment[variable]
    if (value !== undefined && value !== '') flags[name] = isMultiple === true ? value.split(',') : value
  }
  return flags
}

/** Runs the command line of this process. */
export async function main (): Promise<void> {
  // A reader that has seen enough, as `head`, closes the pipe; that is no failure of the command.
  process.stdout.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code !== 'EPIPE') throw error
  })
  process.exitCode = await run(process.argv.slice(2), {
    environment: process.env,
    out: (line) => process.stdout.write(`${line}\n`),
    error: (line) => process.stderr.write(`${line}\n`)
  })
}
