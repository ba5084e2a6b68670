import { EXIT_CODE_MEANING } from './exit-code.js'
import { FLAG_TABLE, formatFlag } from './flag-table.js'
import type { FlagName, RunnableCommand } from './command.js'

/**
 * The help of the whole program.
 *
 * @example
 * overallHelp(COMMANDS)
 */
export function programHelp (commands: readonly RunnableCommand[]): string {
  const width = Math.max(...commands.map((command) => formatUsage(command).length)) + 2
  return [
    'Usage: cyclamenctl <command> [flags]',
    '',
    'Commands',
    ...commands.map((command) => `  ${formatUsage(command).padEnd(width)}${command.summary}`),
    '',
    'Flags of every command',
    '  --json   Print one JSON document',
    '  --help   Show the help of a command',
    '',
    'Exit codes',
    ...Object.entries(EXIT_CODE_MEANING).map(([code, meaning]) => `  ${code}  ${meaning}`)
  ].join('\n')
}

/**
 * The help of one command.
 *
 * @example
 * commandHelp(command)
 */
export function commandHelp (command: RunnableCommand): string {
  return [
    `Usage: cyclamenctl ${formatUsage(command)} [flags]`,
    '',
    `${command.summary}.`,
    '',
    command.help,
    '',
    'Flags',
    ...command.flags.map(formatFlagHelp),
    '  --json  Print one JSON document'
  ].join('\n')
}

function formatUsage (command: RunnableCommand): string {
  return [command.words, ...command.parameters.map((parameter) => `<${parameter}>`)].join(' ')
}

function formatFlagHelp (name: FlagName): string {
  const { help, variable } = FLAG_TABLE[name]
  return `  ${formatFlag(name)}  ${help}${variable === undefined ? '' : ` [${variable}]`}`
}
